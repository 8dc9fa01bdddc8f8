//! Requests that may run in some regions only, in a large fleet.

use std::collections::HashMap;

use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::region::Bound;
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
    Map::new(HashMap::from(centres))
}

fn fleet(nodes: u16) -> World {
    World::start(Shape {
        nodes,
        centres: 3,
        regions: regions(),
        ..shape()
    })
}

fn north() -> Bound {
    Bound {
        route: Regions::new([id::Region::new("north")]),
        ..Bound::default()
    }
}

/// Sends requests that may run in the north only, so many a second, for a span.
fn load_bound(world: &mut World, per_second: u64, span: Span, nodes: &[u16]) {
    for number in 0..per_second * span.0 / SECOND.0 {
        let drawn = hash::chain(world.now.0, &number.to_le_bytes());
        let node = nodes[(drawn >> 32) as usize % nodes.len()];
        world.arrive(Span(drawn % span.0), node, |when| Job {
            bound: north(),
            ..request(MODEL)(when)
        });
    }
}

/// Arrivals at endpoints of the south.
fn in_the_south(world: &World) -> usize {
    let south = world.list.endpoints.iter();
    let south = south.filter(|one| one.data_centre == id::DataCentre::new("dc2"));
    let arrivals = south.filter_map(|one| world.arrivals.get(&one.name));
    arrivals.flatten().count()
}

/// Callers of all data centres are served in the north, and nowhere else.
#[rstest]
#[case::one_cell(4)]
#[case::cells(26)]
fn they_run_where_they_may(#[case] nodes: u16) {
    let mut world = fleet(nodes);
    let all = all_nodes(&world);
    load_bound(&mut world, 150, Span::from_secs(5), &all);
    let from = world.now;
    world.run_for(Span::from_secs(5));
    assert_eq!(in_the_south(&world), 0);
    assert_in_time(&world.arrived_between(from, world.now), 95.0);
    assert_all_finished(&mut world);
}

/// While the south hears nothing of the north and is cut into cells anew, its nodes may
/// reach endpoints of the north themselves, and none of their own.
#[rstest]
#[case::regions_apart(|node| node % 3 / 2)]
#[case::each_centre_alone(|node| node % 3)]
#[case::each_node_alone(|node| node)]
fn cuts_between_regions(#[case] part: fn(u16) -> u16) {
    let mut world = fleet(26);
    let all = all_nodes(&world);
    load_bound(&mut world, 100, Span::from_secs(9), &all);
    world.run_for(SECOND);
    world.partition_of = Some(part);
    world.run_for(Span::from_secs(4));
    world.partition_of = None;
    world.run_for(Span::from_secs(4));
    assert_eq!(in_the_south(&world), 0);
    assert_all_finished(&mut world);
}

/// With the whole region evacuated they are refused, and told when to return.
#[test]
fn with_their_regions_evacuated_they_are_refused() {
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
    load_bound(&mut world, 100, SECOND, &all);
    world.run_for(Span::from_secs(3));
    let seen = world.arrived_between(from, world.now);
    assert!(seen.iter().all(|one| one.refused && one.began.is_none()));
    assert_eq!(in_the_south(&world), 0);
}
