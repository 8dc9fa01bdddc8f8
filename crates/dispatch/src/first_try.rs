//! How much of a route's timeout callers have left at their first try, from which it
//! shows who has tried before: nothing else of a request says so.
//!
//! At some deployments all callers wait for as long as the route's timeout; at
//! others each has a deadline of its own. With a fixed part of the timeout (97 in 100)
//! and deadlines from 85 to 100 in 100 of it, 80 in 100 first tries were taken for
//! callers who return: they were thought to be late as they came, were sent to slow
//! engines, and were held beyond their objective where a refusal at once would have
//! cost them less.
//!
//! It is learnt from what comes while nobody is refused, since then nobody returns.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The part of a timeout from which a caller counts as on its first try until
/// enough of them were seen: a little is lost on the way.
const DEFAULT_FIRST_TRY_FRACTION: f64 = 0.97;

/// Requests from which on what was seen is believed: some two seconds of a node's
/// share of a fleet's load.
const MIN_SAMPLES: u32 = 20;

/// Requests after which what was seen counts half: some forty seconds of that load.
const MAX_SAMPLES: u32 = 400;

/// Steps in which the part that is left is told apart.
const BUCKETS: usize = 50;

/// The part of first tries that may be taken for returns: some callers have far less
/// time than all others, which says nothing of those.
const MAX_MISTAKEN_FRACTION: f64 = 0.1;

/// How long after a refusal nothing is learnt: callers come back within a third of
/// what they have left, and of the longest timeouts (15 s) that is this.
const LEARNING_PAUSE: Span = Span::from_secs(5);

/// What was seen of callers' time left.
#[derive(Debug)]
pub struct Histogram {
    counts: [u32; BUCKETS],
    samples: u32,
    last_refusal: Option<Time>,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram {
            counts: [0; BUCKETS],
            samples: 0,
            last_refusal: None,
        }
    }
}

impl Histogram {
    /// Notes that a caller was told to come back.
    pub fn note_refused(&mut self, now: Time) {
        self.last_refusal = Some(now);
    }

    /// Learns from a caller with so much `left` of a route's `timeout`, unless it may
    /// be one that returns. One that waits for longer than the route says nothing.
    pub fn learn(&mut self, now: Time, left: Span, timeout: Span) {
        let may_return = self
            .last_refusal
            .is_some_and(|at| now.since(at) < LEARNING_PAUSE);
        if may_return || timeout == Span::ZERO || left > timeout {
            return;
        }
        let bucket = left.0 * BUCKETS as u64 / timeout.0;
        let bucket = (bucket as usize).min(BUCKETS - 1);
        self.counts[bucket] += 1;
        self.samples += 1;
        if self.samples >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.samples = self.counts.iter().sum();
        }
    }

    /// The time for which a caller has tried, at the least, that has so much `left`
    /// of a route's `timeout`; none where it may be on its first try.
    pub fn tried_for(&self, left: Span, timeout: Span) -> Span {
        let least = Span((timeout.0 as f64 * self.first_try_fraction()) as u64);
        match left < least {
            true => Span(least.0 - left.0),
            false => Span::ZERO,
        }
    }

    /// The part of a timeout that nearly all callers have left at their first try.
    fn first_try_fraction(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            return DEFAULT_FIRST_TRY_FRACTION;
        }
        let mistaken = f64::from(self.samples) * MAX_MISTAKEN_FRACTION;
        let mut below = 0;
        let first = self.counts.iter().position(|count| {
            below += count;
            f64::from(below) > mistaken
        });
        let least = first.unwrap_or(0) as f64 / BUCKETS as f64;
        least.min(DEFAULT_FIRST_TRY_FRACTION)
    }
}
