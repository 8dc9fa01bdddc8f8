//! Time that goes on while the host is suspended.
//!
//! The steady clock of the standard library (`CLOCK_MONOTONIC` on Linux) stands still
//! for that time, and with it every timer of the runtime: a caller's deadline would be
//! taken to lie as much later as the host was suspended, an answer would be waited for
//! beyond it, and an endpoint would be given time that its caller has not got. `CLOCK_BOOTTIME`
//! counts that time and, as the steady clock, never steps.
//!
//! * [`Clock`]: the time since a process started.
//! * [`timeout`]: a bound on how long something takes.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

mod timeout;

pub use timeout::Elapsed;
pub use timeout::timeout;

/// The time since the host was started, with all times of suspension.
pub fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(read.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// The time since a process started.
#[derive(Clone)]
pub struct Clock {
    read: Rc<dyn Fn() -> Duration>,
    start: Duration,
    steady: Instant,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock")
            .field("start", &self.start)
            .finish_non_exhaustive()
    }
}

impl Clock {
    /// Starts counting.
    pub fn start() -> Clock {
        Clock::from_source(since_boot)
    }

    /// Starts counting by another clock, as for a test that suspends its host.
    pub fn from_source(read: impl Fn() -> Duration + 'static) -> Clock {
        Clock {
            start: read(),
            read: Rc::new(read),
            steady: Instant::now(),
        }
    }

    /// The time since this clock started.
    pub fn elapsed(&self) -> Duration {
        (self.read)().saturating_sub(self.start)
    }

    /// For how long the host was suspended since then.
    pub fn suspended(&self) -> Duration {
        self.elapsed().saturating_sub(self.steady.elapsed())
    }
}
