//! The number of requests that an endpoint is given beyond its slots.

use rstest::rstest;
use woadstage_dispatch::turnaround::Turnaround;
use woadstage_types::unit::Span;

/// Learns many calls with these times, in milliseconds, for an endpoint with six slots.
#[rstest]
#[case::no_latency(25, 25, 0)]
#[case::short_latency(25, 24, 0)]
#[case::idle_7_of_25_ms(25, 18, 2)]
#[case::long_call(407, 400, 0)]
#[case::latency_above_call_time(60, 15, 3)]
#[case::used_for_longer_than_held(20, 25, 0)]
fn extra_requests_cover_the_idle_time(
    #[case] held: u64,
    #[case] used: u64,
    #[case] overcommit: u32,
) {
    let mut turnaround = Turnaround::default();
    for _ in 0..100 {
        turnaround.learn(Span::from_millis(held), Span::from_millis(used));
    }
    assert_eq!(turnaround.overcommit(6), overcommit);
}

#[test]
fn no_extra_requests_before_the_first_call() {
    assert_eq!(Turnaround::default().overcommit(6), 0);
}

/// Calls that queue at the endpoint take longer there, so fewer extra requests are given.
#[test]
fn extra_requests_fall_when_calls_queue() {
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
