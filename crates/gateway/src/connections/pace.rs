//! Spreads work that misbehaving peers ask for over time, so that others are served in between.

use std::cell::Cell;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// A limit on how often something is done, for all who ask for it together.
#[derive(Debug)]
pub struct Pace {
    interval: Span,
    burst: Span,
    /// When all that was done has been paid for.
    paid_at: Cell<Time>,
    delayed: Cell<u64>,
}

impl Pace {
    /// Creates a limit on what is done in a second, and at once.
    pub fn new(per_s: u64, burst: u64) -> Pace {
        let interval = Span((1_000_000 / per_s.max(1)).max(1));
        Pace {
            interval,
            burst: Span(interval.0 * burst),
            paid_at: Cell::new(Time(0)),
            delayed: Cell::new(0),
        }
    }

    /// Records that it is done once. Returns how long whoever asked for it has to wait, unless that is
    /// shorter than `min_intervals` intervals: each wait costs something.
    pub fn record(&self, now: Time, min_intervals: u64) -> Option<Span> {
        let paid_at = self.paid_at.get().max(now) + self.interval;
        self.paid_at.set(paid_at);
        let wait = paid_at.since(now).0.checked_sub(self.burst.0)?;
        if wait < min_intervals * self.interval.0 {
            return None;
        }
        self.delayed.set(self.delayed.get() + 1);
        Some(Span(wait))
    }

    /// Returns how often someone had to wait.
    pub fn delayed(&self) -> u64 {
        self.delayed.get()
    }
}
