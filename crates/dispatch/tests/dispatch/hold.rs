//! Tests of requests that are held after a pause of their node.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::pause::Change;
use woadstage_dispatch::pause::Generation;
use woadstage_dispatch::pause::Opened;
use woadstage_types::unit::Span;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::options;
use crate::support::starts;

/// Returns a request that arrives at this time.
fn request(at_ms: u64) -> Job {
    job(SERVICE, 1, at(at_ms))
}

/// Returns a node that observed itself last at 0 ms, with these endpoints.
fn dispatcher(endpoints: &[Endpoint]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options(1));
    dispatcher.set_configuration(at(0), configuration(1));
    dispatcher.set_endpoints(at(0), list(1, endpoints));
    dispatcher.observe(at(0));
    dispatcher
}

#[rstest]
#[case::a_busy_moment(499, false)]
#[case::the_shortest_pause(500, true)]
#[case::a_long_pause(30_000, true)]
fn a_pause_holds_requests(#[case] gap_ms: u64, #[case] holds: bool) {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    dispatcher.observe(at(gap_ms));
    dispatcher.enter(at(gap_ms), request(gap_ms));
    assert_eq!(dispatcher.is_holding(), holds);
    assert_eq!(starts(&mut dispatcher).is_empty(), holds);
}

/// Guards against requests that are sent to an endpoint which left during a pause, by what was known
/// before it.
#[rstest]
#[case::arrived_after_the_pause(false)]
#[case::waited_before_the_pause(true)]
fn a_held_request_goes_by_the_list_after_the_pause(#[case] waits: bool) {
    let leaving = endpoint("leaving", SERVICE, 1);
    let mut dispatcher = dispatcher(std::slice::from_ref(&leaving));
    let first = dispatcher.enter(at(0), request(0));
    if waits {
        dispatcher.enter(at(1), request(1));
    }
    starts(&mut dispatcher);
    dispatcher.observe(at(2_900));
    dispatcher.end(at(2_900), first, End::Whole);
    if !waits {
        dispatcher.enter(at(2_900), request(2_900));
    }
    dispatcher.tick(at(2_901));
    assert!(starts(&mut dispatcher).is_empty());
    dispatcher.set_endpoints(at(2_905), list(2, &[endpoint("staying", SERVICE, 4)]));
    assert!(starts(&mut dispatcher).is_empty());
    dispatcher.confirm(at(2_906), Generation(1));
    let started = starts(&mut dispatcher);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, "staying");
}

#[test]
fn a_hold_ends_a_second_after_the_pause_without_a_confirmation() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    dispatcher.observe(at(2_900));
    dispatcher.enter(at(2_900), request(2_900));
    dispatcher.tick(at(3_899));
    assert!(starts(&mut dispatcher).is_empty());
    dispatcher.tick(at(3_900));
    assert_eq!(starts(&mut dispatcher).len(), 1);
    let changes = dispatcher.take_pause_changes();
    let expected = [
        Change::Closed(Span::from_millis(2_900)),
        Change::Opened(Opened::Unconfirmed, Span::from_secs(1)),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn a_hold_is_shorter_if_the_platform_was_away_before() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    dispatcher.set_platform_unreachable(true);
    dispatcher.observe(at(2_900));
    dispatcher.tick(at(3_149));
    assert!(dispatcher.is_holding());
    dispatcher.tick(at(3_150));
    assert!(!dispatcher.is_holding());
}

#[test]
fn a_confirmation_of_an_earlier_pause_releases_nothing() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    dispatcher.observe(at(1_000));
    dispatcher.observe(at(2_000));
    dispatcher.confirm(at(2_001), Generation(1));
    assert!(dispatcher.is_holding());
    dispatcher.confirm(at(2_002), Generation(2));
    assert!(!dispatcher.is_holding());
}

#[test]
fn a_node_without_a_list_holds_nothing() {
    let mut dispatcher = Dispatcher::new(options(1));
    dispatcher.observe(at(0));
    dispatcher.observe(at(2_900));
    assert!(!dispatcher.is_holding());
}

#[test]
fn a_held_request_whose_caller_left_is_dropped() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    dispatcher.observe(at(2_900));
    let id = dispatcher.enter(at(2_900), request(2_900));
    dispatcher.abandon(at(2_901), id);
    dispatcher.confirm(at(2_902), Generation(1));
    assert!(starts(&mut dispatcher).is_empty());
    assert_eq!(dispatcher.held(), 0);
}

/// Guards against requests that are written to an endpoint which left after it had been chosen.
#[test]
fn a_withdrawn_request_goes_elsewhere_and_counts_nowhere() {
    let leaving = endpoint("leaving", SERVICE, 4);
    let mut dispatcher = dispatcher(std::slice::from_ref(&leaving));
    let id = dispatcher.enter(at(1), request(1));
    assert!(dispatcher.may_send(id));
    let left = Endpoint {
        leaving: true,
        ..leaving
    };
    dispatcher.set_endpoints(at(2), list(2, &[left, endpoint("staying", SERVICE, 4)]));
    assert!(!dispatcher.may_send(id));
    starts(&mut dispatcher);
    assert_eq!(dispatcher.withdraw(at(3), id), Next::Again);
    let started = starts(&mut dispatcher);
    assert_eq!(started[0].1, "staying");
    assert!(dispatcher.may_send(id));
    let loads = dispatcher.status(at(4)).loads;
    assert_eq!(loads.len(), 1);
}
