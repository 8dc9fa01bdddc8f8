//! Data centres that an operator evacuated: their endpoints are sent nothing, and
//! requests that come to their nodes wait in the queues of other cells.
//!
//! Spare slots alone would not do: those are given only where nothing waits, so
//! that callers of an evacuated data centre came after all others.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::endpoint;
use crate::endpoint::List;
use crate::job;
use crate::member::Owner;

impl Dispatcher {
    /// Marks the endpoints of evacuated data centres. Those of one that is taken
    /// back are taken to be cold, since operators evacuate what they restart.
    pub(super) fn note_evacuated(&mut self, now: Time, list: &List) {
        for pool in self.pools.values_mut() {
            let cold_for = pool.cold.map(|cold| cold.lasts).unwrap_or_default();
            for worker in &mut pool.workers {
                let evacuated = list.is_evacuated(&worker.endpoint.data_centre);
                if worker.evacuated && !evacuated {
                    worker.cold.extend(now, cold_for);
                }
                worker.evacuated = evacuated;
            }
        }
    }

    /// True where this node's data centre is evacuated, so that its cell has no
    /// slots of its own of a service that is not shared.
    pub(super) fn is_displaced(&self, pool: &Pool) -> bool {
        let own = &self.options.data_centre;
        !self.members.cell().whole && !pool.shared && self.list.is_evacuated(own)
    }

    /// Puts the requests of this node's callers that wait for slots of an evacuated
    /// data centre in the queues of other cells.
    pub(super) fn resubmit_displaced(&mut self, now: Time, target: &id::Target) {
        let pool = self.pools.get(target);
        let Some(pool) = pool.filter(|pool| self.is_displaced(pool)) else {
            return;
        };
        if self.host_owners(now, pool).is_empty() {
            return;
        }
        let own = pool.queue.iter().filter(|(_, job)| job.origin.is_none());
        let own: Vec<job::Id> = own.map(|(id, _)| id).collect();
        for id in own {
            self.withdraw(id);
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                continue;
            };
            self.submit(now, id, job);
        }
    }

    /// The owner of slots in another cell in whose queue a request of a displaced
    /// cell waits: another for each `turn`, more often the one whose cell has more
    /// slots.
    pub(super) fn host_owner(&self, now: Time, pool: &Pool, turn: u64) -> Owner {
        let hosts = self.host_owners(now, pool);
        let all: u64 = hosts.iter().map(|(_, slots)| u64::from(*slots)).sum();
        let drawn = hash::chain(self.options.incarnation, &turn.to_le_bytes());
        let Some(mut at) = drawn.checked_rem(all) else {
            return Owner::Unheard;
        };
        for (owner, slots) in hosts {
            let slots = u64::from(slots);
            if at < slots {
                return Owner::Other(owner);
            }
            at -= slots;
        }
        Owner::Unheard
    }

    /// Owners of slots in cells of data centres that are not evacuated, with the
    /// slots that each has.
    pub(super) fn host_owners(&self, now: Time, pool: &Pool) -> Vec<(SocketAddrV4, u32)> {
        let owners = self.members.other_owners(now, u64::from(pool.number), 0);
        let cells = self.members.cells_by_data_centre();
        let centres = owners.into_iter().filter_map(|owner| {
            let centre = self.members.data_centre_opt(owner)?;
            Some((owner, centre))
        });
        let hosts = centres.map(|(owner, centre)| {
            let workers = pool.workers.iter();
            let near = workers.filter(|worker| {
                worker.is_open()
                    && endpoint::number_of(worker.endpoint.data_centre.as_str()) == centre
            });
            let slots: u32 = near.map(|worker| worker.endpoint.slots).sum();
            let cells = cells.get(&centre).copied().unwrap_or(1).max(1);
            (owner, slots / cells as u32)
        });
        hosts.filter(|(_, slots)| *slots > 0).collect()
    }
}
