//! Endpoints that are cold: for some seconds after a start, and at times at
//! other moments, they bear only a few requests a second and fall over above
//! that, which costs whatever runs there.
//!
//! Starts at a cold endpoint are spaced evenly: one at a time, and the next no
//! sooner than the interval that it bears. The operator's rule allows more in a
//! single second; that margin is left for what a node cannot see, such as starts
//! by another that took itself for the owner of the same slots for a moment.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// What an endpoint of a service bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// The shortest time between two starts.
    pub interval: Span,
    /// How long an endpoint stays cold after a start.
    pub duration: Span,
}

/// Whether one endpoint is cold, and when it may be sent the next request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    until: Time,
    next_start: Time,
}

impl State {
    /// Notes that it is cold for so long from now on. Where several say so, the
    /// one that says longest is believed.
    pub fn extend(&mut self, now: Time, cold_for: Span) {
        self.until = self.until.max(now + cold_for);
    }

    /// True while it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.until
    }

    /// True unless it was sent a request too short a time ago.
    pub fn may_start(&self, now: Time) -> bool {
        now >= self.next_start
    }

    /// Notes that it was sent a request: the next one may follow after `interval`.
    pub fn note_start(&mut self, now: Time, interval: Span) {
        self.next_start = now + interval;
    }
}
