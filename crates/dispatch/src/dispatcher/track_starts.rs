//! Tracks whether endpoints are still the starts that the platform lists, and settles which version
//! began the streams of those that were in doubt.

use std::sync::Arc;

use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::binding::Outcome;
use crate::endpoint::Endpoint;
use crate::start;
use crate::start::Cause;
use crate::start::Change;
use crate::worker::Worker;

/// A change of what is known of an endpoint's start, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct StartUpdate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What changed.
    pub change: Change,
}

/// Adds a change of an endpoint's start, if there is one, to those that are to be logged.
fn record_change(updates: &mut Vec<StartUpdate>, worker: &Worker, change: Option<Change>) {
    let endpoint = worker.endpoint.clone();
    updates.extend(change.map(|change| StartUpdate { endpoint, change }));
}

impl Dispatcher {
    /// Takes what changed of the starts of endpoints since the last call.
    pub fn take_start_updates(&mut self) -> Vec<StartUpdate> {
        std::mem::take(&mut self.start_updates)
    }

    /// Doubts the start of an endpoint, since another one may answer from now on.
    pub(super) fn doubt_start(&mut self, now: Time, endpoint: u32, cause: Cause) {
        let workers = self.pools.values_mut().flat_map(|pool| &mut pool.workers);
        for worker in workers.filter(|worker| worker.number == endpoint) {
            let change = worker.start.doubt(now, cause);
            record_change(&mut self.start_updates, worker, change);
        }
    }

    /// Doubts the starts of all endpoints, which this process did not watch until now.
    pub(super) fn doubt_unwatched_starts(&mut self, now: Time) {
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let change = worker.start.doubt(now, Cause::Unwatched);
            record_change(&mut self.start_updates, worker, change);
        }
    }

    /// Doubts the starts of endpoints that this node or others don't reach. Confirms those that are
    /// still listed as they were once the platform would have listed another.
    pub(super) fn update_starts(&mut self, now: Time) {
        if self.platform_unreachable || self.members.is_platform_unreachable(now) {
            self.platform_lost_at = now;
        }
        let options = &self.options.worker;
        let is_watched = self.members.has_longer_running(now, start::LISTED_WITHIN);
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let cause = match () {
                () if worker.link.is_lost() => Some(Cause::LinkLost),
                () if worker.is_reported_unreachable(now, options) => Some(Cause::Reported),
                () => None,
            };
            let settled_at = worker.start.settled_at_opt(self.platform_lost_at);
            let change = match cause {
                Some(cause) => worker.start.doubt(now, cause),
                None if is_watched && worker.start.is_unwatched() => worker.start.confirm(now),
                None if settled_at.is_some_and(|at| now >= at) => worker.start.confirm(now),
                None => None,
            };
            record_change(&mut self.start_updates, worker, change);
        }
        self.settle_doubts(now);
    }

    /// Settles which version began streams whose endpoints' starts were in doubt.
    fn settle_doubts(&mut self, now: Time) {
        let Dispatcher {
            bindings, pools, ..
        } = self;
        let platform_lost_at = self.platform_lost_at;
        bindings.settle_doubts(now, |doubt, software, settled_at| {
            let is_settled = now >= start::settled_at(settled_at, platform_lost_at);
            let mut workers = pools.values().filter_map(|pool| {
                let index = pool.index.get(&doubt.endpoint)?;
                pool.workers.get(*index).filter(|worker| worker.listed)
            });
            let Some(worker) = workers.next() else {
                return match is_settled {
                    true => Outcome::Refuted,
                    false => Outcome::Open,
                };
            };
            let is_same_start = worker.endpoint.started_at == doubt.started_at;
            let is_same_software = worker.endpoint.software.as_ref() == Some(software);
            match (is_same_start, is_same_software) {
                (true, _) if !is_settled => Outcome::Open,
                (true, _) | (false, true) => Outcome::Confirmed,
                (false, false) => Outcome::Refuted,
            }
        });
    }
}
