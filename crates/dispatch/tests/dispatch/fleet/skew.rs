//! Callers of whom most come to one node, which needs most slots of the fleet.

use super::*;

/// The slots that are in use, in percent.
const USED_PERCENT: u64 = 60;

/// How long callers come to one node before they come to another, or to all alike again.
const PERIOD: Span = Span::from_secs(4);

/// Returns a fleet with two endpoints to each node.
fn fleet(nodes: u16, centres: u16, service: &'static str, call_time: Span) -> Shape {
    Shape {
        nodes: nodes / centres,
        centres,
        endpoints: 2 * nodes / centres,
        slots: 4,
        service,
        call_time,
        ..shape()
    }
}

/// Sends requests for a period, nine in ten of them to one node if one is given. Returns the share
/// that was served.
fn serve_skewed(world: &mut World, shape: &Shape, skewed: Option<u16>) -> f64 {
    let slots = u64::from(shape.centres * shape.endpoints) * u64::from(shape.slots);
    let per_second = slots * USED_PERCENT * SECOND.0 / (100 * shape.call_time.0);
    let from = world.now;
    let nodes = all_nodes(world);
    let to_all = match skewed {
        Some(_) => per_second / 10,
        None => per_second,
    };
    load(world, shape.service, to_all, PERIOD, &nodes);
    if let Some(node) = skewed {
        load(world, shape.service, per_second - to_all, PERIOD, &[node]);
    }
    world.run_for(PERIOD);
    let until = world.now;
    // Lets those that arrived last be answered, without others.
    world.run_for(Span::from_secs(3));
    share(&world.arrived_between(from, until), |one| one.whole)
}

/// Guards against requests that one node refuses since it gets too few of the fleet's free slots.
#[rstest]
#[case::one_cell(6, 1, MODEL, 300)]
#[case::one_cell_and_long_calls(6, 1, SERVICE, 1_100)]
#[case::three_cells(24, 3, MODEL, 300)]
#[case::three_cells_and_long_calls(24, 3, SERVICE, 1_100)]
#[case::three_cells_and_long_streams(24, 3, MODEL, 1_100)]
#[case::many_nodes(66, 3, MODEL, 300)]
#[case::many_nodes_and_long_calls(66, 3, SERVICE, 1_100)]
fn one_node_gets_the_slots_that_its_callers_need(
    #[case] nodes: u16,
    #[case] centres: u16,
    #[case] service: &'static str,
    #[case] call_ms: u64,
) {
    let shape = fleet(nodes, centres, service, Span::from_millis(call_ms));
    let mut world = World::start(shape.clone());
    let before = serve_skewed(&mut world, &shape, None);
    for node in [1, nodes - 1] {
        let skewed = serve_skewed(&mut world, &shape, Some(node));
        assert!(
            skewed >= 0.9 * before,
            "{skewed} at {node}, {before} before"
        );
    }
    let after = serve_skewed(&mut world, &shape, None);
    assert!(after >= 0.99 * before, "{after} after, {before} before");
    assert_all_finished(&mut world);
}
