//! Data centres that are evacuated, as one node sees them.

use std::sync::Arc;

use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job::End;
use woadstage_types::code::Code;
use woadstage_types::id;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::refusals;
use crate::support::starts;
use crate::support::transfer_documents;

fn in_centre(name: &str, centre: &str) -> Endpoint {
    Endpoint {
        data_centre: id::DataCentre::new(centre),
        ..endpoint(name, SERVICE, 2)
    }
}

fn endpoints() -> Vec<Endpoint> {
    vec![in_centre("e-a", "a"), in_centre("e-b", "b")]
}

/// A list with some data centres evacuated.
fn evacuated(revision: u64, settled: bool, centres: &[&str]) -> Arc<List> {
    Arc::new(List {
        revision,
        settled,
        evacuated: centres
            .iter()
            .map(|name| id::DataCentre::new(name))
            .collect(),
        endpoints: endpoints(),
        ..List::default()
    })
}

/// Where four requests go that come now.
fn used(dispatcher: &mut Dispatcher, millis: u64) -> Vec<String> {
    for _ in 0..4 {
        dispatcher.enter(at(millis), job(SERVICE, 2, at(millis)));
    }
    let started = starts(dispatcher);
    let mut names: Vec<String> = started.iter().map(|(_, name)| name.clone()).collect();
    for (id, _) in started {
        dispatcher.end(at(millis), id, End::Whole);
    }
    names.sort();
    names.dedup();
    names
}

#[test]
fn nothing_goes_there_until_it_is_taken_back() {
    let mut dispatcher = dispatcher(&endpoints());
    assert_eq!(used(&mut dispatcher, 1), ["e-a", "e-b"]);
    assert!(dispatcher.set_endpoints(at(2), evacuated(2, true, &["a"])));
    assert_eq!(used(&mut dispatcher, 3), ["e-b"]);
    assert!(dispatcher.set_endpoints(at(4), evacuated(3, true, &[])));
    assert_eq!(used(&mut dispatcher, 5), ["e-a", "e-b"]);
}

#[test]
fn what_runs_there_ends_as_it_would_have() {
    let mut dispatcher = dispatcher(&[in_centre("e-a", "a")]);
    let running = dispatcher.enter(at(1), job(SERVICE, 2, at(1)));
    assert_eq!(starts(&mut dispatcher).len(), 1);
    dispatcher.set_endpoints(at(2), evacuated(2, true, &["a"]));
    assert_eq!(dispatcher.held(), 1);
    dispatcher.end(at(3), running, End::Whole);
    assert_eq!(dispatcher.held(), 0);
}

/// After an outage of the platform entries of endpoints may be missing; what an
/// operator wrote never is.
#[test]
fn a_list_that_is_not_settled_says_it_too() {
    let mut dispatcher = dispatcher(&endpoints());
    dispatcher.set_endpoints(at(2), evacuated(2, true, &["a"]));
    dispatcher.set_endpoints(at(3), evacuated(3, false, &[]));
    assert_eq!(used(&mut dispatcher, 4), ["e-a", "e-b"]);
    dispatcher.set_endpoints(at(5), evacuated(4, false, &["b"]));
    assert_eq!(used(&mut dispatcher, 6), ["e-a"]);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut dispatcher = dispatcher(&endpoints());
    dispatcher.set_endpoints(at(2), evacuated(5, true, &["a"]));
    assert!(!dispatcher.set_endpoints(at(3), evacuated(4, true, &[])));
    assert_eq!(used(&mut dispatcher, 4), ["e-b"]);
}

#[test]
fn it_goes_from_node_to_node() {
    let mut from = dispatcher(&endpoints());
    let mut to = dispatcher(&endpoints());
    from.set_endpoints(at(2), evacuated(2, true, &["a"]));
    transfer_documents(&from, &mut to);
    assert_eq!(used(&mut to, 3), ["e-b"]);
}

#[test]
fn with_all_evacuated_callers_are_told_when_to_come_back() {
    let mut dispatcher = dispatcher(&endpoints());
    dispatcher.set_endpoints(at(2), evacuated(2, true, &["a", "b"]));
    dispatcher.enter(at(3), job(SERVICE, 2, at(3)));
    dispatcher.tick(at(1_500));
    let refused = refusals(&mut dispatcher);
    let [(_, code, retry_after)] = refused[..] else {
        panic!("{refused:?}");
    };
    assert_eq!(code, Code::NoEndpoint);
    assert!(retry_after.is_some());
}
