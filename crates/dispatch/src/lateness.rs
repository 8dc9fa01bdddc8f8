//! How late this node is with its own work, and how many new connections it accepts then.
//!
//! A node whose processor is spent gets to everything late: what it was sent, what it decides and
//! what it measures of others. Its timers tell: they fire late for as long as more work is ready than
//! it gets done. New connections are the one kind of work that it can decline at no loss, before a
//! request is read; [`Limit`] keeps them to what it gets done in time.

use std::collections::VecDeque;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The time by which timers fire late from which on a node counts as late. A request takes several
/// turns of the node's one thread, each of which is as late.
pub const THRESHOLD: Span = Span::from_millis(20);

/// The number of successive timers that have to be late. A single one may follow a long piece of
/// work or a pause of the process.
const MIN_LATE_SAMPLES: usize = 3;

/// How long a node that is on time again still distrusts its measurements, parts of which were made
/// before.
const DISTRUST_PERIOD: Span = Span::from_millis(500);

/// Measures by how much this node's timers fire late.
#[derive(Debug, Default)]
pub struct Meter {
    /// The delays of the last timers.
    samples: VecDeque<Span>,
    /// When the node was last late, if ever.
    late_at: Option<Time>,
}

impl Meter {
    /// Records by how much a timer fired late.
    pub fn record(&mut self, now: Time, delay: Span) {
        self.samples.push_back(delay);
        if self.samples.len() > MIN_LATE_SAMPLES {
            self.samples.pop_front();
        }
        if self.is_late() {
            self.late_at = Some(now);
        }
    }

    /// Has what the node measured up to now count as late, after its process stood still.
    pub fn distrust(&mut self, now: Time) {
        self.late_at = Some(now);
    }

    /// The shortest delay of the last timers: work that is there all the time delays them all.
    pub fn delay(&self) -> Span {
        let is_complete = self.samples.len() >= MIN_LATE_SAMPLES;
        let shortest = self.samples.iter().min().filter(|_| is_complete);
        shortest.copied().unwrap_or(Span::ZERO)
    }

    /// Whether the node is late.
    pub fn is_late(&self) -> bool {
        self.delay() >= THRESHOLD
    }

    /// Whether what the node measures of others may show its own lateness.
    pub fn is_distrusted(&self, now: Time) -> bool {
        self.late_at
            .is_some_and(|at| now.since(at) < DISTRUST_PERIOD)
    }
}

/// The interval at which the limit is adjusted.
const ADJUST_INTERVAL: Span = Span::from_millis(100);

/// The factors by which the limit falls while the node is late. Between them it falls by as much as
/// the node is late.
const MIN_DECREASE: f64 = 0.3;
const MAX_DECREASE: f64 = 0.8;

/// The factor by which the limit grows in each interval in which the node is on time.
const INCREASE: f64 = 1.1;

/// The lowest limit in connections a second, so that it can grow again.
const MIN_RATE: f64 = 10.0;

/// The time for which a burst of connections is accepted at once.
const BURST: Span = Span::from_millis(50);

/// The time without a declined connection after which there is no limit any more.
const RELEASE_AFTER: Span = Span::from_secs(2);

/// A limit on new connections, which follows what this node gets done in time: it falls by a factor
/// while the node is late, and grows slowly while it is not.
#[derive(Debug, Default)]
pub struct Limit {
    /// The connections accepted a second; `None` without a limit.
    rate: Option<f64>,
    /// The connections that may be accepted now.
    credit: f64,
    credited_at: Time,
    /// The connections accepted since the limit was adjusted.
    accepted: u32,
    adjusted_at: Time,
    declined_at: Time,
    /// The connections declined since the start.
    declined: u64,
}

impl Limit {
    /// Adjusts the limit to the node's lateness. It is lifted if `may_decline` is false.
    pub fn adjust(&mut self, now: Time, delay: Span, may_decline: bool) {
        let elapsed = now.since(self.adjusted_at);
        if elapsed < ADJUST_INTERVAL {
            return;
        }
        let measured = f64::from(self.accepted) / elapsed.as_secs_f64();
        (self.accepted, self.adjusted_at) = (0, now);
        if !may_decline {
            self.rate = None;
            return;
        }
        if delay >= THRESHOLD {
            let decrease = THRESHOLD.0 as f64 / delay.0 as f64;
            let before = self.rate.map_or(measured, |rate| rate.min(measured));
            if self.rate.is_none() {
                self.start(now);
            }
            self.rate = Some((before * decrease.clamp(MIN_DECREASE, MAX_DECREASE)).max(MIN_RATE));
        } else if now.since(self.declined_at) >= RELEASE_AFTER {
            self.rate = None;
        } else {
            self.rate = self.rate.map(|rate| rate * INCREASE);
        }
    }

    fn start(&mut self, now: Time) {
        self.credit = 0.0;
        self.credited_at = now;
        self.declined_at = now;
    }

    /// Whether another new connection is accepted, which is then counted.
    pub fn try_accept(&mut self, now: Time) -> bool {
        if let Some(rate) = self.rate {
            let earned = now.since(self.credited_at).as_secs_f64() * rate;
            let most = (BURST.as_secs_f64() * rate).max(1.0);
            self.credit = (self.credit + earned).min(most);
            self.credited_at = now;
            if self.credit < 1.0 {
                self.declined_at = now;
                self.declined += 1;
                return false;
            }
            self.credit -= 1.0;
        }
        self.accepted += 1;
        true
    }

    /// Whether there is a limit now.
    pub fn is_in_force(&self) -> bool {
        self.rate.is_some()
    }

    /// The connections declined since the start.
    pub fn declined(&self) -> u64 {
        self.declined
    }
}
