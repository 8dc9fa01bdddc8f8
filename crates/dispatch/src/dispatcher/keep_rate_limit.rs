//! Endpoints name in their answers how many requests a second they take: what is known of
//! it, and who is told.

use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::job;
use crate::lease;
use crate::lease::Lease;
use crate::notice::Change;
use crate::rate_limit::Limit;
use crate::rate_limit::Told;
use crate::worker::Worker;

impl Dispatcher {
    /// Takes the limit that the head of an answer names, or that it names none. Gives
    /// the change that this brought, if any.
    pub(super) fn note_rate_limit(
        &mut self,
        now: Time,
        id: job::Id,
        limit: Option<Limit>,
    ) -> Option<Change> {
        let (run, worker) = self.running_at_mut(id)?;
        let lease = run.lease;
        let before = worker.rate_limit.limit_opt();
        let changed = worker.rate_limit.note_answer(now, run.started, limit);
        if let Some(lease) = lease.filter(|_| changed || limit.is_some()) {
            self.report_rate_limit(lease, limit);
        }
        if !changed {
            return None;
        }
        self.spread_limit(before, limit);
        Some(Change::RateLimit {
            before,
            after: limit,
        })
    }

    /// Tells the owner of a slot what its endpoint said. It may be in another cell, and
    /// would hear of it seconds later.
    fn report_rate_limit(&mut self, lease: Lease, limit: Option<Limit>) {
        if self.members.supports_rate_limits(lease.owner) {
            let event = lease::Event::RateLimit { limit };
            self.report(lease.owner, lease.number, event);
        }
    }

    /// Sees to it that others soon hear of a change: all of them where a limit begins or
    /// ends, and those of the cell, which send requests there, where it moves.
    fn spread_limit(&mut self, before: Option<Limit>, after: Option<Limit>) {
        self.urgent = true;
        self.news |= before.is_none() || after.is_none();
    }

    /// Keeps what another node tells until it is looked at together with its load.
    pub(super) fn hear_rate_limits(&mut self, now: Time, told: &[Told]) {
        for one in told {
            let report = one.to_report(now);
            let known = self.rate_limits_heard.entry(one.endpoint).or_insert(report);
            if known.at < report.at {
                *known = report;
            }
        }
    }

    /// Takes what other nodes told.
    pub(super) fn take_rate_limits_heard(&mut self, now: Time) {
        if self.rate_limits_heard.is_empty() {
            return;
        }
        let heard = std::mem::take(&mut self.rate_limits_heard);
        let mut changes = Vec::new();
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let Some(report) = heard.get(&worker.number) else {
                continue;
            };
            let before = worker.rate_limit.limit_opt();
            if worker.rate_limit.note_report(now, *report) {
                changes.push((before, report.limit));
            }
        }
        for (before, after) in changes {
            self.spread_limit(before, after);
        }
    }

    /// Rate limits to tell others of, in the order of their endpoints.
    pub(super) fn rate_limits_to_tell(&self, now: Time) -> Vec<Told> {
        let workers = self.pools.values().flat_map(|pool| &pool.workers);
        let listed = workers.filter(|worker| worker.listed);
        let told = listed.filter_map(|worker| worker.rate_limit.to_told_opt(now, worker.number));
        let mut told: Vec<Told> = told.collect();
        told.sort_by_key(|one| one.endpoint);
        told
    }

    /// Lets the time until this node's first request begin anew at each endpoint whose
    /// limit another keeps.
    pub(super) fn wait_for_limits(&mut self, now: Time) {
        let targets: Vec<id::Target> = self.pools.keys().cloned().collect();
        for target in targets {
            let kept = self.kept_by_others(now, &target);
            let Some(pool) = self.pools.get_mut(&target) else {
                continue;
            };
            for at in kept {
                pool.workers[at].rate_limit.wait(now);
            }
        }
    }

    /// The places of a service's endpoints whose rate limits other nodes keep.
    fn kept_by_others(&self, now: Time, target: &id::Target) -> Vec<usize> {
        let pool = self.pools.get(target);
        let permit = pool.and_then(|pool| self.permit_opt(now, pool));
        let Some((pool, permit)) = pool.zip(permit) else {
            return Vec::new();
        };
        let limited = pool.workers.iter().enumerate();
        let limited = limited.filter(|(_, worker)| worker.is_rate_limited());
        let others = limited.filter(|(_, worker)| !self.keeps_limit(now, pool, worker, permit));
        others.map(|(at, _)| at).collect()
    }

    /// The time between two requests of this node to an endpoint that names a limit.
    pub(super) fn spacing_opt(&self, now: Time, worker: &Worker) -> Option<Span> {
        let limit = worker.rate_limit.limit_opt()?;
        Some(self.members.reach(now).stretch(limit.to_interval()))
    }

    /// True unless an owner that keeps no rate limits gave a slot of an endpoint that
    /// names one: how much it lets through to other nodes nobody knows.
    pub(super) fn may_use_slot(&self, owner: SocketAddrV4, worker: &Worker) -> bool {
        !worker.is_rate_limited() || self.members.supports_rate_limits(owner)
    }
}
