//! Tests for evacuated data centres, with one node.

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

/// Returns a list with some data centres evacuated.
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

/// Returns the endpoints that four requests which arrive now are sent to.
fn endpoints_used(dispatcher: &mut Dispatcher, millis: u64) -> Vec<String> {
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
fn an_evacuated_data_centre_gets_no_requests_until_it_is_restored() {
    let mut dispatcher = dispatcher(&endpoints());
    assert_eq!(endpoints_used(&mut dispatcher, 1), ["e-a", "e-b"]);
    assert!(dispatcher.set_endpoints(at(2), evacuated(2, true, &["a"])));
    assert_eq!(endpoints_used(&mut dispatcher, 3), ["e-b"]);
    assert!(dispatcher.set_endpoints(at(4), evacuated(3, true, &[])));
    assert_eq!(endpoints_used(&mut dispatcher, 5), ["e-a", "e-b"]);
}

#[test]
fn requests_running_there_end_normally() {
    let mut dispatcher = dispatcher(&[in_centre("e-a", "a")]);
    let running = dispatcher.enter(at(1), job(SERVICE, 2, at(1)));
    assert_eq!(starts(&mut dispatcher).len(), 1);
    dispatcher.set_endpoints(at(2), evacuated(2, true, &["a"]));
    assert_eq!(dispatcher.held(), 1);
    dispatcher.end(at(3), running, End::Whole);
    assert_eq!(dispatcher.held(), 0);
}

/// After an outage of the platform, records of endpoints may be missing, but evacuations
/// never are.
#[test]
fn an_unsettled_list_sets_evacuations_too() {
    let mut dispatcher = dispatcher(&endpoints());
    dispatcher.set_endpoints(at(2), evacuated(2, true, &["a"]));
    dispatcher.set_endpoints(at(3), evacuated(3, false, &[]));
    assert_eq!(endpoints_used(&mut dispatcher, 4), ["e-a", "e-b"]);
    dispatcher.set_endpoints(at(5), evacuated(4, false, &["b"]));
    assert_eq!(endpoints_used(&mut dispatcher, 6), ["e-a"]);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut dispatcher = dispatcher(&endpoints());
    dispatcher.set_endpoints(at(2), evacuated(5, true, &["a"]));
    assert!(!dispatcher.set_endpoints(at(3), evacuated(4, true, &[])));
    assert_eq!(endpoints_used(&mut dispatcher, 4), ["e-b"]);
}

#[test]
fn evacuations_are_passed_between_nodes() {
    let mut from = dispatcher(&endpoints());
    let mut to = dispatcher(&endpoints());
    from.set_endpoints(at(2), evacuated(2, true, &["a"]));
    transfer_documents(&from, &mut to);
    assert_eq!(endpoints_used(&mut to, 3), ["e-b"]);
}

#[test]
fn with_all_evacuated_refusals_say_when_to_retry() {
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
