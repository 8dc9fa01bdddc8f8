//! Counts recent arrivals and starts of a service's requests.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::configuration::Rank;
use crate::map::HashMap;

/// The resolution at which arrivals and starts are counted.
const STEP: Span = Span::from_millis(50);

/// The number of steps that are kept. Must cover [`Policy::rate_window`](super::Policy) and all
/// parts.
const STEPS: usize = 32;

/// The number of parts of recent time, and of steps in each, whose median is the rate at which
/// requests keep arriving. With the mean, a burst of 200 ms that already waits in the queue
/// was expected to go on: more requests were refused than without the forecast.
const PARTS: u64 = 6;
const PART_STEPS: u64 = 5;

/// A number of requests a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// The number of events in each recent step.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    counts: [u32; STEPS],
    newest: u64,
}

impl Counts {
    fn record(&mut self, now: Time) {
        let step = now.0 / STEP.0;
        let first = (self.newest + 1).max((step + 1).saturating_sub(STEPS as u64));
        for skipped in first..=step {
            self.counts[(skipped % STEPS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(step);
        self.counts[(self.newest % STEPS as u64) as usize] += 1;
    }

    fn between(&self, first: u64, last: u64) -> u32 {
        let oldest = (self.newest + 1).saturating_sub(STEPS as u64);
        let kept = first.max(oldest)..=last.min(self.newest);
        kept.map(|step| self.counts[(step % STEPS as u64) as usize])
            .sum()
    }
}

/// The recent arrivals and starts of a service's requests.
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// Arrivals by rank and whether the request was late on arrival.
    arrivals: HashMap<(Rank, bool), Counts>,
    starts: HashMap<Rank, Counts>,
    /// Requests that were queued although they would be late.
    pub held: u64,
    /// Requests that were refused on arrival because of the forecast.
    pub refused: u64,
    /// Late requests that were refused because they could no longer be answered in time.
    pub dropped: u64,
}

impl Flow {
    /// Records an arrival.
    pub fn record_arrival(&mut self, now: Time, rank: Rank, is_late: bool) {
        let counts = self.arrivals.entry((rank, is_late)).or_default();
        counts.record(now);
    }

    /// Records a start from this node's queue.
    pub fn record_start(&mut self, now: Time, rank: Rank) {
        self.starts.entry(rank).or_default().record(now);
    }

    /// The rate of starts of ranks up to this one from a time on. At least one start is assumed.
    pub fn starts(&self, now: Time, from: Time, rank: Rank) -> Rate {
        let started = self.starts.iter().filter(|(other, _)| **other <= rank);
        let period = Period::new(now, from);
        let count: u32 = started
            .map(|(_, counts)| counts.between(period.first_step, u64::MAX))
            .sum();
        period.rate(count.max(1))
    }

    /// The rate of arrivals in matching ranks, given with whether the request was late.
    pub fn arrivals(&self, now: Time, from: Time, matches: impl Fn(Rank, bool) -> bool) -> Rate {
        let period = Period::new(now, from);
        let arrived = self.arrivals.iter();
        let arrived = arrived.filter(|((rank, is_late), _)| matches(*rank, *is_late));
        let count = arrived.map(|(_, counts)| counts.between(period.first_step, u64::MAX));
        period.rate(count.sum())
    }

    /// The rate at which requests of ranks up to this one keep arriving.
    pub fn sustained_arrivals(&self, now: Time, rank: Rank) -> Rate {
        let ranks = self
            .arrivals
            .iter()
            .filter(|((other, _), _)| *other <= rank);
        let ranks: Vec<&Counts> = ranks.map(|(_, counts)| counts).collect();
        let end = now.0 / STEP.0;
        let mut parts: Vec<u32> = (0..PARTS)
            .map(|part| {
                let end = end.saturating_sub(part * PART_STEPS);
                let (first, last) = (end.saturating_sub(PART_STEPS), end.saturating_sub(1));
                ranks.iter().map(|counts| counts.between(first, last)).sum()
            })
            .collect();
        parts.sort_unstable();
        let median = parts[(parts.len() - 1) / 2];
        Rate(f64::from(median) / Span(STEP.0 * PART_STEPS).as_secs_f64())
    }
}

/// The steps from the first that began at or after a time until now.
struct Period {
    first_step: u64,
    length: Span,
}

impl Period {
    fn new(now: Time, from: Time) -> Period {
        let last = now.0 / STEP.0;
        let oldest = (last + 1).saturating_sub(STEPS as u64);
        let first_step = from.0.div_ceil(STEP.0).clamp(oldest, last);
        Period {
            first_step,
            length: now.since(Time(first_step * STEP.0)),
        }
    }

    fn rate(&self, count: u32) -> Rate {
        Rate(f64::from(count) / self.length.max(STEP).as_secs_f64())
    }
}
