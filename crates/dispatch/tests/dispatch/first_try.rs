//! Who has tried before, by the time that callers have left.

use rstest::rstest;
use woadstage_dispatch::first_try::Histogram;
use woadstage_types::hash;
use woadstage_types::unit::Span;

use crate::support::at;

const TIMEOUT: Span = Span::from_secs(10);

/// What was learnt from so many callers whose deadlines lie evenly from `least` to
/// 100 in 100 of the timeout.
fn seen(count: u64, least: u64) -> Histogram {
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
    histogram.tried_for(Span::from_millis(left_ms), TIMEOUT).0 / 1_000
}

#[rstest]
#[case::nothing_seen(0, 100, 9_600, true)]
#[case::too_few(10, 85, 9_600, true)]
#[case::all_wait_for_the_timeout(100, 99, 9_600, true)]
#[case::each_has_a_deadline_of_its_own(100, 85, 9_000, false)]
#[case::and_returns_with_less(100, 85, 8_000, true)]
#[case::after_long(10_000, 85, 9_000, false)]
fn who_has_less_than_first_tries_have(
    #[case] count: u64,
    #[case] least: u64,
    #[case] left_ms: u64,
    #[case] returns: bool,
) {
    assert_eq!(tried_ms(&seen(count, least), left_ms) > 0, returns);
}

#[test]
fn it_has_tried_for_what_it_lacks_of_that() {
    let histogram = seen(100, 85);
    let tried = tried_ms(&histogram, 5_000);
    assert!((3_300..=3_700).contains(&tried), "{tried}");
}

/// Callers that return have less time left, and would be taken for first tries.
#[test]
fn nothing_is_learnt_for_a_while_after_a_refusal() {
    let mut histogram = seen(100, 99);
    histogram.note_refused(at(0));
    learn(&mut histogram, 4_000, 300, 70);
    assert!(tried_ms(&histogram, 9_600) > 0);
    learn(&mut histogram, 6_000, 300, 70);
    assert_eq!(tried_ms(&histogram, 9_600), 0);
}

/// A few callers with far less time say nothing of all others.
#[test]
fn a_few_with_little_time_change_nothing() {
    let mut histogram = seen(100, 99);
    for _ in 0..8 {
        histogram.learn(at(0), Span::from_millis(1_000), TIMEOUT);
    }
    assert!(tried_ms(&histogram, 9_000) > 0);
}

/// Those who would wait for longer than the route's timeout say nothing.
#[test]
fn longer_deadlines_are_passed_over() {
    let mut histogram = seen(100, 85);
    for _ in 0..300 {
        histogram.learn(at(0), Span::from_secs(20), TIMEOUT);
    }
    assert_eq!(tried_ms(&histogram, 9_000), 0);
}
