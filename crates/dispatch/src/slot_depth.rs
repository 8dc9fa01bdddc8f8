//! Requests that an endpoint is given beyond its slots, by the load that it states.
//!
//! The owner of an endpoint's slots hears of the end of a call, grants the slot to the next request
//! and that request reaches the endpoint: for this time the slot would be idle. With calls of 30 ms
//! this was up to a third of the time. What a node observes can't show it, because the time of a
//! call as the node sees it contains the latency; the endpoint itself states how many requests run
//! and wait there.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::stated_load::Load;

/// The number of requests that wait at an endpoint below which its slots are likely to be idle when
/// the next call ends.
const MIN_WAITING: u16 = 1;

/// The change of the depth for each request or idle slot that an answer states too many. Answers
/// arrive at about 200 a second, and a change shows in statements 40 ms (8 answers) later.
const STEP: f64 = 0.05;

/// How long a depth is used without a statement.
const FRESH: Span = Span::from_millis(500);

/// The time without a statement in which a depth falls to zero.
const FORGOTTEN: Span = Span::from_secs(2);

/// The number of requests that one endpoint is given beyond its slots.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Depth {
    learnt: f64,
    stated_at: Time,
}

impl Depth {
    /// Records a load that the endpoint stated in an answer, and whether requests wait for its
    /// slots.
    pub fn learn(&mut self, now: Time, load: Load, is_awaited: bool) {
        let depth = self.current(now);
        let slots = f64::from(load.slots);
        let change = if load.waiting > MIN_WAITING {
            -STEP * f64::from(load.waiting - MIN_WAITING)
        } else if load.waiting < MIN_WAITING && is_awaited {
            // The slot of the call that this answer ends is idle, besides those that already were.
            STEP * f64::from(1 + load.slots.saturating_sub(load.running))
        } else {
            0.0
        };
        self.learnt = (depth + change).clamp(0.0, slots);
        self.stated_at = now;
    }

    /// The number of requests beyond its `slots` that the endpoint is given.
    pub fn requests(&self, now: Time, slots: u32) -> u32 {
        (self.current(now).round() as u32).min(slots)
    }

    /// Returns the learnt depth, less the part that is forgotten.
    fn current(&self, now: Time) -> f64 {
        let stale = now.since(self.stated_at + FRESH).as_secs_f64();
        let forget_in = FORGOTTEN.as_secs_f64() - FRESH.as_secs_f64();
        self.learnt * (1.0 - stale / forget_in).max(0.0)
    }
}
