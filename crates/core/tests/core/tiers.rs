//! Tests that more protected work goes first under overload.

use std::collections::HashMap;

use woadstage_standin::cases;
use woadstage_standin::world::Answer;
use woadstage_standin::world::Options;
use woadstage_standin::world::World;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::chat;
use crate::support::violations;
use crate::support::world;

/// Sends a burst of requests at once, unevenly spread over the hosts.
fn burst(world: &mut World, rescue: u64, routine: u64) -> HashMap<id::Request, bool> {
    let mut protected = HashMap::new();
    for turn in 0..rescue + routine {
        let is_rescue = turn % (rescue + routine) * rescue % (rescue + routine) < rescue;
        let class = if is_rescue { "rescue-summary" } else { "recap" };
        let (mut arrival, work) = chat(class, &format!("{class} {turn}"), 600, 60);
        arrival.timeout = Some(Span::from_secs(if is_rescue { 8 } else { 6 }));
        // Two thirds of the callers are sent to the same host.
        let node = if turn % 3 == 0 {
            (turn % world.hosts.len() as u64) as usize
        } else {
            0
        };
        protected.insert(world.ask(node, arrival, work), is_rescue);
    }
    protected
}

fn shed(world: &World, request: &id::Request) -> Option<Time> {
    match world.asked[request].answers.first() {
        Some((at, Answer::Refused(_))) => Some(*at),
        _ => None,
    }
}

fn served(world: &World, request: &id::Request) -> bool {
    matches!(
        world.asked[request].answers.first(),
        Some((_, Answer::Whole { .. }))
    )
}

/// Counts rescue requests refused, rescue requests served and routine requests
/// served.
fn count(world: &World, all: &HashMap<id::Request, bool>) -> (usize, usize, usize) {
    let rescue = |id: &&id::Request| all[*id];
    let rescue_shed = all
        .keys()
        .filter(rescue)
        .filter(|id| shed(world, id).is_some())
        .count();
    let rescue_served = all
        .keys()
        .filter(rescue)
        .filter(|id| served(world, id))
        .count();
    let routine_served = all
        .keys()
        .filter(|id| !all[*id] && served(world, id))
        .count();
    (rescue_shed, rescue_served, routine_served)
}

cases! {
    a_burst_sheds_routine_requests_only => {
        let mut world = world(Options { nodes: 4, ..Options::default() });
        let all = burst(&mut world, 150, 900);
        world.run_for(Span::from_secs(20));
        let (rescue_shed, rescue_served, _) = count(&world, &all);
        assert_eq!((rescue_shed, rescue_served), (0, 150));
        assert_eq!(violations(&world), Vec::<String>::new());
    };

    a_shed_request_is_refused_early_with_a_retry_delay => {
        let mut world = world(Options::default());
        let all = burst(&mut world, 100, 2_000);
        world.run_for(Span::from_secs(20));
        let mut returns = Vec::new();
        for request in all.keys() {
            let asked = &world.asked[request];
            let Some((at, Answer::Refused(refusal))) = asked.answers.first() else { continue };
            returns.push(refusal.retry_after.expect("a refusal has a retry delay"));
            // A waiting request is refused no later than its own service time
            // before its deadline.
            assert!(*at + Span::from_millis(100) < asked.deadline, "{asked:?}");
        }
        assert!(returns.len() > 500, "{}", returns.len());
        returns.sort();
        returns.dedup();
        assert!(returns.len() > 400, "retry delays are spread");
    };

    a_full_queue_displaces_its_least_protected_requests => {
        let pool = woadstage_core::pool::Options { queue_limit: 100, ..Default::default() };
        let mut world = world(Options { pool, ..Options::default() });
        for turn in 0..300 {
            let (arrival, work) = chat("recap", &format!("recap {turn}"), 600, 60);
            world.ask(0, arrival, work);
        }
        world.run_for(Span::from_millis(5));
        let mut rescue = Vec::new();
        for turn in 0..80 {
            let (arrival, work) = chat("rescue-summary", &format!("rescue {turn}"), 600, 60);
            rescue.push(world.ask(1, arrival, work));
        }
        world.run_for(Span::from_secs(20));
        assert!(rescue.iter().all(|request| served(&world, request)));
    };

    a_host_failure_in_a_burst_sheds_no_rescue_requests_elsewhere => {
        for dead in 0..4 {
            let mut world = world(Options { nodes: 4, ..Options::default() });
            let all = burst(&mut world, 100, 600);
            world.after(Span::from_millis(300), move |world| world.kill(dead, false));
            world.run_for(Span::from_secs(20));
            let living = all.iter().filter(|(id, _)| world.asked[*id].node != dead);
            let all: HashMap<_, _> = living.map(|(id, rescue)| (*id, *rescue)).collect();
            let (rescue_shed, ..) = count(&world, &all);
            assert_eq!(rescue_shed, 0, "host {dead}");
        }
    };

    a_large_customer_does_not_starve_the_rest => {
        let mut world = world(Options::default());
        let mut small = Vec::new();
        for turn in 0..600 {
            let (mut arrival, work) = chat("handover-summary", &format!("{turn}"), 600, 60);
            let is_small = turn % 20 == 19;
            let token = woadstage_standin::sample::TOKENS[usize::from(is_small)];
            arrival.token = woadstage_config::published::sha256(token);
            arrival.timeout = Some(Span::from_secs(8));
            let request = world.ask(turn % 3, arrival, work);
            if is_small {
                small.push(request);
            }
        }
        world.run_for(Span::from_secs(20));
        let done = small.iter().filter(|request| served(&world, request)).count();
        assert_eq!(done, small.len());
    };
}
