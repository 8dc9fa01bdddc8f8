//! Tests of many nodes together in a simulated fleet with virtual time.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::quarantine;
use woadstage_dispatch::region;
use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::MODEL;
use crate::support::SERVICE;
use crate::support::job;

mod booking;
mod brittle;
mod builds;
mod cold;
mod crash;
mod crash_part;
mod drill;
mod evacuate;
mod fair;
mod forecast;
mod leaving;
mod links;
mod present_speed;
mod rate_limited;
mod redirect;
mod region_bound;
mod resting;
mod skew;
mod slot_depth;
mod start;
mod world;

use world::Outcome;
use world::Shape;
use world::World;

const SECOND: Span = Span::from_secs(1);

/// A fleet of two data centres with two cells each.
fn shape() -> Shape {
    Shape {
        nodes: 36,
        centres: 2,
        endpoints: 16,
        slots: 4,
        service: MODEL,
        call_time: Span::from_millis(400),
        latency: Span::from_millis(1),
        loss_percent: 0,
        cold: None,
        quarantine: quarantine::Options::default(),
        regions: region::Map::default(),
        policy: Policy::default(),
        states_load: false,
        endpoint_latency: Span::ZERO,
        slow: None,
        callers_retry: false,
    }
}

/// A fleet of seven hosts in one cell.
fn small() -> Shape {
    Shape {
        nodes: 7,
        centres: 1,
        endpoints: 12,
        slots: 7,
        ..shape()
    }
}

/// Returns a fleet of so many nodes and so many endpoints of a plain service.
fn plain_service(nodes: u16, endpoints: u16) -> Shape {
    Shape {
        nodes,
        centres: 1,
        endpoints,
        service: SERVICE,
        call_time: Span::from_millis(60),
        ..small()
    }
}

/// A fleet of three data centres with one cell each.
fn middle() -> Shape {
    Shape {
        nodes: 24,
        centres: 3,
        endpoints: 24,
        slots: 7,
        ..shape()
    }
}

/// A fleet of the expected size in two years, with a tenth of its endpoints.
fn large() -> Shape {
    Shape {
        nodes: 46,
        centres: 9,
        endpoints: 34,
        slots: 7,
        ..shape()
    }
}

/// Returns a request of the lowest priority with an objective of half a second.
fn request(service: &'static str) -> impl Fn(Time) -> Job {
    move |when| Job {
        objective: Span::from_millis(500),
        ..job(service, 2, when)
    }
}

/// Sends requests to random nodes at an average rate for a span from now on.
fn load(world: &mut World, service: &'static str, per_second: u64, span: Span, nodes: &[u16]) {
    let count = per_second * span.0 / SECOND.0;
    for number in 0..count {
        let drawn = hash::chain(world.now.0, &number.to_le_bytes());
        let after = Span(drawn % span.0);
        let node = nodes[(drawn >> 32) as usize % nodes.len()];
        world.arrive(after, node, request(service));
    }
}

/// Starts a fleet and runs it under such a load for a second.
fn under_load(shape: Shape, service: &'static str, per_second: u64, span: Span) -> World {
    let mut world = World::start(shape);
    let nodes = all_nodes(&world);
    load(&mut world, service, per_second, span, &nodes);
    world.run_for(SECOND);
    world
}

/// Serves such a load and returns the outcomes of the requests that arrived meanwhile.
fn serve(
    world: &mut World,
    service: &'static str,
    per_second: u64,
    span: Span,
    nodes: &[u16],
) -> Vec<Outcome> {
    let from = world.now;
    load(world, service, per_second, span, nodes);
    world.run_for(span);
    world.arrived_between(from, world.now)
}

/// Asserts the least percentage of requests that met their objective.
fn assert_in_time(outcomes: &[Outcome], percent: f64) {
    let in_time = share(outcomes, is_in_time) * 100.0;
    assert!(in_time >= percent, "{in_time} in 100");
}

/// Asserts the greatest percentage of requests sent to an endpoint without a free slot.
fn assert_queued(outcomes: &[Outcome], percent: f64) {
    let queued = share(outcomes, |one| one.queued) * 100.0;
    assert!(queued <= percent, "{queued} in 100");
}

/// Kills nodes at once and restarts them after a span.
fn kill_for(world: &mut World, nodes: &[u16], span: Span) {
    for node in nodes {
        world.kill(*node);
    }
    world.run_for(span);
    for node in nodes {
        world.boot(*node, 2);
    }
}

fn all_nodes(world: &World) -> Vec<u16> {
    world.nodes.keys().copied().collect()
}

/// Returns the share of outcomes that match a predicate.
fn share(outcomes: &[Outcome], matches: impl Fn(&Outcome) -> bool) -> f64 {
    let count = outcomes.iter().filter(|outcome| matches(outcome)).count();
    count as f64 / outcomes.len().max(1) as f64
}

/// Whether a request met the objective of half a second.
fn is_in_time(outcome: &Outcome) -> bool {
    let since = |at: Time| at.since(outcome.arrived);
    outcome
        .began
        .is_some_and(|at| since(at) <= Span::from_millis(500))
}

/// Asserts that each request was sent or refused once and that all slots are free again.
fn assert_all_finished(world: &mut World) {
    assert_all_finished_within(world, Span::from_secs(20));
}

/// Asserts the same after a span.
fn assert_all_finished_within(world: &mut World, span: Span) {
    world.run_for(span);
    for (name, outcome) in &world.outcomes {
        assert_eq!(outcome.decided, 1, "{name:?} {outcome:?}");
    }
    for (node, dispatcher) in &world.nodes {
        assert_eq!(dispatcher.held(), 0, "node {node}");
        assert_eq!(dispatcher.remote_request_count(), 0, "node {node}");
        let running = dispatcher.summaries(world.now);
        assert!(
            running.iter().all(|summary| summary.running == 0),
            "node {node}"
        );
    }
}

#[test]
fn no_slot_is_granted_twice() {
    let mut world = World::start(shape());
    // Four fifths of the capacity of 32 endpoints with 4 slots and calls of 400 ms.
    let nodes = all_nodes(&world);
    let outcomes = serve(&mut world, MODEL, 256, Span::from_secs(6), &nodes);
    assert_queued(&outcomes, 1.0);
    assert_in_time(&outcomes, 98.0);
    assert_all_finished(&mut world);
    // A request, a grant, the first event and the end; some wait and ask again.
    let messages = world.messages as f64 / outcomes.len() as f64;
    assert!(messages <= 5.0, "{messages} messages a request");
}

#[test]
fn service_is_in_time_again_soon_after_a_burst() {
    let mut world = World::start(shape());
    let nodes = all_nodes(&world);
    load(&mut world, MODEL, 224, Span::from_secs(12), &nodes);
    world.run_for(Span::from_secs(2));
    load(&mut world, MODEL, 300, Span::from_secs(4), &nodes);
    world.run_for(Span::from_secs(4));
    let ended = world.now;
    world.run_for(Span::from_secs(6));
    let outcomes = world.arrived_between(ended + SECOND, ended + Span::from_secs(5));
    assert_in_time(&outcomes, 95.0);
    assert_all_finished(&mut world);
}

#[test]
fn callers_that_all_come_to_one_data_centre_use_the_slots_of_the_other() {
    let mut world = World::start(shape());
    let mut nodes = all_nodes(&world);
    nodes.retain(|node| world.centre(*node) == 0);
    // One and a half times the capacity of the endpoints of the data centre.
    serve(&mut world, MODEL, 240, SECOND, &nodes);
    let outcomes = serve(&mut world, MODEL, 240, Span::from_secs(5), &nodes);
    assert_in_time(&outcomes, 95.0);
    assert_queued(&outcomes, 2.0);
    assert_all_finished(&mut world);
}

#[test]
fn a_service_that_all_cells_share_is_not_overcommitted() {
    let mut world = World::start(Shape {
        endpoints: 2,
        slots: 6,
        service: SERVICE,
        call_time: Span::from_millis(60),
        ..shape()
    });
    let nodes = all_nodes(&world);
    // Three quarters of the capacity of 24 slots.
    let outcomes = serve(&mut world, SERVICE, 300, Span::from_secs(5), &nodes);
    assert_queued(&outcomes, 1.0);
    assert_in_time(&outcomes, 99.0);
    assert_all_finished(&mut world);
}

/// A burst of one and a half times the capacity, by callers whose deadline is the route's
/// timeout or 85 to 100 % of it. If callers with shorter deadlines count as retrying, they
/// are not refused for a wait beyond their objective, and far fewer are served in time.
#[rstest]
#[case::the_timeout_of_the_route(100)]
#[case::deadlines_of_their_own(85)]
fn a_burst_of_callers_with_deadlines(#[case] least_percent: u64) {
    let mut world = World::start(shape());
    let nodes = all_nodes(&world);
    let per_second = |world: &mut World, per_second: u64, seconds: u64| {
        let span = Span::from_secs(seconds);
        for number in 0..per_second * seconds {
            let drawn = hash::chain(world.now.0, &number.to_le_bytes());
            let percent = least_percent + (drawn >> 16) % (101 - least_percent);
            let node = nodes[(drawn >> 32) as usize % nodes.len()];
            world.arrive(Span(drawn % span.0), node, |when| Job {
                deadline: when + Span(Span::from_secs(8).0 * percent / 100),
                ..request(MODEL)(when)
            });
        }
        world.run_for(span);
    };
    per_second(&mut world, 200, 8);
    let from = world.now;
    per_second(&mut world, 480, 4);
    let outcomes = world.arrived_between(from, world.now);
    assert_in_time(&outcomes, 64.0);
    assert_all_finished(&mut world);
}

/// Calls of 15 ms are short compared with the latency between nodes of 3 ms. A slot must
/// not stay idle until its owner hears of a call's end and the next node of its grant:
/// requests are sent to busy slots in advance, as otherwise too few are served in time.
/// The 24 slots can serve 1,600 calls a second.
#[test]
fn slots_of_short_calls_do_not_stand_idle() {
    let mut world = World::start(Shape {
        endpoints: 2,
        slots: 6,
        service: SERVICE,
        call_time: Span::from_millis(15),
        latency: Span::from_millis(3),
        ..shape()
    });
    let nodes = all_nodes(&world);
    serve(&mut world, SERVICE, 1_300, SECOND, &nodes);
    let outcomes = serve(&mut world, SERVICE, 1_300, Span::from_secs(3), &nodes);
    assert_in_time(&outcomes, 97.0);
    assert_all_finished(&mut world);
}

#[rstest]
#[case::few(2)]
#[case::many(10)]
fn lost_messages_leave_nothing_behind(#[case] loss_percent: u64) {
    let mut world = World::start(Shape {
        loss_percent,
        ..shape()
    });
    let nodes = all_nodes(&world);
    let outcomes = serve(&mut world, MODEL, 200, Span::from_secs(4), &nodes);
    assert_in_time(&outcomes, 95.0);
    assert_all_finished(&mut world);
}

/// Nodes are killed at once while requests wait, and restarted.
#[rstest]
#[case::one_in_six(6)]
#[case::every_second(2)]
fn service_goes_on_when_nodes_are_killed(#[case] one_of: u16) {
    let mut world = World::start(shape());
    let nodes = all_nodes(&world);
    let (killed, left): (Vec<u16>, Vec<u16>) = nodes
        .iter()
        .partition(|node| (**node / 2).is_multiple_of(one_of));
    load(&mut world, MODEL, 180, Span::from_secs(8), &left);
    world.run_for(Span::from_secs(2));
    let at = world.now;
    kill_for(&mut world, &killed, Span::from_secs(2));
    world.run_for(Span::from_secs(4));
    let outcomes = world.arrived_between(at, world.now);
    assert_in_time(&outcomes, 95.0);
    assert_all_finished(&mut world);
}

#[test]
fn partitioned_nodes_decide_alone_and_rejoin() {
    let mut world = World::start(shape());
    let nodes = all_nodes(&world);
    load(&mut world, MODEL, 160, Span::from_secs(12), &nodes);
    world.run_for(Span::from_secs(2));
    world.partitioned = nodes.iter().copied().filter(|node| node % 6 == 0).collect();
    let cut_at = world.now;
    world.run_for(Span::from_secs(5));
    world.partitioned.clear();
    let healed_at = world.now;
    world.run_for(Span::from_secs(5));
    let during = world.arrived_between(cut_at, healed_at);
    assert_in_time(&during, 95.0);
    let after = world.arrived_between(healed_at + Span::from_secs(3), world.now);
    assert_queued(&after, 1.0);
    assert_all_finished(&mut world);
}

/// Half of the nodes of a fleet of five data centres lose power at once.
#[test]
fn half_of_a_fleet_of_295_nodes_is_killed_and_restarted() {
    let mut world = World::start(Shape {
        nodes: 59,
        centres: 5,
        endpoints: 32,
        slots: 6,
        ..shape()
    });
    let nodes = all_nodes(&world);
    let (killed, left): (Vec<u16>, Vec<u16>) = nodes
        .iter()
        .partition(|node| (**node / 5).is_multiple_of(2));
    // A third of the capacity of the endpoints.
    load(&mut world, MODEL, 800, Span::from_secs(4), &left);
    world.run_for(SECOND);
    let at = world.now;
    kill_for(&mut world, &killed, SECOND);
    world.run_for(Span::from_secs(2));
    let outcomes = world.arrived_between(at, world.now);
    assert_in_time(&outcomes, 95.0);
    // By then all calls have ended and lost reports were requested again.
    assert_all_finished_within(&mut world, Span::from_secs(5));
}
