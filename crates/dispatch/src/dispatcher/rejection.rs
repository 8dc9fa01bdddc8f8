//! Endpoints that may turn a request away, as they did lately: when one is chosen.
//!
//! Others that have room go before them, but for a request now and then which shows
//! whether they take requests again. That is one that may be sent elsewhere if they do not.

use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::job::Job;
use crate::worker::Worker;

/// Which endpoints are chosen first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Preference {
    /// It is time to see whether the endpoint takes requests again.
    Probe,
    /// Nothing speaks against it.
    Normal,
    /// It may turn the request away.
    LastResort,
}

/// What it would mean for a request to be turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Risk {
    /// It is sent to another endpoint.
    Retried,
    /// It is refused, and may wait for a better endpoint yet.
    RefusedEarly,
    /// It is refused, and has waited long enough.
    Refused,
}

/// The part of its objective for which a request that cannot be sent again waits for an
/// endpoint that nothing speaks against.
const OBJECTIVE_DIVISOR: u64 = 4;

impl Dispatcher {
    /// What it would mean for a request to be turned away now.
    pub(super) fn risk(&self, now: Time, pool: &Pool, job: &Job) -> Risk {
        if !pool.workers.iter().any(|worker| worker.is_unconfirmed(now)) {
            return Risk::Retried;
        }
        // Each trial under way may need a repeat as well.
        let repeats = self.budget.left(now, &job.target, self.budget_nodes(now));
        let probing = |worker: &&Worker| worker.rest.is_on_trial();
        let probes = pool.workers.iter().filter(probing).count();
        if job.has_spare_attempt() && repeats > probes as u64 {
            return Risk::Retried;
        }
        match now.since(job.arrived).0 * OBJECTIVE_DIVISOR >= job.objective.0 {
            true => Risk::Refused,
            false => Risk::RefusedEarly,
        }
    }
}

impl Risk {
    /// When an endpoint is chosen; none where it is not.
    pub(super) fn preference_opt(
        self,
        now: Time,
        job: &Job,
        worker: &Worker,
    ) -> Option<Preference> {
        if !worker.is_unconfirmed(now) {
            return Some(Preference::Normal);
        }
        if job.origin.is_some() {
            return Some(Preference::LastResort);
        }
        if worker.rest.is_on_trial() {
            return None;
        }
        match self {
            Risk::RefusedEarly => None,
            Risk::Retried if worker.rest.is_trial_due(now) => Some(Preference::Probe),
            Risk::Retried | Risk::Refused => Some(Preference::LastResort),
        }
    }
}
