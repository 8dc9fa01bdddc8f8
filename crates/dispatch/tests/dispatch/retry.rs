//! Refused callers: when they are told to retry, and their place in the queue when they
//! do.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Refusal;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_types::unit::Span;

use crate::support::MODEL;
use crate::support::SERVICE;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::options;
use crate::support::starts;

/// Returns the longest delay that a caller with `left` remaining honours.
fn honoured(left: Span) -> Span {
    Span((left.0 as f64 * options(1).policy.come_back_within) as u64)
}

fn refused(dispatcher: &mut Dispatcher) -> Vec<Refusal> {
    let decisions = dispatcher.take_decisions().into_iter();
    let refused = decisions.filter_map(|decision| match decision {
        Decision::Refuse { refusal, .. } => Some(refusal),
        Decision::Start { .. } | Decision::Forward { .. } => None,
    });
    refused.collect()
}

/// A caller retries at one millisecond, a new one arrives at two, and the engine is free
/// at three.
#[rstest]
#[case::still_in_time_goes_first(500, true)]
#[case::already_late_goes_last(3_000, false)]
fn the_queue_position_of_a_retry(#[case] since_first_try: u64, #[case] goes_first: bool) {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 1)]);
    let running = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    let retry = Job {
        first_try: at(1) - Span::from_millis(since_first_try),
        ..job(MODEL, 2, at(1))
    };
    let retry = dispatcher.enter(at(1), retry);
    let new_request = dispatcher.enter(at(2), job(MODEL, 2, at(2)));
    starts(&mut dispatcher);
    dispatcher.end(at(3), running, End::Whole);
    let first = if goes_first { retry } else { new_request };
    assert_eq!(starts(&mut dispatcher), [(first, "e".to_owned())]);
}

#[test]
fn late_requests_are_ordered_by_their_first_attempt() {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 1)]);
    let running = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    let late_job = |millis, seconds| Job {
        first_try: at(millis) - Span::from_secs(seconds),
        ..job(MODEL, 2, at(millis))
    };
    dispatcher.enter(at(1), late_job(1, 2));
    let longer = dispatcher.enter(at(2), late_job(2, 3));
    starts(&mut dispatcher);
    dispatcher.end(at(3), running, End::Whole);
    assert_eq!(starts(&mut dispatcher), [(longer, "e".to_owned())]);
}

#[test]
fn no_caller_is_told_to_retry_before_the_queue_has_drained() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    // These are admitted up to a wait of two seconds; a third of eight seconds is a
    // little more.
    let patient = Job {
        objective: Span::from_secs(2),
        ..job(SERVICE, 2, at(0))
    };
    for _ in 0..120 {
        dispatcher.enter(at(0), patient.clone());
    }
    let refused = refused(&mut dispatcher);
    assert!(!refused.is_empty());
    let most = honoured(Span::from_secs(8));
    for refusal in refused {
        let wait = refusal.wait.expect("the refusal states a wait");
        let retry_after = refusal.retry_after.expect("there is time to come back");
        assert!(retry_after >= wait.min(most), "{retry_after} before {wait}");
        assert!(retry_after <= most, "{retry_after} exceeds {most}");
    }
}

#[rstest]
#[case::soon_after_the_start(50, 6_000)]
#[case::after_a_while(1_000, 6_000)]
#[case::longer_than_callers_honour(4_000, 6_000)]
#[case::with_little_left(200, 500)]
fn an_outage_is_assumed_to_last_as_long_again(#[case] lasted: u64, #[case] left: u64) {
    let lasted = Span::from_millis(lasted);
    let left = Span::from_millis(left);
    let dispatcher = Dispatcher::new(options(1));
    for millis in 0..100 {
        let retry_after = dispatcher.retry_after_estimate(at(millis), lasted, left);
        assert!(retry_after >= lasted.min(honoured(left)));
        assert!(retry_after <= honoured(left));
    }
}

#[test]
fn nodes_that_start_together_spread_their_retries() {
    let left = Span::from_secs(6);
    let times = (1..=20).map(|number| {
        let dispatcher = Dispatcher::new(options(number));
        dispatcher.retry_after_estimate(at(0), Span::ZERO, left)
    });
    let mut times: Vec<Span> = times.collect();
    times.sort();
    let spread = Span(times[19].0 - times[0].0);
    assert!(spread >= Span(honoured(left).0 / 2), "{spread}");
}
