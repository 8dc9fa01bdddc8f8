//! Streams that callers take up after all nodes were lost at once.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::unit::Span;

use super::engine;
use super::fleet;
use super::fleet::Fleet;
use super::take_up;
use crate::support::list;

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
