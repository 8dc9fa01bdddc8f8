//! The choice among free endpoints by how long work takes there at present.
//!
//! An endpoint that states that it is slower than usual is passed over while others are free. Its
//! slowness never makes a request wait, so it is no reason to refuse one.

use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::place::Candidate;
use super::predict::Forecast;
use crate::stated_load::VALID_FOR;
use crate::worker::Worker;

/// The ratio of the present time of work to the usual one from which an endpoint counts as slow in
/// metrics.
const MIN_SLOW_RATIO: f64 = 1.2;

/// What the present slowness of an endpoint costs a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Penalty {
    /// The time that the request is expected to lose there, in microseconds.
    pub lost_us: f64,
    /// Whether the request would be late, or would delay streams, only because of the slowness.
    pub is_last_resort: bool,
}

/// The best of the endpoints that can run a request.
#[derive(Debug, Default)]
pub(super) struct Choice {
    /// The best by present speeds.
    present: Option<Candidate>,
    /// The best by usual speeds.
    usual: Option<Candidate>,
}

impl Choice {
    /// Considers another endpoint.
    pub fn add(&mut self, candidate: Candidate) {
        let present = self.present;
        if present.is_none_or(|best| candidate.is_preferred_to(&best)) {
            self.present = Some(candidate);
        }
        let usual = self.usual;
        if usual.is_none_or(|best| candidate.is_usually_preferred_to(&best)) {
            self.usual = Some(candidate);
        }
    }

    /// Returns the best endpoint by present speeds.
    pub fn into_best(self) -> Option<Candidate> {
        let usual = self.usual.map(|usual| usual.worker);
        self.present.map(|mut best| {
            best.avoids_slow = usual != Some(best.worker);
            best
        })
    }
}

impl Dispatcher {
    /// Returns how long work takes at an endpoint at present as a multiple of the usual time: 1 if
    /// the part does not apply to the service.
    pub(super) fn present_ratio(&self, now: Time, pool: &Pool, worker: &Worker) -> f64 {
        let part = self.options.policy.present_speed;
        match part.applies(pool.has_variable_capacity) {
            true => worker.slowness.present_ratio(now),
            false => 1.0,
        }
    }
}

impl Pool {
    /// Counts the endpoints that are slower at present than usual, by their own statements.
    pub(super) fn count_slow(&self, now: Time) -> usize {
        self.count_listed(|worker| worker.slowness.present_ratio(now) >= MIN_SLOW_RATIO)
    }
}

impl Forecast {
    /// Returns the forecast for an engine where work takes `ratio` times as long as usual.
    pub(super) fn slowed(self, ratio: f64) -> Forecast {
        Forecast {
            first_event_us: self.first_event_us * ratio,
            pause_us: self.pause_us * ratio,
        }
    }
}

/// Returns the time that work which usually takes `work_us` loses at an endpoint where it takes
/// `ratio` times as long at present, in microseconds. The slow period is expected to last for
/// [`VALID_FOR`] more.
pub(super) fn lost_us(work_us: f64, ratio: f64) -> f64 {
    let until_end = VALID_FOR.0 as f64 * (1.0 - 1.0 / ratio);
    (work_us * (ratio - 1.0)).min(until_end)
}
