//! Distribution of the time that callers have left at their first attempt, relative to
//! the route's timeout. Only a shorter remaining time distinguishes a retry from a first attempt.
//!
//! In some deployments all callers wait for the route's timeout, in others each has a
//! deadline of its own. A fixed threshold fails in the latter: with 97 % of the timeout, and
//! deadlines from 85 % to 100 % of it, 80 % of the first attempts were taken for retries.
//! They were considered late on arrival, sent to slow engines, and held beyond their
//! objective although an immediate refusal would have cost them less.
//!
//! The distribution is learnt only while no caller is refused, since there are no retries
//! during that time.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The fraction of a timeout above which a caller counts as on its first attempt until
/// there are enough samples. A little time is lost in transit.
const DEFAULT_FIRST_TRY_FRACTION: f64 = 0.97;

/// The minimum number of samples to rely on: about two seconds of a node's share of a
/// fleet's load.
const MIN_SAMPLES: u32 = 20;

/// The number of samples at which all counts are halved: about forty seconds of that
/// load.
const MAX_SAMPLES: u32 = 400;

/// The resolution of the remaining fraction.
const BUCKETS: usize = 50;

/// The fraction of first attempts that may be mistaken for retries: some callers have far
/// less time than all others, which says nothing about the others.
const MAX_MISTAKEN_FRACTION: f64 = 0.1;

/// How long nothing is learnt after a refusal. Callers retry within a third of their
/// remaining time, which is 5 s for the longest timeouts (15 s).
const LEARNING_PAUSE: Span = Span::from_secs(5);

/// A histogram of the time that callers have left.
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
    /// Records that a caller was refused, and may retry.
    pub fn record_refused(&mut self, now: Time) {
        self.last_refusal = Some(now);
    }

    /// Adds a sample of a caller with `left` remaining of a route's `timeout`, unless it
    /// may be a retry. A deadline beyond the timeout is ignored.
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

    /// Returns the minimum time that a caller has spent on earlier attempts, given that
    /// `left` remains of a route's `timeout`; zero if it may be its first attempt.
    pub fn since_first_try(&self, left: Span, timeout: Span) -> Span {
        let min_left = Span((timeout.0 as f64 * self.first_try_fraction()) as u64);
        match left < min_left {
            true => Span(min_left.0 - left.0),
            false => Span::ZERO,
        }
    }

    /// Returns the fraction of a timeout that nearly all callers have left at their first
    /// attempt.
    fn first_try_fraction(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            return DEFAULT_FIRST_TRY_FRACTION;
        }
        let max_mistaken = f64::from(self.samples) * MAX_MISTAKEN_FRACTION;
        let mut below = 0;
        let first = self.counts.iter().position(|count| {
            below += count;
            f64::from(below) > max_mistaken
        });
        let min_fraction = first.unwrap_or(0) as f64 / BUCKETS as f64;
        min_fraction.min(DEFAULT_FIRST_TRY_FRACTION)
    }
}
