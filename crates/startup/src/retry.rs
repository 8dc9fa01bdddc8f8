//! Repeats what the host refuses for a moment: addresses that another process still holds, and
//! descriptors or memory that others take up.

use std::time::Duration;

use tokio::time::Instant;

use crate::failure::Failure;

/// For how long and how often to try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// How long to try.
    pub within: Duration,
    /// The pause between two tries.
    pub interval: Duration,
    /// The interval at which a wait is reported.
    pub report_interval: Duration,
}

impl Default for Options {
    /// Waits for twice the time for which the kernel keeps the port of a closed connection.
    fn default() -> Options {
        Options {
            within: Duration::from_secs(120),
            interval: Duration::from_millis(100),
            report_interval: Duration::from_secs(10),
        }
    }
}

/// Something that the process waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// Why.
    pub cause: Failure,
    /// For how long so far.
    pub waited: Duration,
}

/// Makes an attempt until it succeeds, and reports each wait. Another attempt follows if the host may
/// grant in a moment what it refused.
///
/// # Errors
/// Returns the last failure once the time is over, and any other failure at once.
pub async fn retry<T>(
    options: &Options,
    mut attempt: impl FnMut() -> Result<T, Failure>,
    report: impl Fn(&Waiting),
) -> Result<T, Failure> {
    let mut wait = Wait::start();
    loop {
        match attempt() {
            Ok(acquired) => return Ok(acquired),
            Err(cause) => wait.follow(options, cause, &report)?,
        }
        tokio::time::sleep(options.interval).await;
    }
}

/// The same as [`retry`], for a thread without a runtime.
///
/// # Errors
/// Same as for [`retry`].
pub fn retry_blocking<T>(
    options: &Options,
    mut attempt: impl FnMut() -> Result<T, Failure>,
    report: impl Fn(&Waiting),
) -> Result<T, Failure> {
    let mut wait = Wait::start();
    loop {
        match attempt() {
            Ok(acquired) => return Ok(acquired),
            Err(cause) => wait.follow(options, cause, &report)?,
        }
        std::thread::sleep(options.interval);
    }
}

/// A wait for something that the host may grant.
struct Wait {
    started_at: Instant,
    reported_at: Option<Instant>,
}

impl Wait {
    fn start() -> Wait {
        Wait {
            started_at: Instant::now(),
            reported_at: None,
        }
    }

    /// Reports a failed attempt if a report is due, and returns the failure if no other attempt
    /// follows.
    fn follow(
        &mut self,
        options: &Options,
        cause: Failure,
        report: impl Fn(&Waiting),
    ) -> Result<(), Failure> {
        let waited = self.started_at.elapsed();
        if !cause.is_transient() || waited >= options.within {
            return Err(cause);
        }
        let is_reported = self
            .reported_at
            .is_some_and(|at| at.elapsed() < options.report_interval);
        if !is_reported {
            self.reported_at = Some(Instant::now());
            report(&Waiting { cause, waited });
        }
        Ok(())
    }
}
