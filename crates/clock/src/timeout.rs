//! A bound on how long something takes, suspension of the host included.

use std::fmt;
use std::pin::pin;
use std::time::Duration;

use crate::Clock;

/// The longest time without a look at the clock. After a suspension a bound that has
/// passed meanwhile is noticed so much later at the most.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// The time has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the time has passed")
    }
}

impl std::error::Error for Elapsed {}

/// Waits for a future, for so long by a clock.
///
/// # Errors
/// [`Elapsed`] where it takes longer.
pub async fn timeout<F: Future>(
    clock: &Clock,
    limit: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    let until = clock.elapsed() + limit;
    let mut future = pin!(future);
    loop {
        let left = until.saturating_sub(clock.elapsed());
        let look = tokio::time::timeout(left.min(LOOK_EVERY), future.as_mut());
        match look.await {
            Ok(output) => return Ok(output),
            Err(_) if clock.elapsed() >= until => return Err(Elapsed),
            Err(_) => {}
        }
    }
}
