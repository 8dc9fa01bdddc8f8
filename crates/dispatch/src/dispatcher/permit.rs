//! Decides which node may send requests to an endpoint with a fleet-wide limit: one that is cold, or
//! that stated a rate limit or how few rejections it tolerates.
//!
//! Only the node that owns the endpoint's slots sends requests there and permits others to do so.
//! In a network partition each side has its own owner. Each owner then scales its request interval
//! by the share of the fleet that it can reach, so that all sides together stay within the limit. A
//! node that has just started, or that reaches no owner, sends nothing.

use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::job::Job;
use crate::member::Owner;
use crate::member::Scope;
use crate::quota::Reach;
use crate::worker::Worker;

/// Whether this node may send requests to the limited endpoints of a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permit {
    authority: Authority,
    reach: Reach,
}

/// The endpoints that a permit covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Authority {
    /// All limited endpoints of its cell, or none.
    Service(bool),
    /// The endpoints whose slots this node owns.
    PerEndpoint,
}

impl Dispatcher {
    /// Returns the permit of this node for the limited endpoints of a service, or `None` if the
    /// service has no limited endpoint.
    pub(super) fn permit_opt(&self, now: Time, pool: &Pool) -> Option<Permit> {
        let is_bounded = |worker: &Worker| pool.is_cold(now, worker) || worker.needs_owner();
        pool.workers.iter().any(is_bounded).then(|| Permit {
            authority: self.authority(now, pool),
            reach: self.members.reach(now),
        })
    }

    fn authority(&self, now: Time, pool: &Pool) -> Authority {
        if self.accounts.is_discovering(now) {
            return Authority::Service(false);
        }
        if pool.shared || self.members.cell().covers_fleet {
            return Authority::PerEndpoint;
        }
        Authority::Service(self.slot_owner(now, pool, None) == Owner::Local)
    }

    /// Whether the limits of an endpoint allow a request to be sent there now.
    pub(super) fn may_start(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        permit: Option<Permit>,
    ) -> bool {
        let Some(permit) = permit else {
            return true;
        };
        let cold = pool.is_cold(now, worker);
        let may_while_cold =
            || worker.cold.may_start(now) && self.owns_cold_start(now, worker, permit);
        (!cold || may_while_cold()) && self.may_start_owned(now, pool, worker, permit)
    }

    /// The number of requests that an endpoint may have in progress when one more is sent there, or
    /// `usual` if it can reject any number of requests.
    pub(super) fn capacity(
        &self,
        now: Time,
        worker: &Worker,
        permit: Option<Permit>,
        usual: u32,
    ) -> u32 {
        let Some(permit) = permit.filter(|_| worker.is_brittle()) else {
            return usual;
        };
        let slots = worker.tolerance.capacity(now, worker.endpoint.slots);
        let scaled = permit.reach.scale_slots(worker.usable_slots());
        slots.min(scaled).min(usual)
    }

    fn owns_cold_start(&self, now: Time, worker: &Worker, permit: Permit) -> bool {
        let key = u64::from(worker.number);
        match permit.authority {
            Authority::Service(may) => may,
            Authority::PerEndpoint => self.members.owner(now, Scope::Fleet, key) == Owner::Local,
        }
    }

    fn may_start_owned(&self, now: Time, pool: &Pool, worker: &Worker, permit: Permit) -> bool {
        if !worker.needs_owner() {
            return true;
        }
        let is_due = worker.rate_limit.limit_opt().is_none_or(|limit| {
            let spacing = permit.reach.scale_interval(limit.to_interval());
            worker.rate_limit.may_start(now, spacing)
        });
        is_due && self.owns_slots_of(now, pool, worker, permit)
    }

    /// Whether this node alone sends requests to an endpoint that needs an owner.
    pub(super) fn owns_slots_of(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        permit: Permit,
    ) -> bool {
        match permit.authority {
            Authority::Service(may) => may,
            Authority::PerEndpoint => {
                self.slot_owner(now, pool, Some(worker.number)) == Owner::Local
            }
        }
    }

    /// Whether the fleet has one cell and every endpoint that can take the request needs an owner. If
    /// so, the request waits for a slot at the owners of those endpoints.
    ///
    /// Without this rule the callers of an owner would use up its endpoints, and callers of a node
    /// that owns none would not be served at all.
    pub(super) fn is_fully_owned(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        if !self.members.cell().covers_fleet {
            return false;
        }
        let options = &self.options.worker;
        let open = pool.workers.iter().filter(|worker| {
            worker.accepts_work(now, options)
                && !job.history.tried.contains(&worker.number)
                && self.may_run_at(job, worker)
        });
        let mut open = open.peekable();
        open.peek().is_some() && open.all(Worker::needs_owner)
    }
}
