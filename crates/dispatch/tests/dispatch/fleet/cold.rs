//! Cold endpoints in a large fleet: they take few requests a second from all nodes
//! together.

use woadstage_dispatch::cold;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;

use super::*;

/// The load that a cold endpoint tolerates: 6.9 requests a second for three seconds.
const BOUND: cold::Bound = cold::Bound {
    interval: Span::from_millis(145),
    duration: Span::from_secs(3),
};

/// The number of arrivals in one second above which an endpoint fails: one and a half
/// times what it tolerates, and five.
pub(super) const FALLS_ABOVE: usize = 15;

/// Returns three data centres of 26 nodes in two cells each, whose engines answer so fast
/// that an idle one would accept 25 requests a second.
pub(super) fn shape() -> Shape {
    Shape {
        nodes: 26,
        centres: 3,
        endpoints: 24,
        slots: 5,
        call_time: Span::from_millis(200),
        cold: Some(BOUND),
        ..super::shape()
    }
}

/// Returns the most arrivals at one endpoint in any second since a moment.
pub(super) fn most_in_a_second(world: &World, endpoint: &Endpoint, since: Time) -> usize {
    let Some(arrivals) = world.arrivals.get(&endpoint.name) else {
        return 0;
    };
    let arrivals: Vec<Time> = arrivals.iter().copied().filter(|at| *at >= since).collect();
    let windows = arrivals.iter().map(|from| {
        let within = |at: &&Time| **at >= *from && at.since(*from) < SECOND;
        arrivals.iter().filter(within).count()
    });
    windows.max().unwrap_or(0)
}

/// Returns a list in which some endpoints are replaced by others that start cold.
fn restarted(world: &World, matches: impl Fn(usize) -> bool) -> (List, Vec<Endpoint>) {
    let mut list = (*world.list).clone();
    list.revision += 1;
    let mut cold = Vec::new();
    for (at, endpoint) in list.endpoints.iter_mut().enumerate() {
        if matches(at) {
            let name = format!("{}-again", endpoint.name);
            *endpoint = Endpoint {
                name: woadstage_types::id::Endpoint::new(&name),
                cold_for: BOUND.duration,
                ..endpoint.clone()
            };
            cold.push(endpoint.clone());
        }
    }
    (list, cold)
}

fn assert_bounded(world: &World, cold: &[Endpoint], since: Time, most: usize) {
    for endpoint in cold {
        let found = most_in_a_second(world, endpoint, since);
        assert!(found <= most, "{found} at {}", endpoint.name);
    }
}

/// Six tenths of all endpoints are replaced at twice the usual load.
#[test]
fn replaced_endpoints_are_not_overloaded() {
    let mut world = under_load(shape(), MODEL, 900, Span::from_secs(6));
    let from = world.now;
    let (list, cold) = restarted(&world, |at| at % 5 < 3);
    world.publish_to_readers(list);
    world.run_for(Span::from_millis(2_900));
    // Two more than with even spacing: nodes learn of a change of owners at different
    // times.
    assert_bounded(&world, &cold, from, 9);
    let used = cold.iter().map(|one| most_in_a_second(&world, one, from));
    let used: usize = used.sum();
    assert!(used >= cold.len() * 5, "{used} at {}", cold.len());
}

/// Nodes are killed while endpoints are cold, including the owners of their slots.
#[rstest]
#[case::one_in_six(6)]
#[case::every_second(2)]
fn a_new_owner_does_not_overload_cold_endpoints(#[case] one_of: u16) {
    let mut world = World::start(shape());
    let nodes = all_nodes(&world);
    let (killed, left): (Vec<u16>, Vec<u16>) = nodes
        .iter()
        .partition(|node| (**node / 3).is_multiple_of(one_of));
    load(&mut world, MODEL, 800, Span::from_secs(5), &left);
    world.run_for(SECOND);
    let from = world.now;
    let (list, cold) = restarted(&world, |at| at % 2 == 0);
    world.publish_to_readers(list);
    world.run_for(Span::from_millis(500));
    kill_for(&mut world, &killed, Span::from_millis(800));
    world.run_for(Span::from_millis(1_600));
    assert_bounded(&world, &cold, from, FALLS_ABOVE);
}

/// Nodes that are isolated together decide alone, and start nothing at cold endpoints.
#[rstest]
#[case::a_few(6)]
#[case::half(2)]
fn isolated_nodes_add_little_load(#[case] one_of: u16) {
    let mut world = under_load(shape(), MODEL, 700, Span::from_secs(6));
    let nodes = all_nodes(&world);
    let from = world.now;
    let (list, cold) = restarted(&world, |at| at % 2 == 0);
    // All nodes read the platform, including those that are isolated from each other.
    world.publish(list, &nodes);
    let cut = nodes.iter().copied();
    world.partitioned = cut
        .filter(|node| (node / 3).is_multiple_of(one_of))
        .collect();
    world.run_for(Span::from_millis(2_900));
    assert_bounded(&world, &cold, from, FALLS_ABOVE);
}
