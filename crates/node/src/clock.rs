//! The process's clock: reads the wall clock once and then advances with a
//! clock that never steps. It includes the time during which the process was
//! paused or its host suspended.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall: Time,
    start: Duration,
}

impl Clock {
    /// Creates a clock from the current wall-clock time.
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall: Time(wall.as_micros() as u64),
            start: woadstage_clock::since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        let elapsed = woadstage_clock::since_boot().saturating_sub(self.start);
        self.wall + Span(elapsed.as_micros() as u64)
    }

    /// Returns the timer instant for a time. Timers stand still while the host
    /// is suspended, so the instant is valid only until the next suspension.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + to_duration(time.since(self.now()))
    }
}

/// Converts a duration to the standard library's type.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
