//! Who may send a request to an endpoint with a bound that holds over all nodes: one that
//! is cold, or that names a rate limit.
//!
//! One node alone sends requests there, the owner of its slots, and gives others leave.
//! Where nodes are cut off from each other each side has an owner of its own; each then
//! spaces its requests by the part of the fleet that it hears, so that all sides together
//! keep to the bound. A node that has just started, or reaches no owner, sends nothing.

use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::job::Job;
use crate::member::Owner;
use crate::member::Scope;
use crate::quota::Reach;
use crate::worker::Worker;

/// Whether this node may send requests to the bounded endpoints of a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permit {
    authority: Scope_,
    reach: Reach,
}

/// To which of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope_ {
    /// To all that are its cell's, or to none.
    Service(bool),
    /// To those whose slots it owns one by one.
    PerEndpoint,
}

impl Dispatcher {
    /// Whether this node may send requests to bounded endpoints of a service now; none
    /// where there are none.
    pub(super) fn permit_opt(&self, now: Time, pool: &Pool) -> Option<Permit> {
        let is_bounded = |worker: &Worker| pool.is_cold(now, worker) || worker.is_rate_limited();
        pool.workers.iter().any(is_bounded).then(|| Permit {
            authority: self.authority(now, pool),
            reach: self.members.reach(now),
        })
    }

    fn authority(&self, now: Time, pool: &Pool) -> Scope_ {
        if self.accounts.is_meeting(now) {
            return Scope_::Service(false);
        }
        if pool.shared || self.members.cell().whole {
            return Scope_::PerEndpoint;
        }
        Scope_::Service(self.slot_owner(now, pool, None) == Owner::Own)
    }

    /// True unless an endpoint has a bound by which it must not be sent a request now.
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
        (!cold || may_while_cold()) && self.may_start_rate_limited(now, pool, worker, permit)
    }

    fn owns_cold_start(&self, now: Time, worker: &Worker, permit: Permit) -> bool {
        let key = u64::from(worker.number);
        match permit.authority {
            Scope_::Service(may) => may,
            Scope_::PerEndpoint => self.members.owner(now, Scope::Fleet, key) == Owner::Own,
        }
    }

    fn may_start_rate_limited(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        permit: Permit,
    ) -> bool {
        let Some(limit) = worker.rate_limit.limit_opt() else {
            return true;
        };
        let spacing = permit.reach.stretch(limit.to_interval());
        worker.rate_limit.may_start(now, spacing) && self.owns_rate_limit(now, pool, worker, permit)
    }

    /// True where this node keeps the rate limit of an endpoint.
    pub(super) fn owns_rate_limit(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        permit: Permit,
    ) -> bool {
        match permit.authority {
            Scope_::Service(may) => may,
            Scope_::PerEndpoint => self.slot_owner(now, pool, Some(worker.number)) == Owner::Own,
        }
    }

    /// True where all endpoints that could take a request name rate limits, in a fleet of
    /// one cell, so that requests wait for a slot at the owners of those.
    ///
    /// Without it an owner's own callers alone would use what its endpoints take, and those
    /// of a node that owns none would not be served at all.
    pub(super) fn is_fully_rate_limited(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        if !self.members.cell().whole {
            return false;
        }
        let options = &self.options.worker;
        let open = pool.workers.iter().filter(|worker| {
            worker.accepts_work(now, options)
                && !job.history.tried.contains(&worker.number)
                && self.may_run_at(job, worker)
        });
        let mut open = open.peekable();
        open.peek().is_some() && open.all(Worker::is_rate_limited)
    }
}
