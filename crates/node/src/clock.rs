//! The time: read from the wall once, then driven by a clock that never steps. A
//! process that was paused, or whose host was suspended, finds on waking that time
//! went on.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// A clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall: Time,
    start: Duration,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall: Time(wall.as_micros() as u64),
            start: woadstage_clock::since_boot(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        let elapsed = woadstage_clock::since_boot().saturating_sub(self.start);
        self.wall + Span(elapsed.as_micros() as u64)
    }

    /// The instant of a time, for timers. These stand still while the host is
    /// suspended, so that it holds until then.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + to_duration(time.since(self.now()))
    }
}

/// A span as the standard library has it.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
