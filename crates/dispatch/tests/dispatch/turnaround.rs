//! How many requests an endpoint is given beyond its slots.

use rstest::rstest;
use woadstage_dispatch::turnaround::Turnaround;
use woadstage_types::unit::Span;

/// What is given beyond six slots after many calls of these times, in milliseconds.
#[rstest]
#[case::no_way(25, 25, 0)]
#[case::a_short_way(25, 24, 0)]
#[case::seven_of_25(25, 18, 2)]
#[case::a_long_call(407, 400, 0)]
#[case::a_way_longer_than_the_call(60, 15, 3)]
#[case::used_for_longer_than_held(20, 25, 0)]
fn as_many_as_the_way_holds(#[case] held: u64, #[case] used: u64, #[case] overcommit: u32) {
    let mut turnaround = Turnaround::default();
    for _ in 0..100 {
        turnaround.learn(Span::from_millis(held), Span::from_millis(used));
    }
    assert_eq!(turnaround.overcommit(6), overcommit);
}

#[test]
fn none_before_a_call_was_seen() {
    assert_eq!(Turnaround::default().overcommit(6), 0);
}

/// Calls that wait at the endpoint take longer there: fewer are given then.
#[test]
fn it_falls_back_when_calls_queue() {
    let mut turnaround = Turnaround::default();
    let mut learn = |held, used| {
        for _ in 0..200 {
            turnaround.learn(Span::from_millis(held), Span::from_millis(used));
        }
        turnaround.overcommit(6)
    };
    let usual = learn(25, 18);
    let queued = learn(67, 60);
    assert!(queued < usual, "{queued} {usual}");
}
