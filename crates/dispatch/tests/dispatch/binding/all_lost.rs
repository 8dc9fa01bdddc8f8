//! Streams that callers take up after all nodes were lost at once.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::engine;
use super::fleet;
use super::fleet::Fleet;
use super::take_up;
use crate::support::list;
use crate::support::node;

const STREAMS: u64 = 18;

fn list_of(versions: &[&str], revision: u64) -> Arc<List> {
    let numbers = versions
        .iter()
        .flat_map(|software| (0..4).map(move |number| (software, number)));
    let engines: Vec<Endpoint> = numbers
        .map(|(software, number)| {
            engine(
                &format!("e-{software}-{number}"),
                software,
                fleet::centre(number),
            )
        })
        .collect();
    list(revision, &engines)
}

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
    let mut fleet = Fleet::with_list(nodes, &list_of(&["1", "2"], 1));
    fleet.run_for(Span::from_secs(6));
    let keys = (0..STREAMS).map(|key| Key(key * 1_000_003));
    let begun: Vec<_> = keys.map(|key| (key, fleet.begin(1, key))).collect();
    let old = begun
        .into_iter()
        .filter(|(_, (_, software))| software.as_str() == "1");
    let old: Vec<Key> = old.map(|(key, _)| key).collect();
    assert!(!old.is_empty());
    restart_all(&mut fleet, &list_of(&["2"], 2));
    fleet.run_for(Span::from_millis(after_ms));
    for key in old {
        let request = take_up(Some(key), fleet.now);
        let taken_up = fleet.submit(2, request).map(|(_, software)| software);
        assert!(taken_up.is_err(), "{taken_up:?}");
    }
}

/// Guards against nodes that have just started and believe an entry that is older than the start of its
/// endpoint.
#[rstest]
fn streams_are_not_joined_if_endpoints_started_again_while_all_nodes_were_down(
    #[values(5, 20)] nodes: u8,
) {
    let before = list_of(&["1", "2"], 1);
    let mut fleet = Fleet::with_list(nodes, &before);
    fleet.run_for(Span::from_secs(6));
    restart_all(&mut fleet, &before);
    let written_at = fleet.now + Span::from_millis(1_600);
    fleet.run_for(Span::from_millis(300));
    let keys = (0..STREAMS).map(|key| Key(key * 1_000_003));
    let begun: Vec<(Key, job::Id)> = keys.map(|key| (key, fleet.begin(1, key).0)).collect();
    let placed = begun.iter().map(|(_, id)| fleet.endpoint_of(1, *id));
    let placed: Vec<Endpoint> = placed.collect();
    let is_reborn = |endpoint: &Endpoint| ["e-1-0", "e-1-1"].contains(&endpoint.name.as_str());
    assert!(placed.iter().any(is_reborn));
    fleet.run_for(written_at.since(fleet.now));
    let mut after = before.as_ref().clone();
    after.revision = 2;
    for endpoint in after.endpoints.iter_mut().filter(|one| is_reborn(one)) {
        endpoint.started_at = 2;
        endpoint.software = Some(id::Software::new("2"));
    }
    let (now, after) = (fleet.now, Arc::new(after));
    for dispatcher in fleet.nodes.values_mut() {
        dispatcher.set_endpoints(now, after.clone());
    }
    fleet.run_for(Span::from_secs(1));
    fleet.nodes.remove(&node(1));
    let mut lost = 0;
    for ((key, _), endpoint) in begun.into_iter().zip(placed) {
        let request = take_up(Some(key), fleet.now);
        match fleet.submit(2, request) {
            Ok((id, taken_up)) => {
                assert!(!is_reborn(&endpoint) || taken_up.as_str() == "2");
                assert!(is_reborn(&endpoint) || Some(taken_up) == endpoint.software);
                fleet.end(2, id);
            }
            Err(_) => lost += u64::from(!is_reborn(&endpoint)),
        }
    }
    assert_eq!(lost, 0, "lost of {STREAMS}");
}
