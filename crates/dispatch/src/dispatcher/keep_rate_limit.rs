//! Rate limits that endpoints state in their answers: recording them and announcing them
//! to other nodes.

use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::job;
use crate::lease;
use crate::lease::Lease;
use crate::notice::Change;
use crate::rate_limit::Announcement;
use crate::rate_limit::Limit;
use crate::worker::Worker;

impl Dispatcher {
    /// Records the limit stated in the head of an answer, or that it states none. Returns
    /// the change, if there is one.
    pub(super) fn record_rate_limit(
        &mut self,
        now: Time,
        id: job::Id,
        limit: Option<Limit>,
    ) -> Option<Change> {
        let (run, worker) = self.run_and_worker_mut(id)?;
        let lease = run.lease;
        let before = worker.rate_limit.limit_opt();
        let changed = worker.rate_limit.record_answer(now, run.started, limit);
        if let Some(lease) = lease.filter(|_| changed || limit.is_some()) {
            self.report_rate_limit(lease, limit);
        }
        if !changed {
            return None;
        }
        self.announce_limit_change(before, limit);
        Some(Change::RateLimit {
            before,
            after: limit,
        })
    }

    /// Reports an endpoint's limit to the owner of the slot, which may be in another cell
    /// and would otherwise learn of it seconds later.
    fn report_rate_limit(&mut self, lease: Lease, limit: Option<Limit>) {
        if self.members.supports_rate_limits(lease.owner) {
            let event = lease::Event::RateLimit { limit };
            self.send_lease_report(lease.owner, lease.number, event);
        }
    }

    /// Schedules the announcement of a change: to all nodes if a limit begins or ends, and
    /// only to the nodes of the cell, which send requests there, if its value changes.
    fn announce_limit_change(&mut self, before: Option<Limit>, after: Option<Limit>) {
        self.urgent = true;
        self.has_news |= before.is_none() || after.is_none();
    }

    /// Stores limits announced by another node until its load is processed.
    pub(super) fn receive_rate_limits(&mut self, now: Time, announcements: &[Announcement]) {
        for announcement in announcements {
            let report = announcement.to_report(now);
            let known = self
                .received_rate_limits
                .entry(announcement.endpoint)
                .or_insert(report);
            if known.at < report.at {
                *known = report;
            }
        }
    }

    /// Applies the limits announced by other nodes.
    pub(super) fn apply_received_rate_limits(&mut self, now: Time) {
        if self.received_rate_limits.is_empty() {
            return;
        }
        let received = std::mem::take(&mut self.received_rate_limits);
        let mut changes = Vec::new();
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let Some(report) = received.get(&worker.number) else {
                continue;
            };
            let before = worker.rate_limit.limit_opt();
            if worker.rate_limit.record_report(now, *report) {
                changes.push((before, report.value));
            }
        }
        for (before, after) in changes {
            self.announce_limit_change(before, after);
        }
    }

    /// Returns the rate limits to announce, ordered by endpoint.
    pub(super) fn rate_limits_to_announce(&self, now: Time) -> Vec<Announcement> {
        let workers = self.pools.values().flat_map(|pool| &pool.workers);
        let listed = workers.filter(|worker| worker.listed);
        let announcements =
            listed.filter_map(|worker| worker.rate_limit.to_announcement_opt(now, worker.number));
        let mut announcements: Vec<Announcement> = announcements.collect();
        announcements.sort_by_key(|announcement| announcement.endpoint);
        announcements
    }

    /// Restarts the interval before this node's first request at each endpoint whose
    /// limit another node enforces.
    pub(super) fn restart_limit_intervals(&mut self, now: Time) {
        let targets: Vec<id::Target> = self.pools.keys().cloned().collect();
        for target in targets {
            let enforced_elsewhere = self.limits_enforced_elsewhere(now, &target);
            let Some(pool) = self.pools.get_mut(&target) else {
                continue;
            };
            for index in enforced_elsewhere {
                pool.workers[index].rate_limit.restart_interval(now);
            }
        }
    }

    /// Returns the indices of a service's endpoints whose rate limits other nodes
    /// enforce.
    fn limits_enforced_elsewhere(&self, now: Time, target: &id::Target) -> Vec<usize> {
        let pool = self.pools.get(target);
        let permit = pool.and_then(|pool| self.permit_opt(now, pool));
        let Some((pool, permit)) = pool.zip(permit) else {
            return Vec::new();
        };
        let limited = pool.workers.iter().enumerate();
        let limited = limited.filter(|(_, worker)| worker.is_rate_limited());
        let owned_elsewhere =
            limited.filter(|(_, worker)| !self.owns_slots_of(now, pool, worker, permit));
        owned_elsewhere.map(|(index, _)| index).collect()
    }

    /// Returns the minimum interval between two requests of this node to an endpoint with
    /// a rate limit.
    pub(super) fn spacing_opt(&self, now: Time, worker: &Worker) -> Option<Span> {
        let limit = worker.rate_limit.limit_opt()?;
        Some(self.members.reach(now).scale_interval(limit.to_interval()))
    }

    /// Whether a slot may be used: not if the endpoint has a rate limit and the slot's
    /// owner does not enforce rate limits, because the rate that such an owner grants to
    /// other nodes is unknown.
    pub(super) fn may_use_slot(&self, owner: SocketAddrV4, worker: &Worker) -> bool {
        !worker.is_rate_limited() || self.members.supports_rate_limits(owner)
    }
}
