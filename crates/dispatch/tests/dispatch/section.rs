//! Transfer of lists of endpoints between nodes in sections.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::section::Difference;
use woadstage_dispatch::section::Index;
use woadstage_types::id;

use crate::support::MODEL;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::list;
use crate::support::options;
use crate::support::transfer_documents;

/// Returns `count` endpoints with names of a realistic length.
fn many(count: u32) -> Vec<Endpoint> {
    let names = (0..count).map(|number| format!("i-{number:010x}"));
    names.map(|name| endpoint(&name, MODEL, 6)).collect()
}

fn node(number: u8, revision: u64, endpoints: &[Endpoint]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options(number));
    dispatcher.set_configuration(at(0), configuration(1));
    dispatcher.set_endpoints(at(0), list(revision, endpoints));
    dispatcher
}

fn by_name(list: &List) -> BTreeMap<id::Endpoint, Endpoint> {
    let endpoints = list.endpoints.iter();
    endpoints
        .map(|one| (one.name.clone(), one.clone()))
        .collect()
}

/// One of many endpoints starts to leave. Answers measured 151 and 1,253 bytes, where whole
/// lists take 4,818 and 89,904; a request takes 569 and 610.
#[rstest]
#[case::of_166(166, 200)]
#[case::of_3100(3_100, 2_000)]
fn a_changed_entry_transfers_little(#[case] count: u32, #[case] most: usize) {
    let mut endpoints = many(count);
    let mut behind = node(1, 1, &endpoints);
    endpoints[7].leaving = true;
    let ahead = node(2, 2, &endpoints);
    let bytes = transfer_documents(&ahead, &mut behind);
    assert_eq!(by_name(behind.endpoints()), by_name(ahead.endpoints()));
    assert!(bytes <= most, "{bytes} bytes");
}

#[test]
fn a_node_without_a_list_receives_all_of_it() {
    let ahead = node(2, 2, &many(166));
    let mut new = Dispatcher::new(options(1));
    transfer_documents(&ahead, &mut new);
    assert_eq!(by_name(new.endpoints()), by_name(ahead.endpoints()));
}

#[test]
fn the_order_of_entries_does_not_matter() {
    let endpoints = many(166);
    let mut reversed = endpoints.clone();
    reversed.reverse();
    let one = list(1, &endpoints);
    let other = list(2, &reversed);
    let difference = Difference::new(&other, &Index::new(&other), &Index::new(&one));
    assert_eq!(difference.sections, []);
}

fn endpoints() -> impl Strategy<Value = Vec<Endpoint>> {
    let entry = (any::<bool>(), 1..9_u32);
    prop::collection::btree_map(0..200_u32, entry, 0..120).prop_map(|entries| {
        let entries = entries.into_iter();
        let endpoints = entries.map(|(name, (leaving, slots))| Endpoint {
            leaving,
            ..endpoint(&format!("i-{name}"), MODEL, slots)
        });
        endpoints.collect()
    })
}

proptest! {
    /// A difference between any two lists yields the newer one, entry by entry.
    #[test]
    fn a_difference_yields_the_newer_list(old in endpoints(), new in endpoints()) {
        let old = list(1, &old);
        let new = list(2, &new);
        let difference = Difference::new(&new, &Index::new(&new), &Index::new(&old));
        let reached = difference.into_list(&old);
        prop_assert_eq!(reached.edition(), new.edition());
        prop_assert_eq!(reached.endpoints.len(), new.endpoints.len());
        prop_assert_eq!(by_name(&reached), by_name(&new));
    }
}
