//! The platform is restored from a copy older than the writes it had acknowledged, while
//! nodes serve requests, are partitioned, and start.

use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::id;

use super::*;

/// The time within which all nodes that are not partitioned have a list of the new era.
const IN_FORCE_WITHIN: Span = Span::from_secs(1);

/// The revision of the list before the restore.
const REVISION: u64 = 1_000;

/// The number of writes that the restore loses.
const LOST_WRITES: u64 = 60;

fn fleet(nodes: u16, centres: u16) -> World {
    World::start(Shape {
        nodes,
        centres,
        endpoints: 12,
        ..shape()
    })
}

/// Publishes a list with the writes that the restore loses: some endpoints ended, some are
/// leaving, and a data centre is evacuated. Returns the copy from before.
fn publish_lost_writes(world: &mut World) -> List {
    let copy = List {
        era: Era(1),
        revision: REVISION - LOST_WRITES,
        ..(*world.list).clone()
    };
    world.publish_to_readers(copy.clone());
    world.run_for(SECOND);
    let mut written = copy.clone();
    written.revision = REVISION;
    written.endpoints.retain(|one| !has_ended(one));
    for endpoint in written.endpoints.iter_mut().filter(|one| is_leaving(one)) {
        endpoint.leaving = true;
    }
    written.evacuated = vec![id::DataCentre::new("dc0")];
    world.publish_to_readers(written);
    world.run_for(SECOND);
    copy
}

/// Returns the number in an endpoint's name.
fn number(endpoint: &Endpoint) -> u64 {
    let digits = endpoint.name.as_str().trim_start_matches('e');
    digits.parse().expect("a number")
}

/// Whether an endpoint ended in the lost writes.
fn has_ended(endpoint: &Endpoint) -> bool {
    number(endpoint).is_multiple_of(5)
}

/// Whether an endpoint is leaving in the lost writes.
fn is_leaving(endpoint: &Endpoint) -> bool {
    number(endpoint) % 5 == 1
}

/// Returns the number of requests sent to endpoints that ended, are leaving or are in the
/// evacuated data centre.
fn misrouted(world: &World, copy: &List, since: Time) -> usize {
    let closed = copy.endpoints.iter().filter(|one| {
        let evacuated = one.data_centre == id::DataCentre::new("dc0");
        has_ended(one) || is_leaving(one) || evacuated
    });
    let arrivals = closed.filter_map(|one| world.arrivals.get(&one.name));
    arrivals.flatten().filter(|at| **at > since).count()
}

/// Whether a running node has no list of an era yet.
fn are_behind(world: &World, era: u64, nodes: &[u16]) -> bool {
    let mut running = nodes.iter().filter_map(|node| world.nodes.get(node));
    running.any(|node| node.edition().era < Era(era))
}

/// The platform is restored, and the lost writes are repeated after `again_after`
/// milliseconds.
#[rstest]
#[case::nodes_7(7, 1, 200)]
#[case::nodes_7_repeated_late(7, 1, 2_000)]
#[case::nodes_78(26, 3, 200)]
#[case::nodes_78_repeated_late(26, 3, 2_000)]
#[case::nodes_414(46, 9, 2_000)]
fn lost_writes_hold_until_they_are_repeated(
    #[case] nodes: u16,
    #[case] centres: u16,
    #[case] again_after: u64,
) {
    let mut world = fleet(nodes, centres);
    let all = all_nodes(&world);
    // Three tenths of the capacity of the endpoints, four tenths of which are closed.
    let rate = 36 * u64::from(centres);
    load(&mut world, MODEL, rate, Span::from_secs(9), &all);
    let copy = publish_lost_writes(&mut world);
    let since = world.now;
    // In a fleet of one data centre the evacuation leaves no endpoint.
    let served = centres > 1;
    let restored = List {
        era: Era(2),
        settled: false,
        ..copy.clone()
    };
    world.publish_to_readers(restored.clone());
    let from = world.now;
    while are_behind(&world, 2, &all) {
        world.run_for(Span::from_millis(20));
        assert!(world.now.since(from) <= IN_FORCE_WITHIN, "in force");
    }
    world.run_for(Span::from_millis(again_after));
    assert_eq!(misrouted(&world, &copy, since), 0);
    // All writes are repeated, under revisions that were used before.
    let again = List {
        revision: copy.revision + 3,
        settled: true,
        endpoints: copy
            .endpoints
            .iter()
            .filter(|one| !has_ended(one))
            .map(|one| Endpoint {
                leaving: is_leaving(one),
                ..one.clone()
            })
            .collect(),
        evacuated: vec![id::DataCentre::new("dc0")],
        ..restored
    };
    world.publish_to_readers(again);
    world.run_for(Span::from_secs(2));
    assert_eq!(misrouted(&world, &copy, since), 0);
    let outcomes = world.arrived_between(since, world.now);
    let began = share(&outcomes, |one| one.began.is_some());
    assert_eq!(began > 0.9, served, "{began}");
}

/// A quarter of the nodes is partitioned during the restore, and another quarter restarts.
#[test]
fn partitioned_and_starting_nodes_adopt_the_new_era() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    let copy = publish_lost_writes(&mut world);
    let since = world.now;
    let cut: Vec<u16> = all.iter().copied().filter(|node| node % 4 == 1).collect();
    world.partitioned = cut.iter().copied().collect();
    let killed: Vec<u16> = all.iter().copied().filter(|node| node % 4 == 2).collect();
    for node in &killed {
        world.kill(*node);
    }
    let restored = List {
        era: Era(2),
        settled: false,
        ..copy.clone()
    };
    world.publish_to_readers(restored);
    for node in &killed {
        world.boot(*node, 2);
    }
    world.run_for(SECOND);
    world.partitioned.clear();
    let from = world.now;
    while are_behind(&world, 2, &all) {
        world.run_for(Span::from_millis(20));
        assert!(world.now.since(from) <= Span::from_secs(2), "in force");
    }
    let stayed = |node: &u16| !killed.contains(node);
    let stayed: Vec<u16> = all.iter().copied().filter(stayed).collect();
    load(&mut world, MODEL, 200, SECOND, &stayed);
    world.run_for(SECOND);
    assert_eq!(misrouted(&world, &copy, since), 0);
}

/// Every other node runs the previous build, which knows no eras. No node of this build
/// goes back to the older list because of it, neither at once nor when the new revisions
/// exceed those that the previous build has.
#[test]
fn the_previous_build_sets_no_node_back() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    world.previous_build = all.iter().copied().filter(|node| node % 2 == 1).collect();
    let copy = publish_lost_writes(&mut world);
    let since = world.now;
    let new: Vec<u16> = all.iter().copied().filter(|node| node % 2 == 0).collect();
    for step in 0..4 {
        let list = List {
            era: Era(2),
            revision: REVISION - LOST_WRITES + step * 30,
            settled: step > 0,
            endpoints: copy
                .endpoints
                .iter()
                .filter(|one| step == 0 || !has_ended(one))
                .cloned()
                .collect(),
            ..copy.clone()
        };
        // Nodes of both builds read the list.
        world.publish(list, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
        world.run_for(SECOND);
        assert!(!are_behind(&world, 2, &new), "step {step}");
        load(&mut world, MODEL, 100, SECOND, &new);
        world.run_for(SECOND);
        assert_eq!(misrouted(&world, &copy, since), 0, "step {step}");
    }
    // Once the revisions exceed all that the previous build knew, it follows again.
    let newest = world.nodes.values().map(|node| node.edition().revision);
    let newest: Vec<u64> = newest.collect();
    assert!(newest.iter().all(|one| *one == newest[0]), "{newest:?}");
}
