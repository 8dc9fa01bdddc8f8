//! One node's knowledge of an endpoint's rate limit.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::job::End;
use woadstage_dispatch::notice::Field;
use woadstage_dispatch::notice::Notice;
use woadstage_dispatch::rate_limit::Limit;
use woadstage_dispatch::rate_limit::Report;
use woadstage_dispatch::rate_limit::State;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::starts;

fn limit(text: &str) -> Option<Limit> {
    Some(text.parse().expect("a limit"))
}

/// Returns a state with a limit of two requests a second, known since `when`.
fn limited(when: Time) -> State {
    let mut state = State::default();
    assert!(state.record_answer(when, when, limit("2")));
    state
}

fn report(text: Option<&str>, when: Time) -> Report {
    Report {
        value: text.and_then(limit),
        at: when,
    }
}

#[rstest]
#[case::whole("3", 3.0, 333_333)]
#[case::a_fraction(" 2.75 ", 2.75, 363_636)]
#[case::below_one("0.4", 0.4, 2_500_000)]
#[case::tiny("0.0001", 0.0, 10_000_000)]
#[case::zero("0", 0.0, 10_000_000)]
#[case::saturating("1e30", 4_294_967.295, 0)]
fn a_limit_is_parsed(#[case] text: &str, #[case] per_second: f64, #[case] micros: u64) {
    let read: Limit = text.parse().expect("a limit");
    assert_eq!(read.per_second(), per_second);
    assert_eq!(read.to_interval(), Span(micros));
}

#[rstest]
#[case::negative("-1")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::words("a few")]
#[case::empty("")]
fn an_invalid_limit_is_an_error(#[case] text: &str) {
    assert!(text.parse::<Limit>().is_err());
}

/// Heads of answers to requests that were sent before the limit was known may be older
/// than the limit.
#[rstest]
#[case::sent_before(500, true)]
#[case::sent_at_once(1_000, true)]
#[case::sent_since(1_001, false)]
fn an_answer_without_a_limit_ends_it(#[case] sent: u64, #[case] holds: bool) {
    let mut state = limited(at(1_000));
    assert_eq!(state.record_answer(at(2_000), at(sent), None), !holds);
    assert_eq!(state.limit_opt().is_some(), holds);
}

#[rstest]
#[case::a_newer_limit(Some("5"), 1_001, Some("5"))]
#[case::an_older_limit(Some("5"), 900, Some("2"))]
#[case::end_of_the_limit(None, 1_200, None)]
#[case::end_that_may_be_older(None, 1_050, Some("2"))]
fn the_newest_report_counts(
    #[case] text: Option<&str>,
    #[case] when: u64,
    #[case] known: Option<&str>,
) {
    let mut state = limited(at(1_000));
    state.record_report(at(2_000), report(text, at(when)));
    assert_eq!(state.limit_opt(), known.and_then(limit));
}

#[test]
fn the_end_of_an_unknown_limit_is_ignored() {
    let mut state = State::default();
    assert!(!state.record_report(at(2_000), report(None, at(1_000))));
    assert_eq!(state.to_announcement_opt(at(2_000), 7), None);
}

/// A node that starts to enforce a limit first waits for a full interval.
#[test]
fn requests_are_spaced_and_no_credit_accumulates() {
    let spacing = Span::from_millis(500);
    let mut state = limited(at(1_000));
    assert!(!state.may_start(at(1_499), spacing));
    assert!(state.may_start(at(9_000), spacing));
    state.record_start(at(9_000), spacing);
    assert!(!state.may_start(at(9_459), spacing));
    assert!(state.may_start(at(9_460), spacing));
    state.restart_interval(at(9_400));
    assert!(!state.may_start(at(9_899), spacing));
}

#[test]
fn the_end_of_a_limit_is_announced_for_a_while() {
    let mut state = limited(at(1_000));
    state.record_answer(at(2_000), at(1_500), None);
    let announcement = state
        .to_announcement_opt(at(2_300), 7)
        .expect("the end of the limit is announced");
    assert_eq!(
        (
            announcement.endpoint,
            announcement.value,
            announcement.age_ms
        ),
        (7, None, 300)
    );
    assert_eq!(announcement.to_report(at(5_000)).at, at(4_700));
    assert_eq!(state.to_announcement_opt(at(7_001), 7), None);
}

/// A further attempt waits for its turn like a first one.
#[test]
fn a_further_attempt_counts_for_the_limit() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4), endpoint("f", SERVICE, 4)]);
    // The node finishes discovering the others long before the requests arrive.
    dispatcher.tick(at(1));
    let first = dispatcher.enter(at(400), job(SERVICE, 1, at(400)));
    let (_, needy) = starts(&mut dispatcher)[0].clone();
    let notice = Notice {
        rate_limit: Field::Given(limit("2").expect("a limit")),
        ..Notice::default()
    };
    dispatcher.apply_notice(at(410), first, &notice);
    dispatcher.end(at(420), first, End::Whole);
    let second = dispatcher.enter(at(430), job(SERVICE, 1, at(430)));
    assert_ne!(starts(&mut dispatcher)[0].1, needy);
    assert_eq!(dispatcher.end(at(440), second, End::Full), Next::Again);
    for millis in [500, 600, 700, 800, 900] {
        dispatcher.tick(at(millis));
        assert_eq!(starts(&mut dispatcher), [], "{millis}");
    }
    dispatcher.tick(at(920));
    assert_eq!(starts(&mut dispatcher), [(second, needy)]);
}
