//! Tests of the clock and of time limits across a suspension of the host.

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

/// Returns a clock based on the runtime's paused time, and the duration of simulated
/// suspensions that it adds.
fn suspendable() -> (Clock, Rc<Cell<Duration>>) {
    let suspended = Rc::new(Cell::new(Duration::ZERO));
    let (start, counted) = (Instant::now(), suspended.clone());
    let clock = Clock::from_source(move || start.elapsed() + counted.get());
    (clock, suspended)
}

#[test]
fn the_time_since_boot_does_not_go_back() {
    let before = since_boot();
    std::thread::yield_now();
    assert!(since_boot() >= before);
    assert!(before > Duration::ZERO);
}

#[test]
fn a_suspension_is_included_and_reported() {
    let suspended = Rc::new(Cell::new(Duration::ZERO));
    let counted = suspended.clone();
    let clock = Clock::from_source(move || since_boot() + counted.get());
    suspended.set(Duration::from_secs(7));
    assert!(clock.elapsed() >= Duration::from_secs(7));
    let reported = clock.suspended();
    // The two clocks are read one after the other.
    assert!(
        reported > Duration::from_secs(6) && reported <= Duration::from_secs(8),
        "{reported:?}"
    );
}

/// The host is suspended 4.1 s into a time limit of 10 s. A limit that expires during the
/// suspension is detected within half a second after it.
#[rstest]
#[case::no_suspension(0, 10_000)]
#[case::two_seconds(2, 8_000)]
#[case::beyond_the_limit(30, 4_500)]
#[tokio::test(start_paused = true)]
async fn a_time_limit_includes_a_suspension(#[case] seconds: u64, #[case] awake_ms: u64) {
    let (clock, suspended) = suspendable();
    let start = Instant::now();
    let sleeper = async {
        tokio::time::sleep(Duration::from_millis(4_100)).await;
        suspended.set(Duration::from_secs(seconds));
        pending::<()>().await
    };
    let result = timeout(&clock, Duration::from_secs(10), sleeper).await;
    assert_eq!(result, Err(Elapsed));
    // The runtime's timers have a resolution of a millisecond and fire slightly late.
    let awake = start.elapsed().as_millis() as u64;
    assert!(awake.abs_diff(awake_ms) <= 20, "{awake}");
}

/// Guards against answers that are discarded since their time limit passed while the process stood
/// still.
#[tokio::test(start_paused = true)]
async fn what_arrived_during_a_pause_is_returned_after_the_limit() {
    let (clock, suspended) = suspendable();
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let (relay, relayed) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        let _ = relay.send(receiver.await);
    });
    let answer = async move {
        suspended.set(Duration::from_secs(30));
        drop(tokio::spawn(async move { sender.send(7) }));
        relayed.await
    };
    let result = timeout(&clock, Duration::ZERO, answer).await;
    assert_eq!(result, Ok(Ok(Ok(7))));
}

#[tokio::test(start_paused = true)]
async fn a_future_that_completes_in_time_returns_its_output() {
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
