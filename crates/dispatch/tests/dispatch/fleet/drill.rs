//! The platform comes back with an older copy of what it had acknowledged, while nodes
//! serve, are cut off, and start.

use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::id;

use super::*;

/// Until when all nodes that are not cut off have a list of the new era.
const IN_FORCE_WITHIN: Span = Span::from_secs(1);

/// The revision of the list before, and how many writes of it are lost.
const REVISION: u64 = 1_000;
const LOST_WRITES: u64 = 60;

fn fleet(nodes: u16, centres: u16) -> World {
    World::start(Shape {
        nodes,
        centres,
        endpoints: 12,
        ..shape()
    })
}

/// Publishes a list with the writes that are lost later: some endpoints ended, some are
/// leaving, and a data centre is evacuated. Gives the copy from before.
fn write(world: &mut World) -> List {
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

/// The number in an endpoint's name.
fn number(endpoint: &Endpoint) -> u64 {
    let digits = endpoint.name.as_str().trim_start_matches('e');
    digits.parse().expect("a number")
}

fn has_ended(endpoint: &Endpoint) -> bool {
    number(endpoint).is_multiple_of(5)
}

fn is_leaving(endpoint: &Endpoint) -> bool {
    number(endpoint) % 5 == 1
}

/// Requests that reached what a list had named as ended, leaving or evacuated.
fn misrouted(world: &World, copy: &List, since: Time) -> usize {
    let closed = copy.endpoints.iter().filter(|one| {
        let evacuated = one.data_centre == id::DataCentre::new("dc0");
        has_ended(one) || is_leaving(one) || evacuated
    });
    let arrivals = closed.filter_map(|one| world.arrivals.get(&one.name));
    arrivals.flatten().filter(|at| **at > since).count()
}

/// Nodes that run and have no list of an era yet.
fn are_behind(world: &World, era: u64, nodes: &[u16]) -> bool {
    let mut running = nodes.iter().filter_map(|node| world.nodes.get(node));
    running.any(|node| node.edition().era < Era(era))
}

/// The platform comes back; what was lost is written again after so long.
#[rstest]
#[case::nodes_7(7, 1, 200)]
#[case::nodes_7_away_for_long(7, 1, 2_000)]
#[case::nodes_78(26, 3, 200)]
#[case::nodes_78_away_for_long(26, 3, 2_000)]
#[case::nodes_414(46, 9, 2_000)]
fn what_was_known_holds_until_it_is_written_again(
    #[case] nodes: u16,
    #[case] centres: u16,
    #[case] again_after: u64,
) {
    let mut world = fleet(nodes, centres);
    let all = all_nodes(&world);
    // Three in ten of what the endpoints can do; of them four in ten close.
    let rate = 36 * u64::from(centres);
    load(&mut world, MODEL, rate, Span::from_secs(9), &all);
    let copy = write(&mut world);
    let since = world.now;
    // Nothing is left in a fleet of one data centre.
    let served = centres > 1;
    let drill = List {
        era: Era(2),
        settled: false,
        ..copy.clone()
    };
    world.publish_to_readers(drill.clone());
    let from = world.now;
    while are_behind(&world, 2, &all) {
        world.run_for(Span::from_millis(20));
        assert!(world.now.since(from) <= IN_FORCE_WITHIN, "in force");
    }
    world.run_for(Span::from_millis(again_after));
    assert_eq!(misrouted(&world, &copy, since), 0);
    // All is written again, under revisions that were given out before.
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
        ..drill
    };
    world.publish_to_readers(again);
    world.run_for(Span::from_secs(2));
    assert_eq!(misrouted(&world, &copy, since), 0);
    let outcomes = world.arrived_between(since, world.now);
    let began = share(&outcomes, |one| one.began.is_some());
    assert_eq!(began > 0.9, served, "{began}");
}

/// A quarter of the nodes is cut off in the meantime, and others start in the window.
#[test]
fn nodes_that_were_cut_off_or_start_take_the_new_era() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    let copy = write(&mut world);
    let since = world.now;
    let cut: Vec<u16> = all.iter().copied().filter(|node| node % 4 == 1).collect();
    world.cut_off = cut.iter().copied().collect();
    let killed: Vec<u16> = all.iter().copied().filter(|node| node % 4 == 2).collect();
    for node in &killed {
        world.kill(*node);
    }
    let drill = List {
        era: Era(2),
        settled: false,
        ..copy.clone()
    };
    world.publish_to_readers(drill);
    for node in &killed {
        world.boot(*node, 2);
    }
    world.run_for(SECOND);
    world.cut_off.clear();
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

/// Every other node runs the build before, which cannot know of the drill: no new one
/// is led back by it, neither at once nor as its revisions are passed.
#[test]
fn the_build_before_leads_nobody_back() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    world.previous_build = all.iter().copied().filter(|node| node % 2 == 1).collect();
    let copy = write(&mut world);
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
        // Some of either build read.
        world.publish(list, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
        world.run_for(SECOND);
        assert!(!are_behind(&world, 2, &new), "step {step}");
        load(&mut world, MODEL, 100, SECOND, &new);
        world.run_for(SECOND);
        assert_eq!(misrouted(&world, &copy, since), 0, "step {step}");
    }
    // Once the count has passed all that the build before knew, it follows again.
    let newest = world.nodes.values().map(|node| node.edition().revision);
    let newest: Vec<u64> = newest.collect();
    assert!(newest.iter().all(|one| *one == newest[0]), "{newest:?}");
}
