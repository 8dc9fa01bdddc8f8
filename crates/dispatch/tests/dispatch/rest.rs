//! One node's knowledge of an endpoint that asked for a rest, and of one that is leaving.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::job::End;
use woadstage_dispatch::leaving::Registry;
use woadstage_dispatch::notice::Notice;
use woadstage_dispatch::rest;
use woadstage_dispatch::rest::State;
use woadstage_types::unit::Span;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::starts;

const SECOND: Span = Span::from_secs(1);

#[rstest]
#[case::whole("3", Span::from_secs(3))]
#[case::fraction(" 0.4 ", Span::from_millis(400))]
#[case::zero("0", Span::ZERO)]
#[case::saturating("1e300", Span::from_secs(86_400))]
fn a_rest_is_parsed(#[case] text: &str, #[case] expected: Span) {
    assert_eq!(rest::parse(text), Ok(expected));
}

#[rstest]
#[case::negative("-1")]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT")]
#[case::empty("")]
#[case::infinite("inf")]
#[case::not_a_number("nan")]
fn an_invalid_rest_is_an_error(#[case] text: &str) {
    assert!(rest::parse(text).is_err());
}

/// Returns a state after a request for a rest of one second.
fn rested() -> State {
    let mut state = State::default();
    assert!(state.extend(at(1_000), SECOND, 0));
    state
}

#[rstest]
#[case::longer(5_000, true, 6_100)]
#[case::shorter(100, false, 2_000)]
#[case::slightly_longer(1_000, false, 2_100)]
fn a_later_answer_shortens_no_rest(#[case] millis: u64, #[case] changed: bool, #[case] until: u64) {
    let mut state = rested();
    assert_eq!(
        state.extend(at(1_100), Span::from_millis(millis), 0),
        changed
    );
    assert!(state.is_resting(at(until - 1)));
    assert!(!state.is_resting(at(until)));
}

#[test]
fn nodes_that_rest_until_the_same_moment_return_at_different_times() {
    let left = |drawn| {
        let mut state = State::default();
        state.extend(at(0), Span::from_secs(4), drawn);
        state.left(at(0)).0
    };
    assert_eq!(left(0), 4_000_000);
    assert_eq!(left(100_000), 4_100_000);
    assert!((0..10).all(|drawn| left(drawn * 99_991) < 4_250_000));
}

#[test]
fn an_endpoint_is_unconfirmed_until_it_accepts_a_later_request() {
    let mut state = rested();
    state.record_served(at(900));
    assert!(state.is_unconfirmed(at(2_000)));
    state.record_served(at(2_001));
    assert!(!state.is_unconfirmed(at(2_002)));
}

#[test]
fn an_endpoint_without_probes_is_used_again_eventually() {
    let state = rested();
    assert!(state.is_unconfirmed(at(9_999)));
    assert!(!state.is_unconfirmed(at(10_000)));
}

#[test]
fn one_probe_is_in_flight_at_a_time() {
    let mut state = rested();
    assert!(state.is_probe_due(at(2_000)));
    state.start_probe(at(2_000));
    assert!(!state.is_probe_due(at(2_500)));
    state.end_probe(at(1_999));
    assert!(state.is_probing());
    state.end_probe(at(2_000));
    assert!(state.is_probe_due(at(2_500)));
}

#[test]
fn an_endpoint_that_keeps_rejecting_is_probed_less_often() {
    let mut state = rested();
    state.extend(at(3_000), SECOND, 0);
    assert!(!state.is_probe_due(at(4_999)));
    assert!(state.is_probe_due(at(5_000)));
    state.extend(at(5_000), SECOND, 0);
    assert!(!state.is_probe_due(at(7_999)));
    assert!(state.is_probe_due(at(8_000)));
}

#[test]
fn an_endpoint_that_rests_for_another_node_is_not_probed() {
    let mut state = State::default();
    state.extend_remote(at(3_000));
    assert!(!state.is_resting(at(1_000)));
    assert!(state.is_unconfirmed_elsewhere(at(3_500)));
    assert!(!state.is_probe_due(at(2_999)));
    assert!(state.is_probe_due(at(3_000)));
    state.record_served(at(1_000));
    assert!(!state.is_unconfirmed_elsewhere(at(1_001)));
}

#[test]
fn the_end_of_a_rest_is_reported_once() {
    let mut state = rested();
    assert!(!state.take_end(at(1_999)));
    assert!(state.take_end(at(2_000)));
    assert!(!state.take_end(at(2_001)));
}

/// A request that may be sent to only one endpoint waits for a while rather than risk a
/// rejection.
#[rstest]
#[case::retryable(2, 0)]
#[case::not_retryable(1, 250)]
fn a_request_that_cannot_be_retried_waits_first(#[case] attempts: u32, #[case] wait: u64) {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let first = dispatcher.enter(at(0), job(SERVICE, 1, at(0)));
    let notice = Notice {
        rest: Some(Span::from_millis(200)),
        ..Notice::default()
    };
    dispatcher.apply_notice(at(10), first, &notice);
    assert_eq!(dispatcher.end(at(10), first, End::Full), Next::Again);
    dispatcher.abandon(at(11), first);
    starts(&mut dispatcher);
    let mut second = job(SERVICE, 1, at(500));
    second.attempts = attempts;
    let second = dispatcher.enter(at(500), second);
    let started = (500..1_000).find(|millis| {
        dispatcher.tick(at(*millis));
        starts(&mut dispatcher) == [(second, "e".to_owned())]
    });
    assert_eq!(started, Some(500 + wait));
}

#[test]
fn the_number_of_leaving_starts_is_bounded() {
    let mut registry = Registry::default();
    assert!(registry.insert(0));
    assert!(!registry.insert(0));
    assert!((1..9_000).all(|number| registry.insert(number)));
    assert!(!registry.contains(0));
    assert!(registry.contains(8_999));
}
