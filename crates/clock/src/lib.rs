//! A monotonic clock that includes the time during which the host is suspended.
//!
//! The monotonic clock of the standard library (`CLOCK_MONOTONIC` on Linux) stops while
//! the host is suspended, and so do the timers of the runtime. A caller's deadline would
//! then be extended by the duration of the suspension: this node would wait for a response
//! beyond the deadline, and would grant an endpoint time that the caller does not have.
//! `CLOCK_BOOTTIME` includes suspension and never steps either.
//!
//! * [`Clock`]: the time since a process started.
//! * [`timeout`]: a time limit for a future.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

mod timeout;

pub use timeout::Elapsed;
pub use timeout::timeout;

/// Returns the time since the host booted, including suspension.
pub fn since_boot() -> Duration {
    let boot_time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(boot_time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(boot_time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// A clock that counts from its creation and includes suspension of the host.
#[derive(Clone)]
pub struct Clock {
    source: Rc<dyn Fn() -> Duration>,
    start: Duration,
    monotonic_start: Instant,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock")
            .field("start", &self.start)
            .finish_non_exhaustive()
    }
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock::from_source(since_boot)
    }

    /// Creates a clock on another source of time, for tests that simulate a suspension.
    pub fn from_source(source: impl Fn() -> Duration + 'static) -> Clock {
        Clock {
            start: source(),
            source: Rc::new(source),
            monotonic_start: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        (self.source)().saturating_sub(self.start)
    }

    /// Returns how long the host has been suspended since the clock was created.
    pub fn suspended(&self) -> Duration {
        self.elapsed()
            .saturating_sub(self.monotonic_start.elapsed())
    }
}
