//! Tests for evacuated data centres in a large fleet.

use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::id;

use super::cold::FALLS_ABOVE;
use super::cold::most_in_a_second;
use super::*;

/// Creates a fleet of this many nodes in this many data centres.
fn fleet(nodes: u16, centres: u16) -> World {
    World::start(Shape {
        nodes,
        centres,
        ..super::cold::shape()
    })
}

/// Returns the current list with these data centres evacuated.
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

/// Counts the arrivals at a data centre's endpoints after a point in time.
fn arrivals_after(world: &World, centre: &str, since: Time) -> usize {
    let near = endpoints_of(world, centre);
    let arrivals = near.iter().filter_map(|one| world.arrivals.get(&one.name));
    arrivals.flatten().filter(|at| **at > since).count()
}

/// Returns how long it takes until the published list is in force on every running node.
fn time_until_in_force(world: &mut World) -> Span {
    let from = world.now;
    let revision = world.list.revision;
    while world
        .nodes
        .values()
        .any(|node| node.edition().revision < revision)
    {
        world.run_for(Span::from_millis(20));
        assert!(world.now.since(from) < Span::from_secs(10), "in force");
    }
    world.now.since(from)
}

/// The platform rejects a third of all nodes; in one case half of the nodes are killed and
/// restarted meanwhile.
#[rstest]
#[case::nodes_79(26, 3, false)]
#[case::nodes_79_killed(26, 3, true)]
#[case::nodes_295(59, 5, false)]
fn an_evacuation_reaches_every_node_within_a_second(
    #[case] nodes: u16,
    #[case] centres: u16,
    #[case] kill: bool,
) {
    let mut world = fleet(nodes, centres);
    let all = all_nodes(&world);
    let rejected = all
        .iter()
        .copied()
        .filter(|node| (node / centres).is_multiple_of(3));
    world.without_platform = rejected.collect();
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
    let took = time_until_in_force(&mut world);
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
    // Half the capacity of the endpoints of two data centres.
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

/// Evacuates one data centre after the other; each evacuation lifts the one before.
#[test]
fn successive_evacuations() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    load(&mut world, MODEL, 500, Span::from_secs(9), &all);
    world.run_for(SECOND);
    for centre in ["dc0", "dc1", "dc2"] {
        let list = evacuated(&world, &[centre]);
        world.publish_to_readers(list);
        time_until_in_force(&mut world);
        let since = world.now;
        world.run_for(Span::from_secs(2));
        assert_eq!(arrivals_after(&world, centre, since), 0, "{centre}");
    }
    let list = evacuated(&world, &[]);
    world.publish_to_readers(list);
    assert_all_finished(&mut world);
}

/// An evacuation is lifted during a burst. The endpoints are cold by then, whether or not
/// they report it.
#[test]
fn restored_endpoints_are_cold() {
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

/// With every data centre evacuated, callers are refused.
#[test]
fn with_all_evacuated_callers_are_refused() {
    let mut world = fleet(26, 3);
    let all = all_nodes(&world);
    world.run_for(SECOND);
    let list = evacuated(&world, &["dc0", "dc1", "dc2"]);
    world.publish_to_readers(list);
    time_until_in_force(&mut world);
    let seen = serve(&mut world, MODEL, 200, SECOND, &all);
    world.run_for(SECOND);
    assert!(seen.iter().all(|one| one.began.is_none()));
    let refused = world.arrived_between(Time(0), world.now);
    assert!(refused.iter().all(|one| one.refused));
}
