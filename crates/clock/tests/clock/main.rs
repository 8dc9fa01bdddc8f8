//! Time goes on while the host is suspended.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use woadstage_clock::Clock;
use woadstage_clock::Elapsed;
use woadstage_clock::since_boot;
use woadstage_clock::timeout;

/// A clock by the runtime's paused time, and what it was ahead by suspensions.
fn suspendable() -> (Clock, Rc<Cell<Duration>>) {
    let suspended = Rc::new(Cell::new(Duration::ZERO));
    let (start, counted) = (Instant::now(), suspended.clone());
    let clock = Clock::from_source(move || start.elapsed() + counted.get());
    (clock, suspended)
}

#[test]
fn the_time_since_boot_goes_on() {
    let before = since_boot();
    std::thread::yield_now();
    assert!(since_boot() >= before);
    assert!(before > Duration::ZERO);
}

#[test]
fn a_suspension_counts_and_is_told() {
    let suspended = Rc::new(Cell::new(Duration::ZERO));
    let counted = suspended.clone();
    let clock = Clock::from_source(move || since_boot() + counted.get());
    suspended.set(Duration::from_secs(7));
    assert!(clock.elapsed() >= Duration::from_secs(7));
    let told = clock.suspended();
    // The two clocks are read one after the other.
    assert!(
        told > Duration::from_secs(6) && told <= Duration::from_secs(8),
        "{told:?}"
    );
}

/// Of 10 s, a little over four pass before the host is suspended. That the time has
/// passed meanwhile is noticed within half a second.
#[rstest]
#[case::not_at_all(0, 10_000)]
#[case::for_two_seconds(2, 8_000)]
#[case::beyond_the_bound(30, 4_500)]
#[tokio::test(start_paused = true)]
async fn a_bound_holds_across_a_suspension(#[case] seconds: u64, #[case] awake_ms: u64) {
    let (clock, suspended) = suspendable();
    let start = Instant::now();
    let sleeper = async {
        tokio::time::sleep(Duration::from_millis(4_100)).await;
        suspended.set(Duration::from_secs(seconds));
        pending::<()>().await
    };
    let ended = timeout(&clock, Duration::from_secs(10), sleeper).await;
    assert_eq!(ended, Err(Elapsed));
    // The runtime's timers count in milliseconds and fire a little late.
    let awake = start.elapsed().as_millis() as u64;
    assert!(awake.abs_diff(awake_ms) <= 20, "{awake}");
}

#[tokio::test(start_paused = true)]
async fn what_is_there_in_time_is_given() {
    let (clock, _) = suspendable();
    let sleeper = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        7
    };
    assert_eq!(
        timeout(&clock, Duration::from_secs(10), sleeper).await,
        Ok(7)
    );
}
