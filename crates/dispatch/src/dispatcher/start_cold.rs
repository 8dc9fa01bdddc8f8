//! Who may send a request to an endpoint that is cold, and when.
//!
//! Its bound holds over the whole fleet, so one node alone starts requests there:
//! the owner of its slots. Where nodes are cut off from each other each side has an
//! owner of its own; each then spaces its starts by the part of the fleet that it
//! hears, so that all sides together keep to the bound. A node that has just
//! started, or reaches no owner, sends nothing to a cold endpoint.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::job;
use crate::lease;
use crate::member::Owner;
use crate::member::Scope;
use crate::worker::Worker;

/// Whether this node may start requests at the cold endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permit {
    /// At all that are its cell's, or at none.
    All(bool),
    /// At those whose slots it owns one by one.
    Each,
}

impl Pool {
    /// True while an endpoint is cold and there is a bound on what it bears then.
    pub(super) fn is_cold(&self, now: Time, worker: &Worker) -> bool {
        self.cold.is_some() && worker.cold.is_cold(now)
    }

    /// Slots of an endpoint that may be counted on. A cold one takes its requests
    /// one after the other.
    pub(super) fn slots_of(&self, now: Time, worker: &Worker) -> u32 {
        match self.is_cold(now, worker) {
            true => worker.endpoint.slots.min(1),
            false => worker.endpoint.slots,
        }
    }
}

impl Dispatcher {
    /// Whether this node may start requests at cold endpoints of a service now.
    pub(super) fn cold_permit(&self, now: Time, pool: &Pool) -> Permit {
        let any = pool.workers.iter().any(|worker| pool.is_cold(now, worker));
        if !any || self.accounts.is_meeting(now) {
            return Permit::All(false);
        }
        if pool.shared || self.members.cell().whole {
            return Permit::Each;
        }
        Permit::All(self.slot_owner(now, pool, None) == Owner::Own)
    }

    /// True unless an endpoint is cold and must not be sent a request now.
    pub(super) fn may_start(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        permit: Permit,
    ) -> bool {
        if !pool.is_cold(now, worker) {
            return true;
        }
        let owns = || {
            self.members
                .owner(now, Scope::Fleet, u64::from(worker.number))
        };
        worker.cold.may_start(now)
            && match permit {
                Permit::All(may) => may,
                Permit::Each => owns() == Owner::Own,
            }
    }

    /// The time between two starts of this node at a cold endpoint of a service:
    /// longer than what the endpoint bears by the part of the fleet that is not
    /// heard. Nothing where the service has no bound.
    pub(super) fn cold_interval_opt(&self, now: Time, pool: &Pool) -> Option<Span> {
        let interval = pool.cold?.interval;
        let reach = self.members.reach(now);
        let heard = reach.nodes.saturating_sub(reach.silent).max(1);
        Some(Span(interval.0 * reach.nodes as u64 / heard as u64))
    }

    /// An endpoint said in an answer that it is cold for so long.
    pub fn note_cold(&mut self, now: Time, id: job::Id, cold_for: Span) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&run.job.target) else {
            return;
        };
        pool.workers[run.worker].cold.extend(now, cold_for);
        let lease = run.lease;
        if let Some(lease) = lease {
            self.report(lease.owner, lease.number, lease::Event::Cold { cold_for });
        }
    }
}
