//! Tests for requests that may run in some regions only, in a large fleet.

use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::map::HashMap;
use woadstage_dispatch::region::Constraint;
use woadstage_dispatch::region::Map;
use woadstage_dispatch::region::Regions;
use woadstage_types::id;

use super::*;

/// Data centres `dc0` and `dc1` are in the north, `dc2` is in the south.
fn regions() -> Map {
    let centres = [("dc0", "north"), ("dc1", "north"), ("dc2", "south")];
    let centres = centres.map(|(centre, region)| {
        let region = id::Region::new(region);
        (id::DataCentre::new(centre), region)
    });
    Map::new(HashMap::from_iter(centres))
}

fn fleet(nodes: u16) -> World {
    World::start(Shape {
        nodes,
        centres: 3,
        regions: regions(),
        ..shape()
    })
}

fn north() -> Constraint {
    Constraint {
        route: Regions::new([id::Region::new("north")]),
        ..Constraint::default()
    }
}

/// Sends requests that may run in the north only, at a rate and for a time.
fn load_north(world: &mut World, per_second: u64, span: Span, nodes: &[u16]) {
    for number in 0..per_second * span.0 / SECOND.0 {
        let random = hash::chain(world.now.0, &number.to_le_bytes());
        let node = nodes[(random >> 32) as usize % nodes.len()];
        world.arrive(Span(random % span.0), node, |when| Job {
            constraint: north(),
            ..request(MODEL)(when)
        });
    }
}

/// Counts the arrivals at endpoints of the south.
fn arrivals_in_the_south(world: &World) -> usize {
    let south = world.list.endpoints.iter();
    let south = south.filter(|one| one.data_centre == id::DataCentre::new("dc2"));
    let arrivals = south.filter_map(|one| world.arrivals.get(&one.name));
    arrivals.flatten().count()
}

/// Callers of all data centres are served in the north, and nowhere else.
#[rstest]
#[case::one_cell(4)]
#[case::cells(26)]
fn requests_run_only_in_allowed_regions(#[case] nodes: u16) {
    let mut world = fleet(nodes);
    let all = all_nodes(&world);
    load_north(&mut world, 150, Span::from_secs(5), &all);
    let from = world.now;
    world.run_for(Span::from_secs(5));
    assert_eq!(arrivals_in_the_south(&world), 0);
    assert_in_time(&world.arrived_between(from, world.now), 95.0);
    assert_all_finished(&mut world);
}

/// While the south hears nothing of the north, it is divided into cells anew. Its nodes may
/// then use endpoints of the north themselves, and none of their own.
#[rstest]
#[case::regions_apart(|node| node % 3 / 2)]
#[case::each_centre_alone(|node| node % 3)]
#[case::each_node_alone(|node| node)]
fn partitions_between_regions(#[case] part: fn(u16) -> u16) {
    let mut world = fleet(26);
    let all = all_nodes(&world);
    load_north(&mut world, 100, Span::from_secs(9), &all);
    world.run_for(SECOND);
    world.partition_of = Some(part);
    world.run_for(Span::from_secs(4));
    world.partition_of = None;
    world.run_for(Span::from_secs(4));
    assert_eq!(arrivals_in_the_south(&world), 0);
    assert_all_finished(&mut world);
}

/// With the whole region evacuated, the requests are refused.
#[test]
fn with_their_region_evacuated_requests_are_refused() {
    let mut world = fleet(26);
    let all = all_nodes(&world);
    let closed = List {
        revision: world.list.revision + 1,
        evacuated: vec![id::DataCentre::new("dc0"), id::DataCentre::new("dc1")],
        ..(*world.list).clone()
    };
    world.publish_to_readers(closed);
    world.run_for(SECOND);
    let from = world.now;
    load_north(&mut world, 100, SECOND, &all);
    world.run_for(Span::from_secs(3));
    let seen = world.arrived_between(from, world.now);
    assert!(seen.iter().all(|one| one.refused && one.began.is_none()));
    assert_eq!(arrivals_in_the_south(&world), 0);
}
