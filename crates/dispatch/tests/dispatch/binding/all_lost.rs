//! Streams around the time in which all nodes are lost at once, and what nodes rely on that nobody
//! watched for.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::unit::Span;

use super::engines_of;
use super::fleet::Fleet;
use super::with_restarted;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::list;
use crate::support::node;

/// The node that serves the callers.
const ORIGIN: u8 = 1;

const STREAMS: u64 = 18;

/// Kills all nodes at once and starts them again a second later.
fn restart_all(fleet: &mut Fleet, list: &Arc<List>) {
    let count = u8::try_from(fleet.nodes.len()).expect("few nodes");
    fleet.nodes.clear();
    fleet.run_for(Span::from_secs(1));
    for number in 1..=count {
        fleet.start_node(number, 1_000 + u64::from(number), list);
    }
}

/// Guards against nodes that vouch for the only version they have seen, to callers whose streams began
/// before all nodes started: neither a route's timeout nor what is left of a try bounds their age.
#[rstest]
fn streams_are_not_joined_that_began_before_all_nodes_started(
    #[values(5, 20)] nodes: u8,
    #[values(400, 9_000, 17_000, 40_000)] after_ms: u64,
) {
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines_of(&["1", "2"], 4)));
    fleet.run_for(Span::from_secs(6));
    let begun = fleet.begin_all(ORIGIN, STREAMS);
    let remaining = engines_of(&["2"], 4);
    restart_all(&mut fleet, &list(2, &remaining));
    fleet.run_for(Span::from_millis(after_ms));
    let is_old = |endpoint: &Endpoint| !remaining.contains(endpoint);
    assert!(begun.iter().any(|begun| is_old(&begun.endpoint)));
    let taken_up = fleet.take_up_all(&begun);
    for (begun, taken_up) in begun.iter().zip(taken_up) {
        assert!(
            !is_old(&begun.endpoint) || taken_up.is_err(),
            "{taken_up:?}"
        );
    }
}

/// Guards against nodes that have just started and believe an entry that is older than the start of its
/// endpoint.
#[rstest]
fn streams_are_not_joined_if_endpoints_started_again_while_all_nodes_were_down(
    #[values(5, 20)] nodes: u8,
) {
    let engines = engines_of(&["1", "2"], 4);
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    restart_all(&mut fleet, &list(1, &engines));
    let written_at = fleet.now + Span::from_millis(1_600);
    fleet.run_for(Span::from_millis(300));
    let begun = fleet.begin_all(ORIGIN, STREAMS);
    let is_restarted = |endpoint: &Endpoint| ["e-1-0", "e-1-1"].contains(&endpoint.name.as_str());
    assert!(begun.iter().any(|begun| is_restarted(&begun.endpoint)));
    fleet.run_for(written_at.since(fleet.now));
    fleet.publish(&list(2, &with_restarted(&engines, "2", is_restarted)));
    fleet.run_for(Span::from_secs(1));
    fleet.nodes.remove(&node(ORIGIN));
    let taken_up = fleet.take_up_all(&begun);
    for (begun, taken_up) in begun.iter().zip(taken_up) {
        match is_restarted(&begun.endpoint) {
            true => assert_ne!(taken_up.ok(), begun.endpoint.software),
            false => assert_eq!(taken_up.ok(), begun.endpoint.software),
        }
    }
}

/// Guards against refusing streams at a node that restarts while others watch the endpoints.
#[test]
fn a_node_that_starts_beside_others_relies_on_its_first_list() {
    let engines = engines_of(&["1", "2"], 4);
    let mut fleet = Fleet::with_list(5, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    fleet.start_node(3, 1_000, &list(1, &engines));
    fleet.run_for(Span::from_millis(600));
    let started = &fleet.nodes[&node(3)];
    for engine in &engines {
        assert_eq!(started.software_opt(engine), engine.software.as_ref());
    }
}

/// Guards against relying on endpoints that started again while the only node was suspended.
#[test]
fn a_node_that_was_suspended_alone_relies_on_its_list_later() {
    let engines = engines_of(&["1"], 1);
    let mut dispatcher = dispatcher(&engines);
    let mut is_known = |millis: u64| {
        dispatcher.tick(at(millis));
        dispatcher.software_opt(&engines[0]).is_some()
    };
    assert!(is_known(1_000));
    assert!(!is_known(4_000));
    assert!(!is_known(5_000));
    assert!(!is_known(6_100));
    assert!(is_known(6_300));
}
