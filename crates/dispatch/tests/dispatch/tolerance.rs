//! One node's knowledge of the rejections that an endpoint tolerates.

use rstest::rstest;
use woadstage_dispatch::tolerance::State;
use woadstage_dispatch::tolerance::Tolerance;
use woadstage_types::unit::Span;

use crate::support::at;

fn tolerance(text: &str) -> Tolerance {
    text.parse().expect("a tolerance")
}

/// Guards against endpoints that a node avoids for good, since it never gets an answer from them.
#[test]
fn an_assumed_tolerance_ends_without_an_answer() {
    let mut state = State::default();
    state.assume(at(0), tolerance("4"));
    state.expire_assumption(at(0) + Span::from_secs(5));
    assert_eq!(state.tolerance_opt(), Some(tolerance("4")));
    state.expire_assumption(at(0) + Span::from_secs(11));
    assert_eq!(state.tolerance_opt(), None);
}

#[test]
fn the_first_answer_ends_an_assumed_tolerance() {
    let mut state = State::default();
    state.assume(at(0), tolerance("4"));
    assert!(state.record_answer(at(2), at(1), None));
    assert_eq!(state.tolerance_opt(), None);
}

#[rstest]
#[case::none("0", 1)]
#[case::one("1", 1)]
#[case::some("5", 2)]
#[case::many("20", 10)]
fn work_stops_at_half_of_the_tolerated_rejections(#[case] text: &str, #[case] stop: usize) {
    let mut state = State::default();
    state.record_answer(at(1), at(0), Some(tolerance(text)));
    for _ in 1..stop {
        state.record_rejection(at(2));
        assert!(state.accepts_work(at(2)));
    }
    state.record_rejection(at(2));
    assert!(!state.accepts_work(at(2)));
    assert!(state.accepts_work(at(2) + Span::from_secs(2)));
}
