//! Telling first attempts from retries by the time that callers have left.

use rstest::rstest;
use woadstage_dispatch::first_try::Histogram;
use woadstage_types::hash;
use woadstage_types::unit::Span;

use crate::support::at;

const TIMEOUT: Span = Span::from_secs(10);

/// Returns a histogram of `count` callers whose deadlines lie evenly between `least` %
/// and 100 % of the timeout.
fn sampled(count: u64, least: u64) -> Histogram {
    let mut histogram = Histogram::default();
    learn(&mut histogram, 0, count, least);
    histogram
}

fn learn(histogram: &mut Histogram, millis: u64, count: u64, least: u64) {
    let over = 10_000 - least * 100 + 1;
    for number in 0..count {
        let left = least * 100 + hash::of(&number.to_le_bytes()) % over;
        histogram.learn(at(millis), Span::from_millis(left), TIMEOUT);
    }
}

fn tried_ms(histogram: &Histogram, left_ms: u64) -> u64 {
    histogram
        .since_first_try(Span::from_millis(left_ms), TIMEOUT)
        .0
        / 1_000
}

#[rstest]
#[case::no_samples(0, 100, 9_600, true)]
#[case::too_few_samples(10, 85, 9_600, true)]
#[case::all_wait_for_the_timeout(100, 99, 9_600, true)]
#[case::individual_deadlines(100, 85, 9_000, false)]
#[case::retry_with_less_time(100, 85, 8_000, true)]
#[case::after_many_samples(10_000, 85, 9_000, false)]
fn less_time_than_first_attempts_have_marks_a_retry(
    #[case] count: u64,
    #[case] least: u64,
    #[case] left_ms: u64,
    #[case] returns: bool,
) {
    assert_eq!(tried_ms(&sampled(count, least), left_ms) > 0, returns);
}

#[test]
fn the_missing_time_was_spent_on_earlier_attempts() {
    let histogram = sampled(100, 85);
    let tried = tried_ms(&histogram, 5_000);
    assert!((3_300..=3_700).contains(&tried), "{tried}");
}

/// Retries have less time left and would be mistaken for first attempts.
#[test]
fn nothing_is_learnt_for_a_while_after_a_refusal() {
    let mut histogram = sampled(100, 99);
    histogram.record_refused(at(0));
    learn(&mut histogram, 4_000, 300, 70);
    assert!(tried_ms(&histogram, 9_600) > 0);
    learn(&mut histogram, 6_000, 300, 70);
    assert_eq!(tried_ms(&histogram, 9_600), 0);
}

/// A few callers with far less time do not affect the others.
#[test]
fn a_few_callers_with_little_time_change_nothing() {
    let mut histogram = sampled(100, 99);
    for _ in 0..8 {
        histogram.learn(at(0), Span::from_millis(1_000), TIMEOUT);
    }
    assert!(tried_ms(&histogram, 9_000) > 0);
}

/// Deadlines beyond the route's timeout are ignored.
#[test]
fn deadlines_beyond_the_timeout_are_ignored() {
    let mut histogram = sampled(100, 85);
    for _ in 0..300 {
        histogram.learn(at(0), Span::from_secs(20), TIMEOUT);
    }
    assert_eq!(tried_ms(&histogram, 9_000), 0);
}
