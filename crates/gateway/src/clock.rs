//! The time, counted by the steady clock alone: the time of day may step and
//! plays no part in any decision.

use std::time::Duration;
use std::time::Instant;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// A time so far from zero that spans can be taken off it.
const START: Time = Time(1_000_000_000_000);

/// The clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        START + self.running_for()
    }

    /// The time since this clock started.
    pub fn running_for(&self) -> Span {
        to_span(self.start.elapsed())
    }

    /// The instant of a time, for timers.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        (self.start + to_duration(time.since(START))).into()
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
