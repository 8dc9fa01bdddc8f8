//! The time of one process. It goes on while the host is suspended, and never steps:
//! the time of day may, and plays no part in any decision.

use std::time::Duration;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// A time so far from zero that spans can be taken off it.
const START: Time = Time(1_000_000_000_000);

/// The clock of one process.
#[derive(Debug, Clone)]
pub struct Clock {
    clock: woadstage_clock::Clock,
}

impl Clock {
    /// Starts counting.
    pub fn start() -> Clock {
        Clock::reading(woadstage_clock::since_boot)
    }

    /// Starts counting by another clock, as for a test that suspends its host.
    pub fn reading(read: impl Fn() -> Duration + 'static) -> Clock {
        Clock {
            clock: woadstage_clock::Clock::from_source(read),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        START + self.running_for()
    }

    /// The time since this clock started.
    pub fn running_for(&self) -> Span {
        to_span(self.clock.elapsed())
    }

    /// For how long the host was suspended since then.
    pub fn suspended(&self) -> Span {
        to_span(self.clock.suspended())
    }

    /// The instant of a time, for timers. These stand still while the host is suspended,
    /// so that it holds until then.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + to_duration(time.since(self.now()))
    }
}

/// A span as the standard library has it.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// A library's duration as the decisions measure it.
pub fn to_span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}
