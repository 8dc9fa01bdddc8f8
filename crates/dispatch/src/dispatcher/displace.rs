//! Places displaced requests, which may not run in the data centre of the node that received them:
//! it is evacuated, the request is restricted to other regions, or all endpoints there are leaving.
//! They wait in the queues of other cells.
//!
//! Spare slots are not enough for them. Those are only lent while nothing waits, so callers of an
//! evacuated data centre would be served after all others.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::endpoint;
use crate::endpoint::List;
use crate::job;
use crate::job::Job;
use crate::member::Owner;
use crate::worker::Worker;

impl Dispatcher {
    /// Marks the endpoints of evacuated data centres. When an evacuation ends, the endpoints are
    /// assumed to be cold because operators evacuate what they restart.
    pub(super) fn mark_evacuated(&mut self, now: Time, list: &List) {
        for pool in self.pools.values_mut() {
            let cold_for = pool.cold.map(|cold| cold.duration).unwrap_or_default();
            for worker in &mut pool.workers {
                let evacuated = list.is_evacuated(&worker.endpoint.data_centre);
                if worker.evacuated && !evacuated {
                    worker.cold.extend(now, cold_for);
                }
                worker.evacuated = evacuated;
            }
        }
    }

    /// Whether the cell of this node has no slots for a request: the request may not run in this
    /// data centre, or all endpoints of the cell are leaving. Never the case for a shared service
    /// or in a fleet of one cell.
    pub(super) fn is_displaced(&self, pool: &Pool, job: &Job) -> bool {
        if self.members.cell().covers_fleet || pool.shared {
            return false;
        }
        let own = &self.options.data_centre;
        self.list.is_evacuated(own)
            || !self.options.regions.allows(&job.constraint, own)
            || pool.is_cell_leaving()
            || self.is_bound_elsewhere(pool, job)
    }

    /// Whether a request is bound to a version that no open endpoint of this cell runs.
    pub(super) fn is_bound_elsewhere(&self, pool: &Pool, job: &Job) -> bool {
        let mut own = pool.workers.iter().filter(|worker| worker.own_cell);
        job.binding.is_bound()
            && !own.any(|worker| worker.is_open() && self.may_run_at(job, worker))
    }

    /// Whether an endpoint is in a region in which a request may run, and of a version that may run
    /// it.
    pub(super) fn may_run_at(&self, job: &Job, worker: &Worker) -> bool {
        let endpoint = &worker.endpoint;
        job.binding.allows(worker.software_opt())
            && self
                .options
                .regions
                .allows(&job.constraint, &endpoint.data_centre)
    }

    /// Whether another node is in a region in which a request may run, and heeds its binding.
    pub(super) fn may_run_on(&self, job: &Job, node: SocketAddrV4) -> bool {
        if job.binding.is_bound() && !self.members.supports_software(node) {
            return false;
        }
        let centre = self.members.data_centre_opt(node);
        let allows = |centre| self.options.regions.allows_number(&job.constraint, centre);
        job.constraint.is_unrestricted() || centre.is_some_and(allows)
    }

    /// Moves displaced requests of this node's callers to the queues of other cells.
    pub(super) fn resubmit_displaced(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        let displaced = pool.queue.iter().filter(|(_, job)| {
            job.origin.is_none()
                && self.is_displaced(pool, job)
                && !self.fallback_owners(now, pool, job).is_empty()
        });
        let displaced: Vec<job::Id> = displaced.map(|(id, _)| id).collect();
        for id in displaced {
            self.cancel_open_request(id);
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                continue;
            };
            self.submit(now, id, job);
        }
    }

    /// Chooses the owner in another cell in whose queue a displaced request waits. The choice
    /// varies with `turn` and is weighted by the slots of each cell.
    pub(super) fn fallback_owner(&self, now: Time, pool: &Pool, job: &Job, turn: u64) -> Owner {
        let owners = self.fallback_owners(now, pool, job);
        let total_slots: u64 = owners.iter().map(|(_, slots)| u64::from(*slots)).sum();
        let drawn = hash::chain(self.options.incarnation, &turn.to_le_bytes());
        let Some(mut position) = drawn.checked_rem(total_slots) else {
            return Owner::Unreachable;
        };
        for (owner, slots) in owners {
            let slots = u64::from(slots);
            if position < slots {
                return Owner::Remote(owner);
            }
            position -= slots;
        }
        Owner::Unreachable
    }

    /// Returns the slot owners in data centres that are not evacuated and in which a request may
    /// run, with the number of slots that each owns.
    pub(super) fn fallback_owners(
        &self,
        now: Time,
        pool: &Pool,
        job: &Job,
    ) -> Vec<(SocketAddrV4, u32)> {
        let owners = self
            .members
            .owners_in_other_cells(now, u64::from(pool.number), 0);
        let cells = self.members.other_cell_counts();
        let centres = owners.into_iter().filter_map(|owner| {
            let centre = self.members.data_centre_opt(owner)?;
            let allowed = self.options.regions.allows_number(&job.constraint, centre);
            let heeds = !job.binding.is_bound() || self.members.supports_software(owner);
            (allowed && heeds).then_some((owner, centre))
        });
        let weighted_owners = centres.map(|(owner, centre)| {
            let workers = pool.workers.iter();
            let in_centre = workers.filter(|worker| {
                worker.is_open()
                    && job.binding.allows(worker.software_opt())
                    && endpoint::number_of(worker.endpoint.data_centre.as_str()) == centre
            });
            let slots: u32 = in_centre.map(|worker| worker.endpoint.slots).sum();
            let cells = cells.get(&centre).copied().unwrap_or(1).max(1);
            (owner, slots / cells as u32)
        });
        weighted_owners.filter(|(_, slots)| *slots > 0).collect()
    }
}
