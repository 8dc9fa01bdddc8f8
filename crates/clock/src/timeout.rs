//! A time limit for a future that includes suspension of the host.

use std::fmt;
use std::pin::pin;
use std::time::Duration;

use crate::Clock;

/// The maximum time between two checks of the clock, and thus the maximum delay after a
/// suspension until an expired time limit is detected.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How much later than due a check has to be to show that the process stood still.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// The turns of the runtime that a future still has after a pause of the process, during which it may
/// have become ready: several tasks pass on what arrives.
const TURNS_AFTER_PAUSE: usize = 8;

/// The error of a future that did not complete within its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("time limit exceeded")
    }
}

impl std::error::Error for Elapsed {}

/// Waits for a future for at most `limit`, measured by `clock`. If the limit passes while the process
/// stands still, the future may still return what arrived meanwhile.
///
/// # Errors
/// [`Elapsed`] if the future does not complete in time.
pub async fn timeout<F: Future>(
    clock: &Clock,
    limit: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    let deadline = clock.elapsed() + limit;
    let mut future = pin!(future);
    loop {
        let now = clock.elapsed();
        let wait = deadline.saturating_sub(now).min(MAX_CHECK_INTERVAL);
        if let Ok(output) = tokio::time::timeout(wait, future.as_mut()).await {
            return Ok(output);
        }
        if clock.elapsed() >= now + wait + MIN_PAUSE {
            for _ in 0..TURNS_AFTER_PAUSE {
                tokio::task::yield_now().await;
                if let Ok(output) = tokio::time::timeout(Duration::ZERO, future.as_mut()).await {
                    return Ok(output);
                }
            }
        }
        if clock.elapsed() >= deadline {
            return Err(Elapsed);
        }
    }
}
