//! A time limit for a future that includes suspension of the host.

use std::fmt;
use std::pin::pin;
use std::time::Duration;

use crate::Clock;

/// The maximum time between two checks of the clock, and thus the maximum delay after a
/// suspension until an expired time limit is detected.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The error of a future that did not complete within its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("time limit exceeded")
    }
}

impl std::error::Error for Elapsed {}

/// Waits for a future for at most `limit`, measured by `clock`.
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
        let remaining = deadline.saturating_sub(clock.elapsed());
        let result = tokio::time::timeout(remaining.min(MAX_CHECK_INTERVAL), future.as_mut());
        match result.await {
            Ok(output) => return Ok(output),
            Err(_) if clock.elapsed() >= deadline => return Err(Elapsed),
            Err(_) => {}
        }
    }
}
