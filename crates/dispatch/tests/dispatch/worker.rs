//! What is learnt about one endpoint.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::worker::Options;
use woadstage_dispatch::worker::Worker;

use crate::support::MODEL;
use crate::support::at;
use crate::support::endpoint;

/// Returns the step of an engine, in milliseconds, after these pauses between events.
fn step(pauses: impl IntoIterator<Item = f64>) -> f64 {
    let mut worker = Worker::new(Arc::new(endpoint("e", MODEL, 4)));
    for (count, pause) in pauses.into_iter().enumerate() {
        worker.learn_step(at(count as u64), pause * 1_000.0);
    }
    worker.step_us.expect("pauses were seen") / 1_000.0
}

fn times(pause: f64, count: usize) -> Vec<f64> {
    vec![pause; count]
}

#[rstest]
#[case::first_pause(times(16.0, 1), 16.0..16.1)]
#[case::pauses_from_reading_prompts([16.0, 90.0, 16.0, 90.0, 16.0].repeat(8), 16.0..24.0)]
#[case::first_pause_from_reading_a_prompt([times(90.0, 1), times(16.0, 20)].concat(), 16.0..17.0)]
#[case::slowdown([times(16.0, 20), times(64.0, 80)].concat(), 55.0..64.1)]
#[case::recovery([times(64.0, 80), times(16.0, 20)].concat(), 16.0..17.0)]
#[case::stalled_stream([times(16.0, 9), times(9_000.0, 1)].concat(), 16.0..19.0)]
fn the_step_follows_the_short_pauses(
    #[case] pauses: Vec<f64>,
    #[case] expected: std::ops::Range<f64>,
) {
    let learnt = step(pauses);
    assert!(expected.contains(&learnt), "{learnt} ms");
}

/// Calls to an endpoint break in a row, soon or long after one succeeded.
#[rstest]
#[case::one_soon_after_success(1, 100, false, true)]
#[case::two_soon_after_success(2, 100, false, true)]
#[case::three_in_a_row(3, 100, false, false)]
#[case::one_long_after_success(1, 900, false, false)]
#[case::unreachable_endpoint(1, 100, true, false)]
fn an_endpoint_that_breaks_calls_gets_no_work(
    #[case] broken: u32,
    #[case] after: u64,
    #[case] unreachable: bool,
    #[case] accepts_work: bool,
) {
    let options = Options::default();
    let mut worker = Worker::new(Arc::new(endpoint("e", MODEL, 4)));
    worker.record_success(at(0), true);
    for _ in 0..broken {
        worker.record_failure(at(after), unreachable, &options);
    }
    assert_eq!(worker.accepts_work(at(after + 1), &options), accepts_work);
    // A success ends the series of failures.
    worker.record_success(at(after + 2), true);
    worker.record_failure(at(after + 3), false, &options);
    assert_eq!(worker.consecutive_failures, 0);
}
