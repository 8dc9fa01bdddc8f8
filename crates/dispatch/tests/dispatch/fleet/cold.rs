//! Endpoints that are cold in a large fleet: they bear few requests a second, over
//! all nodes together.

use woadstage_dispatch::cold;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;

use super::*;

/// What an endpoint bears while it is cold: 6.9 requests a second for three.
const BOUND: cold::Bound = cold::Bound {
    interval: Span::from_millis(145),
    lasts: Span::from_secs(3),
};

/// Arrivals in one second above which an endpoint falls over: one and a half times
/// what it bears, and five.
pub(super) const FALLS_ABOVE: usize = 15;

/// Three data centres of 26 nodes with two cells each, whose engines answer so
/// fast that a free one would take 25 requests a second.
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

/// The most arrivals at one endpoint in any second since a moment.
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

/// A list in which some endpoints were replaced by others that start cold.
fn restarted(world: &World, is: impl Fn(usize) -> bool) -> (List, Vec<Endpoint>) {
    let mut list = (*world.list).clone();
    list.revision += 1;
    let mut cold = Vec::new();
    for (at, endpoint) in list.endpoints.iter_mut().enumerate() {
        if is(at) {
            let name = format!("{}-again", endpoint.name);
            *endpoint = Endpoint {
                name: woadstage_types::id::Endpoint::new(&name),
                cold_for: BOUND.lasts,
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

/// Six tenths of all endpoints are replaced while twice the usual load comes.
#[test]
fn replaced_endpoints_are_not_overrun() {
    let mut world = under_load(shape(), MODEL, 900, Span::from_secs(6));
    let from = world.now;
    let (list, cold) = restarted(&world, |at| at % 5 < 3);
    world.publish_to_readers(list);
    world.run_for(Span::from_millis(2_900));
    // Two more than fit evenly: nodes hear of a change of owners one after the other.
    assert_bounded(&world, &cold, from, 9);
    let used = cold.iter().map(|one| most_in_a_second(&world, one, from));
    let used: usize = used.sum();
    assert!(used >= cold.len() * 5, "{used} at {}", cold.len());
}

/// Nodes are killed while endpoints are cold, the owners of their slots among them.
#[rstest]
#[case::one_in_six(6)]
#[case::every_second(2)]
fn a_new_owner_does_not_overrun_what_is_cold(#[case] one_of: u16) {
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

/// Nodes that are cut off together decide alone, and start nothing there.
#[rstest]
#[case::a_few(6)]
#[case::half(2)]
fn nodes_that_are_cut_off_add_little(#[case] one_of: u16) {
    let mut world = under_load(shape(), MODEL, 700, Span::from_secs(6));
    let nodes = all_nodes(&world);
    let from = world.now;
    let (list, cold) = restarted(&world, |at| at % 2 == 0);
    // All nodes read the platform, those that are cut off from each other too.
    world.publish(list, &nodes);
    let cut = nodes.iter().copied();
    world.cut_off = cut
        .filter(|node| (node / 3).is_multiple_of(one_of))
        .collect();
    world.run_for(Span::from_millis(2_900));
    assert_bounded(&world, &cold, from, FALLS_ABOVE);
}
