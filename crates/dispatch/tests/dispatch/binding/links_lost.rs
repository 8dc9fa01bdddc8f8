//! Streams around the time in which nodes lose their links to endpoints.

use rstest::rstest;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::engines_of;
use super::fleet::Fleet;
use super::with_restarted;
use crate::support::list;
use crate::support::node;

/// The node that serves the callers.
const ORIGIN: u8 = 1;

const STREAMS: u64 = 18;

/// How long the links are lost.
const OUTAGE: Span = Span::from_secs(2);

/// How long nodes take to reach all endpoints again.
const REGAIN_TIME: Span = Span::from_millis(600);

/// Cuts the links of all nodes to endpoints, which are reached again afterwards.
fn lose_links(fleet: &mut Fleet, lost: &[Endpoint]) {
    let numbers = 1..=u8::try_from(fleet.nodes.len()).expect("few nodes");
    for number in numbers {
        fleet.cut_links(number, lost);
    }
    fleet.run_for(OUTAGE);
    fleet.unreachable.clear();
    fleet.run_for(REGAIN_TIME);
}

/// Guards against taking endpoints for ended whose links were lost, so that nobody knew which version
/// began the streams that follow.
#[rstest]
fn streams_go_on_that_began_after_links_were_lost(
    #[values(5, 20, 100)] nodes: u8,
    #[values(&["1"], &["1", "2"])] versions: &[&str],
    #[values(3, 4)] of_four_links: usize,
    #[values(100, 500, 2_000)] after_ms: u64,
) {
    let engines = engines_of(versions, 6);
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    lose_links(&mut fleet, &engines[..engines.len() * of_four_links / 4]);
    fleet.run_for(Span::from_millis(after_ms));
    let begun = fleet.begin_all(ORIGIN, STREAMS);
    fleet.run_for(Span::from_secs(2));
    fleet.nodes.remove(&node(ORIGIN));
    let taken_up = fleet.take_up_all(&begun);
    for (begun, taken_up) in begun.iter().zip(taken_up) {
        assert_eq!(taken_up.ok(), begun.endpoint.software);
    }
}

/// Guards against the other error: an endpoint that ended behind the cut and started again with other
/// software is not yet listed so when its links are back.
#[rstest]
fn streams_are_not_joined_if_their_endpoint_started_again_behind_the_cut(
    #[values(5, 20)] nodes: u8,
    #[values(20, 1_600)] listed_after_ms: u64,
) {
    let engines = engines_of(&["1", "2"], 6);
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    lose_links(&mut fleet, &engines);
    let begun = fleet.begin_all(ORIGIN, STREAMS);
    let one = Some(id::Software::new("1"));
    let mut placed = begun.iter().map(|begun| &begun.endpoint);
    let restarted = placed.find(|endpoint| endpoint.software == one);
    let restarted = restarted.expect("a stream at version 1").name.clone();
    let is_restarted = |endpoint: &Endpoint| endpoint.name == restarted;
    fleet.run_for(Span::from_millis(listed_after_ms));
    fleet.publish(&list(2, &with_restarted(&engines, "2", is_restarted)));
    fleet.run_for(Span::from_millis(2_000 - listed_after_ms));
    fleet.nodes.remove(&node(ORIGIN));
    let taken_up = fleet.take_up_all(&begun);
    for (begun, taken_up) in begun.iter().zip(taken_up) {
        match is_restarted(&begun.endpoint) {
            true => assert_ne!(taken_up.ok(), one),
            false => assert_eq!(taken_up.ok(), begun.endpoint.software),
        }
    }
}

/// Guards against refusing streams that broke with the links, since no endpoint counts as one of their
/// version when these are back.
#[rstest]
fn streams_go_on_that_were_broken_off_by_lost_links(
    #[values(5, 20)] nodes: u8,
    #[values(&["1"], &["1", "2"])] versions: &[&str],
) {
    let engines = engines_of(versions, 6);
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    let keys = (0..STREAMS).map(|key| Key(key * 1_000_003));
    let begun: Vec<_> = keys.map(|key| (key, fleet.begin(ORIGIN, key))).collect();
    fleet.run_for(Span::from_millis(100));
    lose_links(&mut fleet, &engines);
    for (position, (key, (id, software))) in (0..).zip(begun) {
        fleet.end(ORIGIN, id);
        let number = 2 + position % (nodes - 1);
        assert_eq!(fleet.take_up(number, key), Ok(software));
    }
}
