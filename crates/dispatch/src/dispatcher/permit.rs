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
    right: Right,
    reach: Reach,
}

/// To which of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Right {
    /// To all that are its cell's, or to none.
    All(bool),
    /// To those whose slots it owns one by one.
    Each,
}

impl Dispatcher {
    /// Whether this node may send requests to bounded endpoints of a service now; none
    /// where there are none.
    pub(super) fn permit_opt(&self, now: Time, pool: &Pool) -> Option<Permit> {
        let is_bounded = |worker: &Worker| pool.is_cold(now, worker) || worker.is_rate_limited();
        pool.workers.iter().any(is_bounded).then(|| Permit {
            right: self.right(now, pool),
            reach: self.members.reach(now),
        })
    }

    fn right(&self, now: Time, pool: &Pool) -> Right {
        if self.accounts.is_meeting(now) {
            return Right::All(false);
        }
        if pool.shared || self.members.cell().covers_fleet {
            return Right::Each;
        }
        Right::All(self.slot_owner(now, pool, None) == Owner::Local)
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
        let may_while_cold = || worker.cold.may_start(now) && self.owns_cold(now, worker, permit);
        (!cold || may_while_cold()) && self.may_start_limited(now, pool, worker, permit)
    }

    fn owns_cold(&self, now: Time, worker: &Worker, permit: Permit) -> bool {
        let key = u64::from(worker.number);
        match permit.right {
            Right::All(may) => may,
            Right::Each => self.members.owner(now, Scope::Fleet, key) == Owner::Local,
        }
    }

    fn may_start_limited(&self, now: Time, pool: &Pool, worker: &Worker, permit: Permit) -> bool {
        let Some(limit) = worker.rate_limit.limit_opt() else {
            return true;
        };
        let spacing = permit.reach.stretch(limit.to_interval());
        worker.rate_limit.may_start(now, spacing) && self.keeps_limit(now, pool, worker, permit)
    }

    /// True where this node keeps the rate limit of an endpoint.
    pub(super) fn keeps_limit(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        permit: Permit,
    ) -> bool {
        match permit.right {
            Right::All(may) => may,
            Right::Each => self.slot_owner(now, pool, Some(worker.number)) == Owner::Local,
        }
    }

    /// True where all endpoints that could take a request name rate limits, in a fleet of
    /// one cell, so that requests wait for a slot at the owners of those.
    ///
    /// Without it an owner's own callers alone would use what its endpoints take, and those
    /// of a node that owns none would not be served at all.
    pub(super) fn is_limited_throughout(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        if !self.members.cell().covers_fleet {
            return false;
        }
        let options = &self.options.worker;
        let open = pool.workers.iter().filter(|worker| {
            worker.takes_work(now, options)
                && !job.history.tried.contains(&worker.number)
                && self.may_run_at(job, worker)
        });
        let mut open = open.peekable();
        open.peek().is_some() && open.all(Worker::is_rate_limited)
    }
}
