//! A monotonic clock that advances while the host is suspended. The time of day may jump, so no
//! decision depends on it.

use std::time::Duration;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The time at which the clock starts, large enough that spans can be subtracted from it.
const START_TIME: Time = Time(1_000_000_000_000);

/// The clock of a process.
#[derive(Debug, Clone)]
pub struct Clock {
    clock: woadstage_clock::Clock,
}

impl Clock {
    /// Starts a clock that reads the host's time since boot.
    pub fn start() -> Clock {
        Clock::reading(woadstage_clock::since_boot)
    }

    /// Starts a clock that reads another time source, for example in a test that simulates a
    /// suspension.
    pub fn reading(read: impl Fn() -> Duration + 'static) -> Clock {
        Clock {
            clock: woadstage_clock::Clock::from_source(read),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        START_TIME + self.uptime()
    }

    /// Returns the time since this clock started, including suspensions.
    pub fn uptime(&self) -> Span {
        to_span(self.clock.elapsed())
    }

    /// Returns how long the host was suspended since this clock started.
    pub fn suspended(&self) -> Span {
        to_span(self.clock.suspended())
    }

    /// Converts a time to an instant for timers. Timers do not advance while the host is
    /// suspended, so the result is valid only until the next suspension.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + to_duration(time.since(self.now()))
    }
}

/// Converts a span to a standard duration.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Converts a standard duration to a span, in whole microseconds.
pub fn to_span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}
