//! Randomised scenarios for one key, with repeated requests and injected faults.

use proptest::prelude::*;
use rand::RngExt;
use woadstage_standin::world::Options;
use woadstage_standin::world::World;
use woadstage_types::unit::Span;

use crate::support::service;
use crate::support::ticket;
use crate::support::violations;
use crate::support::world;

const NODES: usize = 4;

/// A scenario for one key: when it is sent and which faults occur meanwhile.
#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    faults: Vec<(u64, Fault)>,
    requests: Vec<(u64, usize)>,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    Heal(usize, usize),
    Unlist(usize),
    Mute(bool),
    Break(bool),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODES;
    let pair = (0..NODES, 1..NODES).prop_map(|(one, by)| (one, (one + by) % NODES));
    prop_oneof![
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Start),
        node.clone().prop_map(Fault::Pause),
        node.clone().prop_map(Fault::Resume),
        pair.clone().prop_map(|(one, other)| Fault::Cut(one, other)),
        pair.prop_map(|(one, other)| Fault::Heal(one, other)),
        node.prop_map(Fault::Unlist),
        any::<bool>().prop_map(Fault::Mute),
        any::<bool>().prop_map(Fault::Break),
    ]
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let faults = proptest::collection::vec((0u64..8_000, fault()), 0..12);
    let requests = proptest::collection::vec((0u64..8_000, 0..NODES), 1..12);
    (any::<u64>(), faults, requests).prop_map(|(seed, faults, requests)| Scenario {
        seed,
        faults,
        requests,
    })
}

fn apply(world: &mut World, fault: Fault) {
    let alive = |world: &World, at: usize| world.hosts[at].node.is_some();
    match fault {
        Fault::Kill(at) if alive(world, at) => {
            let seen = world.rng().random();
            world.kill(at, seen);
        }
        Fault::Start(at) if !alive(world, at) => world.start(at),
        Fault::Pause(at) if alive(world, at) => world.pause(at),
        Fault::Resume(at) if alive(world, at) => world.resume(at),
        Fault::Cut(one, other) => world.cut(one, other),
        Fault::Heal(one, other) => world.heal(one, other),
        Fault::Unlist(at) => {
            let mut list = world.true_list();
            let name = format!("entry-{at}");
            list.hosts.retain(|host| host.name != name);
            world.publish_hosts(list, Span::from_secs(3), &[at]);
        }
        Fault::Mute(mute) => world.each_endpoint(|one| one.mute = mute),
        Fault::Break(breaks) => world.each_endpoint(|one| one.breaks = breaks),
        _ => {}
    }
}

/// Runs a scenario with the given `keys`, or with tickets if there are none, and
/// returns the world.
fn run_scenario(scenario: &Scenario, class: &'static str, keys: &[String]) -> World {
    let mut world = world(Options {
        seed: scenario.seed,
        nodes: NODES,
        lost: 30,
        doubled: 50,
        jitter: Span::from_millis(20),
        skew: Span::from_millis(200),
        ..Options::default()
    });
    world.run_for(Span::from_secs(2));
    let tickets: Vec<String> = match keys {
        [] => (0..2).filter_map(|node| ticket(&mut world, node)).collect(),
        keys => keys.to_vec(),
    };
    let start = world.now();
    for (at, fault) in scenario.faults.clone() {
        world.at(start + Span::from_millis(at), move |world| {
            apply(world, fault)
        });
    }
    for (turn, (at, node)) in scenario.requests.clone().into_iter().enumerate() {
        let which = turn % tickets.len();
        let key = tickets[which].clone();
        world.at(start + Span::from_millis(at), move |world| {
            let (arrival, work) = service(class, &format!("shift {which}"), Some(&key));
            world.ask(node, arrival, work);
        });
    }
    world.run_for(Span::from_secs(20));
    world
}

fn repeated_runs(world: &World) -> Vec<(&String, &u64)> {
    world.runs.iter().filter(|(_, count)| **count > 1).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, max_shrink_iters: 200, ..Default::default() })]

    #[test]
    fn tickets_run_at_most_once_in_any_scenario(scenario in scenario()) {
        let world = run_scenario(&scenario, "shift-confirmation", &[]);
        prop_assert_eq!(repeated_runs(&world), vec![]);
        prop_assert_eq!(violations(&world), Vec::<String>::new());
    }

    #[test]
    fn plain_keys_run_at_most_once_at_endpoints_that_check(scenario in scenario()) {
        let keys = ["order-1".to_string(), "order-2".to_string()];
        let world = run_scenario(&scenario, "booking", &keys);
        // Endpoints check keys independently of each other, so the guarantee is
        // one run for each endpoint that checks.
        let each = world.endpoints.iter().filter(|one| one.checks).count() as u64;
        prop_assert!(world.runs.values().all(|count| *count <= each));
        prop_assert_eq!(violations(&world), Vec::<String>::new());
    }
}
