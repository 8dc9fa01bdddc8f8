//! Ranks endpoints that recently rejected requests and may do so again.
//!
//! Other endpoints with capacity are preferred. From time to time a request that could be sent
//! elsewhere after a rejection probes whether the endpoint accepts requests again.

use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::job::Job;
use crate::worker::Worker;

/// The order in which endpoints are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Preference {
    /// A request is due that probes whether the endpoint accepts requests again.
    Probe,
    /// The endpoint is expected to accept the request.
    Normal,
    /// The endpoint may reject the request.
    LastResort,
}

/// What happens to a request if the endpoint rejects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Risk {
    /// It is sent to another endpoint.
    Retried,
    /// It is refused, although it could still wait for a better endpoint.
    RefusedEarly,
    /// It is refused after waiting long enough.
    Refused,
}

/// The part of its objective, as a divisor, for which a request that cannot be sent again waits for
/// an endpoint that is expected to accept it.
const OBJECTIVE_DIVISOR: u64 = 4;

impl Dispatcher {
    /// Determines what would happen to a request that is rejected now.
    pub(super) fn risk(&self, now: Time, pool: &Pool, job: &Job) -> Risk {
        if !pool.workers.iter().any(|worker| worker.is_unconfirmed(now)) {
            return Risk::Retried;
        }
        // Each probe in flight may need a retry too.
        let repeats = self
            .budget
            .remaining(now, &job.target, self.budget_nodes(now));
        let probing = |worker: &&Worker| worker.rest.is_probing();
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
    /// Returns the rank of an endpoint for a request, or `None` if it must not be chosen.
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
        if worker.rest.is_probing() {
            return None;
        }
        match self {
            Risk::RefusedEarly => None,
            Risk::Retried if worker.rest.is_probe_due(now) => Some(Preference::Probe),
            Risk::Retried | Risk::Refused => Some(Preference::LastResort),
        }
    }
}
