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
const USUAL: f64 = 0.97;

/// Requests from which on what was seen is believed: some two seconds of a node's
/// share of a fleet's load.
const SEEN_LEAST: u32 = 20;

/// Requests after which what was seen counts half: some forty seconds of that load.
const SEEN_MOST: u32 = 400;

/// Steps in which the part that is left is told apart.
const STEPS: usize = 50;

/// The part of first tries that may be taken for returns: some callers have far less
/// time than all others, which says nothing of those.
const MISTAKEN: f64 = 0.1;

/// How long after a refusal nothing is learnt: callers come back within a third of
/// what they have left, and of the longest timeouts (15 s) that is this.
const RETURN_WITHIN: Span = Span::from_secs(5);

/// What was seen of callers' time left.
#[derive(Debug)]
pub struct Histogram {
    counts: [u32; STEPS],
    seen: u32,
    refused: Option<Time>,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram {
            counts: [0; STEPS],
            seen: 0,
            refused: None,
        }
    }
}

impl Histogram {
    /// Notes that a caller was told to come back.
    pub fn note_refused(&mut self, now: Time) {
        self.refused = Some(now);
    }

    /// Learns from a caller with so much `left` of a route's `timeout`, unless it may
    /// be one that returns. One that waits for longer than the route says nothing.
    pub fn learn(&mut self, now: Time, left: Span, timeout: Span) {
        let lately = self.refused.is_some_and(|at| now.since(at) < RETURN_WITHIN);
        if lately || timeout == Span::ZERO || left > timeout {
            return;
        }
        let step = left.0 * STEPS as u64 / timeout.0;
        let step = (step as usize).min(STEPS - 1);
        self.counts[step] += 1;
        self.seen += 1;
        if self.seen >= SEEN_MOST {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.seen = self.counts.iter().sum();
        }
    }

    /// The time for which a caller has tried, at the least, that has so much `left`
    /// of a route's `timeout`; none where it may be on its first try.
    pub fn tried_for(&self, left: Span, timeout: Span) -> Span {
        let least = Span((timeout.0 as f64 * self.least()) as u64);
        match left < least {
            true => Span(least.0 - left.0),
            false => Span::ZERO,
        }
    }

    /// The part of a timeout that nearly all callers have left at their first try.
    fn least(&self) -> f64 {
        if self.seen < SEEN_LEAST {
            return USUAL;
        }
        let mistaken = f64::from(self.seen) * MISTAKEN;
        let mut below = 0;
        let first = self.counts.iter().position(|count| {
            below += count;
            f64::from(below) > mistaken
        });
        let least = first.unwrap_or(0) as f64 / STEPS as f64;
        least.min(USUAL)
    }
}
