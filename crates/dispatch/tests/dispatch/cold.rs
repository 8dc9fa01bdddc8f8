//! Cold endpoints, as seen by one node.

use std::sync::Arc;

use woadstage_dispatch::cold::Bound;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::notice::Notice;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::options;
use crate::support::starts;

const BOUND: Bound = Bound {
    interval: Span::from_millis(200),
    duration: Span::from_secs(3),
};

fn cold(name: &str, millis: u64) -> Endpoint {
    Endpoint {
        cold_for: Span::from_millis(millis),
        ..endpoint(name, SERVICE, 8)
    }
}

/// Returns a node that has run for a second, with or without a limit on cold starts.
fn node(bound: Option<Bound>, endpoints: &[Endpoint]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options(1));
    let mut published = (*configuration(1)).clone();
    for service in &mut published.services {
        service.cold = bound;
    }
    dispatcher.set_configuration(at(0), Arc::new(published));
    dispatcher.set_endpoints(at(0), list(1, &[]));
    dispatcher.tick(at(0));
    dispatcher.tick(at(999));
    dispatcher.set_endpoints(at(1_000), list(2, endpoints));
    dispatcher
}

/// Enters ten requests at once and returns how many were sent by each of some moments.
fn sent_by(dispatcher: &mut Dispatcher, moments: &[u64]) -> Vec<usize> {
    for _ in 0..10 {
        dispatcher.enter(at(1_000), job(SERVICE, 2, at(1_000)));
    }
    let mut sent = 0;
    let by = moments.iter().map(|moment| {
        dispatcher.tick(at(*moment));
        sent += starts(dispatcher).len();
        sent
    });
    by.collect()
}

#[test]
fn starts_are_spaced_until_it_is_warm() {
    let mut dispatcher = node(Some(BOUND), &[cold("e", 700)]);
    let sent = sent_by(
        &mut dispatcher,
        &[1_000, 1_199, 1_200, 1_399, 1_600, 1_699, 1_700],
    );
    assert_eq!(sent, [1, 1, 2, 2, 3, 3, 8]);
}

#[test]
fn without_a_bound_all_slots_are_used() {
    let mut dispatcher = node(None, &[cold("e", 700)]);
    assert_eq!(sent_by(&mut dispatcher, &[1_000]), [8]);
}

#[test]
fn a_warm_endpoint_is_used_meanwhile() {
    let mut dispatcher = node(
        Some(BOUND),
        &[cold("cold", 700), endpoint("warm", SERVICE, 4)],
    );
    assert_eq!(sent_by(&mut dispatcher, &[1_000, 1_250]), [5, 6]);
}

#[test]
fn the_longest_report_applies_and_a_repeated_one_extends_nothing() {
    let mut dispatcher = node(Some(BOUND), &[cold("e", 700)]);
    dispatcher.set_endpoints(at(1_600), list(3, &[cold("e", 700)]));
    dispatcher.set_endpoints(at(1_650), list(4, &[cold("e", 10)]));
    assert_eq!(sent_by(&mut dispatcher, &[1_699, 1_700]), [2, 8]);
}

#[test]
fn an_endpoint_may_become_cold_at_any_moment() {
    let mut dispatcher = node(Some(BOUND), &[endpoint("e", SERVICE, 8)]);
    dispatcher.set_endpoints(at(1_000), list(3, &[cold("e", 500)]));
    assert_eq!(sent_by(&mut dispatcher, &[1_100, 1_499, 1_500]), [1, 2, 8]);
}

#[test]
fn an_answer_reports_that_its_endpoint_is_cold() {
    let mut dispatcher = node(Some(BOUND), &[endpoint("e", SERVICE, 8)]);
    let first = dispatcher.enter(at(1_000), job(SERVICE, 2, at(1_000)));
    starts(&mut dispatcher);
    let notice = Notice {
        cold_for: Some(Span::from_millis(600)),
        ..Notice::default()
    };
    dispatcher.apply_notice(at(1_000), first, &notice);
    // The request whose answer stated it counts as well.
    assert_eq!(
        sent_by(&mut dispatcher, &[1_000, 1_199, 1_200, 1_600]),
        [0, 0, 1, 7]
    );
}

/// A node that has just started does not know yet which other nodes may send requests.
#[test]
fn a_node_that_has_just_started_sends_nothing_to_cold_endpoints() {
    let mut dispatcher = Dispatcher::new(options(1));
    let mut published = (*configuration(1)).clone();
    for service in &mut published.services {
        service.cold = Some(BOUND);
    }
    dispatcher.set_configuration(at(0), Arc::new(published));
    dispatcher.set_endpoints(at(0), list(1, &[cold("e", 2_000)]));
    dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    let sent = |dispatcher: &mut Dispatcher, when: Time| {
        dispatcher.tick(when);
        starts(dispatcher).len()
    };
    assert_eq!(sent(&mut dispatcher, at(200)), 0);
    assert_eq!(sent(&mut dispatcher, at(400)), 1);
}
