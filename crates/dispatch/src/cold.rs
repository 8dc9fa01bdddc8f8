//! Cold endpoints. For some seconds after a start, and sometimes at other moments, an
//! endpoint can take only a few requests a second; above that rate it fails, along with all
//! requests that it runs.
//!
//! Starts at a cold endpoint are spaced evenly: one at a time, and each at least the
//! tolerated interval after the previous one. The operator's rule allows more within a
//! single second. That margin is left for what a node cannot see, such as starts by
//! another node that briefly considered itself the owner of the same slots.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The load that a cold endpoint of a service tolerates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// The minimum time between two starts.
    pub interval: Span,
    /// How long an endpoint stays cold after a start.
    pub duration: Span,
}

/// The cold state of one endpoint, and the time at which it may be sent the next request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    until: Time,
    next_start: Time,
}

impl State {
    /// Records that the endpoint is cold for `cold_for` from now on. If reports differ,
    /// the longest one applies.
    pub fn extend(&mut self, now: Time, cold_for: Span) {
        self.until = self.until.max(now + cold_for);
    }

    /// Whether the endpoint is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.until
    }

    /// Whether the interval since the last start has passed.
    pub fn may_start(&self, now: Time) -> bool {
        now >= self.next_start
    }

    /// Records a start; the next one may follow after `interval`.
    pub fn record_start(&mut self, now: Time, interval: Span) {
        self.next_start = now + interval;
    }
}
