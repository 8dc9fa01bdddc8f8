//! Nodes that lose their links to all endpoints, in fleets with and without owners of slots.

use rstest::rstest;
use woadstage_types::unit::Span;

use super::Outcome;
use super::Shape;
use super::World;
use super::all_nodes;
use super::load;
use super::middle;
use super::shape;
use super::share;
use super::small;
use crate::support::MODEL;
use crate::support::SERVICE;

/// How long nodes have to notice that their links are lost.
const DETECTION_TIME: Span = Span::from_secs(3);

/// The share of requests that must be served at nodes without links.
const MIN_SERVED: f64 = 0.95;

/// The share of requests that must be served in time at the other nodes.
const MIN_SERVED_ELSEWHERE: f64 = 0.98;

/// Calls of 20 ms at endpoints with few slots, so that hanging calls soon take all of them.
fn short_calls() -> Shape {
    Shape {
        nodes: 24,
        centres: 1,
        endpoints: 12,
        slots: 8,
        service: SERVICE,
        call_time: Span::from_millis(20),
        ..shape()
    }
}

fn served(outcomes: &[Outcome]) -> f64 {
    share(outcomes, |outcome| outcome.whole)
}

#[rstest]
#[case::one_of_seven(small(), MODEL, 100, &[0])]
#[case::four_of_seven(small(), MODEL, 100, &[0, 1, 2, 3])]
#[case::six_of_seven(small(), MODEL, 60, &[0, 1, 2, 3, 4, 5])]
#[case::eight_of_24_with_owners(short_calls(), SERVICE, 600, &[0, 1, 2, 3, 4, 5, 6, 7])]
#[case::a_third_of_72_with_owners(middle(), MODEL, 240, &[0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33, 36, 39, 42, 45, 48, 51, 54, 57, 60, 63, 66, 69])]
fn lost_links_cost_callers_little(
    #[case] shape: Shape,
    #[case] service: &'static str,
    #[case] per_second: u64,
    #[case] cut: &[u16],
) {
    let mut world = World::start(shape);
    let nodes = all_nodes(&world);
    let span = Span::from_secs(14);
    load(&mut world, service, per_second, span, &nodes);
    world.run_for(Span::from_secs(2));
    world.cut = cut.iter().copied().collect();
    let cut_at = world.now;
    world.run_for(Span::from_secs(9));
    world.cut.clear();
    world.run_for(Span::from_secs(13));
    let others = served(&world.arrived_at(cut_at, |node| !cut.contains(&node)));
    assert!(others >= MIN_SERVED_ELSEWHERE, "{others} at the others");
    let at_cut = world.arrived_at(cut_at + DETECTION_TIME, |node| cut.contains(&node));
    let at_cut = served(&at_cut);
    assert!(at_cut >= MIN_SERVED, "{at_cut} at nodes without links");
    for (node, dispatcher) in &world.nodes {
        let lost: usize = dispatcher
            .summaries(world.now)
            .iter()
            .map(|one| one.lost_links)
            .sum();
        assert_eq!(lost, 0, "node {node}");
        assert_eq!(dispatcher.held(), 0, "node {node}");
    }
}
