//! Exchanges reports with the other owners of a service's slots on how long requests wait.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::member::Owner;
use crate::message::Message;
use crate::queue_report;
use crate::queue_report::Report;
use crate::queue_report::Source;
use crate::queue_report::Wait;
use crate::worker::Worker;

impl Dispatcher {
    /// Handles the report of another owner of the same service.
    pub fn receive_queue_report(&mut self, now: Time, from: SocketAddrV4, report: Report) {
        if self.members.incarnation_opt(now, from).is_none() {
            return;
        }
        let mut pools = self.pools.values();
        let pool = pools.find(|pool| pool.number == report.service);
        let applies = pool.is_some_and(|pool| {
            let is_known = |number| pool.worker_opt(number).is_some();
            self.applies_redirects(pool) && report.endpoint.is_none_or(is_known)
        });
        let mut pools = self.pools.values_mut();
        let pool = pools.find(|pool| pool.number == report.service && applies);
        if let Some(pool) = pool {
            pool.redirection.reports.record(now, from, report);
        }
    }

    /// Reports to the other owners of a service's slots while requests wait, and once when none
    /// wait any more. Owners that recently reported waiting requests are also told that none wait
    /// here, as otherwise they could not redirect to owners that are never overloaded.
    pub(super) fn report_queue(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        let state = &pool.redirection;
        let is_due = now.since(state.reported) >= queue_report::INTERVAL;
        if !is_due || self.leaving || !self.applies_redirects(pool) {
            return;
        }
        let is_waiting = !pool.queue.is_empty();
        let to_all = is_waiting || state.reported_waiting;
        if !to_all && state.reports.fresh(now).next().is_none() {
            return;
        }
        let others = self.other_owners(now, pool).into_iter();
        let others: BTreeSet<SocketAddrV4> = others
            .map(|source| source.owner)
            .filter(|owner| *owner != self.options.own)
            .filter(|owner| to_all || state.reports.has_waiting_at(now, *owner))
            .collect();
        if others.is_empty() {
            return;
        }
        for report in self.queue_reports(now, pool) {
            for owner in &others {
                let message = Message::QueueReport(report.clone());
                self.outbox.push((*owner, message));
            }
        }
        if let Some(pool) = self.pools.get_mut(target) {
            pool.redirection.reported = now;
            pool.redirection.reported_waiting = is_waiting;
        }
    }

    /// Returns a report for the slots of this node's cell if it owns them, or for each endpoint of
    /// a shared service that it owns. Nothing is reported of slots that can't be used.
    fn queue_reports(&self, now: Time, pool: &Pool) -> Vec<Report> {
        let ranks = pool.queue.counts().map(|(rank, _)| rank);
        let waits = ranks.map(|rank| Wait {
            rank,
            wait: self.predicted_wait(now, pool, rank),
        });
        let waits: Vec<Wait> = waits.collect();
        let report = |endpoint, free_slots: u32| Report {
            service: pool.number,
            endpoint,
            free_slots: u16::try_from(free_slots).unwrap_or(u16::MAX),
            waits: waits.clone(),
        };
        let owns = |endpoint| self.slot_owner(now, pool, endpoint) == Owner::Local;
        if !pool.shared {
            let has_slots = pool.usable_slots(now, &self.options.worker) > 0;
            let of_cell = (has_slots && owns(None)).then(|| self.free_slots(now, pool));
            return of_cell.map(|free| report(None, free)).into_iter().collect();
        }
        let usable = pool.workers.iter().filter(|worker| {
            worker.listed
                && worker.is_lendable(now, &self.options.worker)
                && owns(Some(worker.number))
        });
        let free = |worker: &Worker| pool.slots_of(now, worker).saturating_sub(worker.busy());
        usable
            .map(|worker| report(Some(worker.number), free(worker)))
            .collect()
    }

    /// Returns the other owners of a service's slots that support shared admission.
    pub(super) fn other_owners(&self, now: Time, pool: &Pool) -> Vec<Source> {
        let owners: Vec<Source> = match pool.shared {
            false => {
                let key = u64::from(pool.number);
                let owners = self.members.owners_in_other_cells(now, key, 0).into_iter();
                let endpoint = None;
                owners.map(|owner| Source { owner, endpoint }).collect()
            }
            true => {
                let listed = pool.workers.iter().filter(|worker| worker.listed);
                let owners = listed.filter_map(|worker| {
                    let endpoint = Some(worker.number);
                    match self.slot_owner(now, pool, endpoint) {
                        Owner::Remote(owner) => Some(Source { owner, endpoint }),
                        Owner::Local | Owner::Unreachable => None,
                    }
                });
                owners.collect()
            }
        };
        let supports = |owner| self.members.supports_shared_admission(owner);
        let owners = owners.into_iter();
        owners.filter(|source| supports(source.owner)).collect()
    }
}
