//! Data centres that are evacuated, in a large fleet.

use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::id;

use super::cold::FALLS_ABOVE;
use super::cold::most_in_a_second;
use super::*;

/// A fleet of so many nodes in three or five data centres.
fn fleet(nodes: u16, centres: u16) -> World {
    World::start(Shape {
        nodes,
        centres,
        ..super::cold::shape()
    })
}

/// The list with these data centres evacuated.
fn evacuated(world: &World, centres: &[&str]) -> List {
    List {
        revision: world.list.revision + 1,
        evacuated: centres
            .iter()
            .map(|name| id::DataCentre::new(name))
            .collect(),
        ..(*world.list).clone()
    }
}

fn endpoints_of(world: &World, centre: &str) -> Vec<Endpoint> {
    let all = world.list.endpoints.iter();
    let near = all.filter(|one| one.data_centre == id::DataCentre::new(centre));
    near.cloned().collect()
}

/// Arrivals at the endpoints of a data centre after a moment.
fn arrivals_after(world: &World, centre: &str, since: Time) -> usize {
    let near = endpoints_of(world, centre);
    let arrivals = near.iter().filter_map(|one| world.arrivals.get(&one.name));
    arrivals.flatten().filter(|at| **at > since).count()
}

/// Tells how long it takes until a list is in force on every node that runs.
fn in_force_after(world: &mut World) -> Span {
    let from = world.now;
    let wanted = world.list.revision;
    while world
        .nodes
        .values()
        .any(|node| node.edition().revision < wanted)
    {
        world.run_for(Span::from_millis(20));
        assert!(world.now.since(from) < Span::from_secs(10), "in force");
    }
    world.now.since(from)
}

/// A third of all nodes are turned away by the platform; half of those and some
/// others are killed and start again meanwhile.
#[rstest]
#[case::nodes_79(26, 3, false)]
#[case::nodes_79_killed(26, 3, true)]
#[case::nodes_295(59, 5, false)]
fn no_node_is_late(#[case] nodes: u16, #[case] centres: u16, #[case] kill: bool) {
    let mut world = fleet(nodes, centres);
    let all = all_nodes(&world);
    let away = all
        .iter()
        .copied()
        .filter(|node| (node / centres).is_multiple_of(3));
    world.without_platform = away.collect();
    load(&mut world, MODEL, 500, Span::from_secs(5), &all);
    world.run_for(SECOND);
    let list = evacuated(&world, &["dc0"]);
    world.publish_to_readers(list);
    if kill {
        let killed: Vec<u16> = all
            .iter()
            .copied()
            .filter(|node| (node / centres).is_multiple_of(2))
            .collect();
        kill_for(&mut world, &killed, Span::from_millis(600));
    }
    let took = in_force_after(&mut world);
    assert!(took <= Span::from_secs(1), "in force after {took}");
    let since = world.now;
    world.run_for(Span::from_secs(2));
    assert_eq!(arrivals_after(&world, "dc0", since), 0);
}

/// Callers of the evacuated data centre are served as well as others.
#[test]
fn callers_of_an_evacuated_data_centre_are_served_elsewhere() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    // Half of what the endpoints of two data centres can do.
    load(&mut world, MODEL, 600, Span::from_secs(8), &all);
    world.run_for(SECOND);
    let list = evacuated(&world, &["dc0"]);
    world.publish_to_readers(list);
    world.run_for(SECOND);
    let from = world.now;
    world.run_for(Span::from_secs(4));
    let here: Vec<Outcome> = world.arrived_at(from, |node| node % 3 == 0);
    assert_in_time(&here, 97.0);
    assert_in_time(&world.arrived_between(from, world.now), 97.0);
    assert_all_finished(&mut world);
}

/// One after the other, and one taken back as the next is evacuated.
#[test]
fn evacuations_that_follow_each_other() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    load(&mut world, MODEL, 500, Span::from_secs(9), &all);
    world.run_for(SECOND);
    for centre in ["dc0", "dc1", "dc2"] {
        let list = evacuated(&world, &[centre]);
        world.publish_to_readers(list);
        in_force_after(&mut world);
        let since = world.now;
        world.run_for(Span::from_secs(2));
        assert_eq!(arrivals_after(&world, centre, since), 0, "{centre}");
    }
    let list = evacuated(&world, &[]);
    world.publish_to_readers(list);
    assert_all_finished(&mut world);
}

/// A data centre is taken back during a burst: its endpoints are cold then,
/// whether or not they say so.
#[test]
fn what_is_taken_back_is_cold() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    load(&mut world, MODEL, 500, Span::from_secs(8), &all);
    world.run_for(SECOND);
    let list = evacuated(&world, &["dc0"]);
    world.publish_to_readers(list);
    world.run_for(Span::from_secs(2));
    load(&mut world, MODEL, 800, Span::from_secs(4), &all);
    let from = world.now;
    let list = evacuated(&world, &[]);
    world.publish_to_readers(list);
    world.run_for(Span::from_millis(2_900));
    let near = endpoints_of(&world, "dc0");
    let most = near.iter().map(|one| most_in_a_second(&world, one, from));
    let most = most.max().unwrap_or(0);
    assert!((5..=FALLS_ABOVE).contains(&most), "{most} in a second");
}

/// With every data centre evacuated callers are refused, and told when to return.
#[test]
fn with_nothing_left_callers_are_refused() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    world.run_for(SECOND);
    let list = evacuated(&world, &["dc0", "dc1", "dc2"]);
    world.publish_to_readers(list);
    in_force_after(&mut world);
    let seen = serve(&mut world, MODEL, 200, SECOND, &all);
    world.run_for(SECOND);
    assert!(seen.iter().all(|one| one.began.is_none()));
    let refused = world.arrived_between(Time(0), world.now);
    assert!(refused.iter().all(|one| one.refused));
}
