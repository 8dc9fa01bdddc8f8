//! Streams that begin after nodes lost their links to endpoints which never ended.

use rstest::rstest;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::engine;
use super::fleet;
use super::fleet::Fleet;
use super::take_up;
use crate::support::list;
use crate::support::node;

/// The node that serves the callers.
const ORIGIN: u8 = 1;

const STREAMS: u64 = 18;

/// How long the links are lost.
const OUTAGE: Span = Span::from_secs(2);

fn engines(versions: &[&str]) -> Vec<Endpoint> {
    let numbers = versions
        .iter()
        .flat_map(|software| (0..6).map(move |number| (software, number)));
    let engines = numbers.map(|(software, number)| {
        engine(
            &format!("e-{software}-{number}"),
            software,
            fleet::centre(number),
        )
    });
    engines.collect()
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
    let engines = engines(versions);
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    let lost = &engines[..engines.len() * of_four_links / 4];
    for number in 1..=nodes {
        fleet.cut_links(number, lost);
    }
    fleet.run_for(OUTAGE);
    fleet.unreachable.clear();
    fleet.run_for(Span::from_millis(600 + after_ms));
    let mut begun = Vec::new();
    for key in 0..STREAMS {
        let key = Key(key * 1_000_003);
        let (id, software) = fleet.begin(ORIGIN, key);
        fleet.end(ORIGIN, id);
        begun.push((key, software));
    }
    fleet.run_for(Span::from_secs(2));
    fleet.nodes.remove(&node(ORIGIN));
    let mut lost = 0;
    for (position, (key, software)) in (0..).zip(begun) {
        let number = 2 + position % (nodes - 1);
        let request = take_up(Some(key), fleet.now);
        match fleet.submit(number, request) {
            Ok((id, taken_up)) => {
                assert_eq!(taken_up, software);
                fleet.end(number, id);
            }
            Err(_) => lost += 1,
        }
    }
    assert_eq!(lost, 0, "lost of {STREAMS}");
}

/// Guards against the other error: an endpoint that ended behind the cut and started again with other
/// software is not yet listed so when its links are back.
#[rstest]
fn streams_are_not_joined_if_their_endpoint_started_again_behind_the_cut(
    #[values(5, 20)] nodes: u8,
    #[values(20, 1_600)] listed_after_ms: u64,
) {
    let engines = engines(&["1", "2"]);
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    for number in 1..=nodes {
        fleet.cut_links(number, &engines);
    }
    fleet.run_for(OUTAGE);
    fleet.unreachable.clear();
    fleet.run_for(Span::from_millis(700));
    let keys = (0..STREAMS).map(|key| Key(key * 1_000_003));
    let begun: Vec<(Key, job::Id)> = keys.map(|key| (key, fleet.begin(ORIGIN, key).0)).collect();
    let placed = begun.iter().map(|(_, id)| fleet.endpoint_of(ORIGIN, *id));
    let placed: Vec<Endpoint> = placed.collect();
    let one = id::Software::new("1");
    let reborn = placed
        .iter()
        .find(|endpoint| endpoint.software.as_ref() == Some(&one));
    let reborn = reborn.expect("a stream at version 1").name.clone();
    for (_, id) in &begun {
        fleet.end(ORIGIN, *id);
    }
    fleet.run_for(Span::from_millis(listed_after_ms));
    let mut later = engines.clone();
    for endpoint in later.iter_mut().filter(|endpoint| endpoint.name == reborn) {
        endpoint.started_at = 2;
        endpoint.software = Some(id::Software::new("2"));
    }
    let now = fleet.now;
    for dispatcher in fleet.nodes.values_mut() {
        dispatcher.set_endpoints(now, list(2, &later));
    }
    fleet.run_for(Span::from_millis(2_000 - listed_after_ms));
    fleet.nodes.remove(&node(ORIGIN));
    let mut lost = 0;
    for (position, ((key, _), endpoint)) in (0..).zip(begun.into_iter().zip(placed)) {
        let number = 2 + position % (nodes - 1);
        let request = take_up(Some(key), fleet.now);
        let is_reborn = endpoint.name == reborn;
        match fleet.submit(number, request) {
            Ok((id, taken_up)) => {
                assert!(!is_reborn || taken_up.as_str() == "2");
                assert!(is_reborn || Some(taken_up) == endpoint.software);
                fleet.end(number, id);
            }
            Err(_) => lost += u64::from(!is_reborn),
        }
    }
    assert_eq!(lost, 0, "lost of {STREAMS}");
}

/// Guards against refusing streams that broke with the links, since no endpoint counts as one of their
/// version when these are back.
#[rstest]
fn streams_go_on_that_were_broken_off_by_lost_links(
    #[values(5, 20)] nodes: u8,
    #[values(&["1"], &["1", "2"])] versions: &[&str],
) {
    let engines = engines(versions);
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines));
    fleet.run_for(Span::from_secs(6));
    let keys = (0..STREAMS).map(|key| Key(key * 1_000_003));
    let begun: Vec<_> = keys.map(|key| (key, fleet.begin(ORIGIN, key))).collect();
    fleet.run_for(Span::from_millis(100));
    for number in 1..=nodes {
        fleet.cut_links(number, &engines);
    }
    fleet.run_for(OUTAGE);
    fleet.unreachable.clear();
    fleet.run_for(Span::from_millis(600));
    for (position, (key, (id, software))) in (0..).zip(begun) {
        fleet.end(ORIGIN, id);
        let number = 2 + position % (nodes - 1);
        let request = take_up(Some(key), fleet.now);
        let (id, taken_up) = fleet.submit(number, request).expect("it goes on");
        assert_eq!(taken_up, software);
        fleet.end(number, id);
    }
}
