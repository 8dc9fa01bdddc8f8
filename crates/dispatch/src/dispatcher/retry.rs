//! Computes when a refused caller should retry.
//!
//! The delay predicts when the request can be placed and does not depend on the
//! request's objective. Callers retry once, and only honour a delay up to a fraction of
//! their remaining time ([`Policy::come_back_within`](super::Policy)), so longer
//! predictions are capped to that.

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;

/// The minimum delay before a retry: a few round trips within a region.
pub(super) const MIN_RETRY_AFTER: Span = Span::from_millis(100);

/// The minimum delay after the last attempt of a request that did not run.
const UNAVAILABLE_RETRY_AFTER: Span = Span::from_millis(200);

/// The fraction of a known wait over which retries are spread, so that they do not arrive
/// all at once.
const JITTER: f64 = 0.25;

/// The resolution of the jitter.
const JITTER_STEPS: u64 = 1_000;

impl Dispatcher {
    /// Returns the delay for a refused caller with `remaining` time left, when its request is
    /// known to fit after `wait`: when a quota bucket has refilled, or a node has
    /// started.
    pub fn retry_after(&self, now: Time, wait: Span, remaining: Span) -> Span {
        let wait = wait.max(MIN_RETRY_AFTER);
        let spread = wait.0 as f64 * JITTER * self.jitter_fraction(now);
        let delay = wait + Span(spread as u64);
        delay.min(self.max_retry_after(remaining))
    }

    /// Returns the delay for a refused caller when `wait` is only an estimate, either for a
    /// queue that other requests keep joining or for an outage, which is assumed to last as
    /// long again as it has lasted. Retries are spread from the end of `wait` to the longest
    /// delay that callers honour, but the result is at least `MIN_RETRY_AFTER`.
    pub fn retry_after_estimate(&self, now: Time, wait: Span, remaining: Span) -> Span {
        let max_delay = self.max_retry_after(remaining);
        let wait = wait.min(max_delay);
        let spread = (max_delay.0 - wait.0) as f64 * self.jitter_fraction(now);
        (wait + Span(spread as u64)).max(MIN_RETRY_AFTER)
    }

    /// Returns the delay for a caller with `remaining` time left whose request did not
    /// run at any endpoint. The delay is short, unless all open endpoints rest: then it lasts
    /// until the first of them has rested.
    pub fn retry_after_refusal(&self, now: Time, target: &id::Target, remaining: Span) -> Span {
        let pool = self.pools.get(target);
        let open = pool.into_iter().flat_map(|pool| &pool.workers);
        let rests = open
            .filter(|worker| worker.is_open())
            .map(|worker| worker.rest.left(now));
        let soonest = rests.min().unwrap_or_default();
        self.retry_after(now, soonest.max(UNAVAILABLE_RETRY_AFTER), remaining)
    }

    /// Returns the longest delay that a caller with `remaining` time left honours.
    pub(super) fn max_retry_after(&self, remaining: Span) -> Span {
        Span((remaining.0 as f64 * self.options.policy.come_back_within) as u64)
    }

    /// Returns a pseudo-random number from 0 to 1 that differs between nodes and moments.
    fn jitter_fraction(&self, now: Time) -> f64 {
        let mixed = hash::chain(self.options.incarnation, &now.0.to_le_bytes());
        let mixed = hash::chain(mixed, &self.next_job.to_le_bytes());
        (mixed % JITTER_STEPS) as f64 / JITTER_STEPS as f64
    }
}
