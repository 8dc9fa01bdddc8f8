//! Tracks which endpoints this node reaches, from its own calls and from probes. What it finds
//! says nothing of the endpoints themselves.

use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Run;
use crate::endpoint::Endpoint;
use crate::job;
use crate::job::End;
use crate::link;
use crate::link::Change;
use crate::link::Evidence;
use crate::map::HashMap;
use crate::map::HashSet;
use crate::message::LostLinks;
use crate::worker;
use crate::worker::Worker;

/// The maximum number of links to the endpoints of one service that are put in doubt at once
/// because others were lost.
const MAX_DOUBTED_AT_ONCE: usize = 8;

/// The minimum number of links in trouble from which on this node may be disconnected.
const MIN_TROUBLED: usize = 2;

/// A change of a link, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkUpdate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What changed.
    pub change: Change,
    /// The number of lost links to the endpoints of the service.
    pub lost: usize,
    /// The number of open endpoints of the service.
    pub open: usize,
}

impl Dispatcher {
    /// Takes the changes of links since the last call.
    pub fn take_link_updates(&mut self) -> Vec<LinkUpdate> {
        std::mem::take(&mut self.link_updates)
    }

    /// Whether this node's link to an endpoint is lost.
    pub fn is_link_lost(&self, endpoint: &Endpoint) -> bool {
        let worker = self.worker_opt(&endpoint.service, endpoint.to_number());
        worker.is_some_and(|worker| worker.link.is_lost())
    }

    /// Records that an endpoint answers a request of this node's callers.
    pub fn record_answering(&mut self, now: Time, id: job::Id) {
        let Some(run) = self.runs.get(&id).filter(|run| run.job.origin.is_none()) else {
            return;
        };
        let (target, index) = (run.job.target.clone(), run.worker);
        self.record_heard(now, &target, index);
    }

    fn record_heard(&mut self, now: Time, target: &id::Target, index: usize) {
        let Some(pool) = self.pools.get_mut(target) else {
            return;
        };
        let change = pool.workers[index].link.record_heard(now);
        let number = pool.workers[index].number;
        self.settle_refusals(now, number);
        self.record_endpoint_answering(now, number);
        if let Some(change) = change {
            self.record_link_change(now, target, index, change);
        }
    }

    /// Records what the end of an attempt of this node's callers shows of the link.
    pub(super) fn record_link_evidence(&mut self, now: Time, run: &Run, end: End) {
        if run.job.origin.is_some() {
            return;
        }
        let target = run.job.target.clone();
        let evidence = match end {
            End::Whole | End::Rejected | End::Full | End::NotThere | End::Fault => {
                self.record_heard(now, &target, run.worker);
                return;
            }
            End::NotSent => Evidence::ConnectFailed,
            End::Lost => Evidence::CallBroke,
            End::Late | End::Abandoned => return,
        };
        if let Some(pool) = self.pools.get_mut(&target) {
            pool.workers[run.worker].link.doubt(now, evidence);
        }
    }

    /// Forgets how long endpoints have been silent, after this process was suspended.
    pub(super) fn forget_silence(&mut self, now: Time) {
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            worker.link.forget_silence(now);
        }
    }

    /// Puts links in doubt by silence, by what other nodes report, and because others were lost.
    pub(super) fn track_links(&mut self, now: Time) {
        let options = &self.options.worker;
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            worker.link.expire_doubt(now, &options.link);
            if worker.is_reported_unreachable(now, options) && worker.is_open() {
                worker.link.doubt(now, Evidence::Reported);
            }
        }
        let mut silent_counts: HashMap<id::Target, usize> = HashMap::default();
        // What seems silent to a node that is late may be there unread.
        let is_late = self.lateness.is_late();
        let calls = first_calls(self.runs.values());
        for call in calls.into_iter().filter(|_| !is_late) {
            let Some(pool) = self.pools.get_mut(&call.target) else {
                continue;
            };
            let typical = pool.typical_response_time();
            let worker = &mut pool.workers[call.worker];
            if is_silent(now, worker, call.started, typical, &options.link) {
                *silent_counts.entry(call.target).or_default() += 1;
            }
        }
        for (target, count) in silent_counts {
            if let Some(pool) = self.pools.get_mut(&target)
                && count >= MIN_TROUBLED
            {
                pool.doubt_if_unheard(now, &options.link);
            }
        }
        self.doubt_others(now);
        self.count_holders();
        self.expire_refusals(now);
    }

    /// Counts, for each endpoint, the nodes whose requests its slots hold.
    fn count_holders(&mut self) {
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            worker.holders = u32::from(worker.own_running > 0 && !worker.link.is_lost());
        }
        let mut counted = HashSet::default();
        for run in self.runs.values() {
            let Some(origin) = run.job.origin else {
                continue;
            };
            let Some(pool) = self.pools.get_mut(&run.job.target) else {
                continue;
            };
            let is_new = counted.insert((origin.node, pool.workers[run.worker].number));
            if is_new && !self.members.has_lost_links(origin.node, pool.number) {
                pool.workers[run.worker].holders += 1;
            }
        }
    }

    /// Puts the remaining links in doubt if this node appears to be disconnected.
    fn doubt_others(&mut self, now: Time) {
        let options = &self.options.worker;
        let deaf = self.pools.values().filter_map(|pool| {
            let since = pool.deaf_since_opt(now, options)?;
            let lost = pool.count_open(|worker| worker.link.is_lost());
            (lost > 0).then_some(since)
        });
        let Some(since) = deaf.min() else {
            return;
        };
        for pool in self.pools.values_mut() {
            let unheard = pool.workers.iter_mut().filter(|worker| {
                worker.own_cell && worker.is_open() && is_silent_since(worker, since)
            });
            for worker in unheard
                .filter(|worker| worker.link.troubled_since_opt().is_none())
                .take(MAX_DOUBTED_AT_ONCE)
            {
                worker.link.doubt(now, Evidence::OthersLost);
            }
        }
    }

    pub(super) fn record_link_change(
        &mut self,
        now: Time,
        target: &id::Target,
        index: usize,
        change: Change,
    ) {
        let Some(pool) = self.pools.get_mut(target) else {
            return;
        };
        let worker = &mut pool.workers[index];
        if matches!(change, Change::Regained(_)) {
            worker.backoff_until = Time(0);
            pool.hasten_probes(now);
        }
        let update = LinkUpdate {
            endpoint: pool.workers[index].endpoint.clone(),
            change,
            lost: pool.count_open(|worker| worker.link.is_lost()),
            open: pool.count_open(|_| true),
        };
        self.link_updates.push(update);
        self.urgent = true;
        if matches!(change, Change::Lost(_)) {
            self.release_slots_at(target, index);
        }
    }

    /// Releases the slots that other nodes granted for requests that hang on a lost link: they
    /// are no load of the endpoint.
    fn release_slots_at(&mut self, target: &id::Target, index: usize) {
        let runs = self.runs.values_mut();
        let there = runs.filter(|run| run.job.target == *target && run.worker == index);
        let leases: Vec<_> = there.filter_map(|run| run.lease.take()).collect();
        for lease in leases {
            self.release_slot(lease.owner, lease.number, End::Abandoned);
        }
    }

    /// Returns the services of which this node doesn't reach every open endpoint of its cell.
    pub(super) fn lost_links(&self) -> Vec<LostLinks> {
        let lost = self.pools.values().map(|pool| LostLinks {
            service: pool.number,
            percent: pool.lost_percent(),
        });
        lost.filter(|lost| lost.percent > 0).collect()
    }
}

impl Pool {
    /// Counts the open endpoints that satisfy a predicate.
    pub(super) fn count_open(&self, holds: impl Fn(&Worker) -> bool) -> usize {
        let open = self.workers.iter().filter(|worker| worker.is_open());
        open.filter(|worker| holds(worker)).count()
    }

    /// Returns the part of the slots of this cell's open endpoints whose links are lost, in percent.
    pub(super) fn lost_percent(&self) -> u8 {
        let open = self.workers.iter();
        let open = open.filter(|worker| worker.own_cell && worker.is_open());
        let (mut lost, mut all) = (0, 0);
        for worker in open {
            let slots = u64::from(worker.endpoint.slots);
            all += slots;
            if worker.link.is_lost() {
                lost += slots;
            }
        }
        (lost * 100).div_ceil(all.max(1)) as u8
    }

    /// Since when several links are in trouble and nothing arrived from any endpoint of the service,
    /// if that is so.
    pub(super) fn deaf_since_opt(&self, now: Time, options: &worker::Options) -> Option<Time> {
        let window = options.link.trouble_window;
        let troubles = self.workers.iter().filter(|worker| worker.is_open());
        let troubles = troubles.filter_map(|worker| worker.link.troubled_since_opt());
        let recent: Vec<Time> = troubles.filter(|at| now.since(*at) < window).collect();
        let since = recent.iter().min().copied()?;
        let is_silent = self
            .workers
            .iter()
            .all(|worker| is_silent_since(worker, since));
        (recent.len() >= MIN_TROUBLED && is_silent).then_some(since)
    }

    /// Puts the links to all endpoints of this cell in doubt, unless one was heard recently.
    fn doubt_if_unheard(&mut self, now: Time, options: &link::Options) {
        let typical = self.typical_response_time();
        let is_heard = |worker: &Worker| {
            let silence = worker
                .link
                .max_common_silence(worker.typical_time(typical), options);
            worker.link.was_heard_within(now, silence)
        };
        if self.workers.iter().any(is_heard) {
            return;
        }
        let open = self.workers.iter_mut();
        for worker in open.filter(|worker| worker.own_cell && worker.is_open()) {
            worker.link.doubt(now, Evidence::OthersSilent);
        }
    }
}

/// Whether nothing arrived from an endpoint since a time.
fn is_silent_since(worker: &Worker, since: Time) -> bool {
    worker.link.heard_at().is_none_or(|at| at <= since)
}

/// Whether an endpoint is silent although calls of this node's callers are in progress there, the
/// first of which began at `started`. Puts the link in doubt if it is silent for too long.
fn is_silent(
    now: Time,
    worker: &mut Worker,
    started: Time,
    typical: Span,
    options: &link::Options,
) -> bool {
    let silent_since = worker.link.heard_at().map_or(started, |at| at.max(started));
    let silence = now.since(silent_since);
    let typical = worker.typical_time(typical);
    if silence > worker.link.max_silence(typical, options) {
        worker.link.doubt(now, Evidence::Silence);
    }
    silence > worker.link.max_common_silence(typical, options)
}

/// The first request in progress of this node's callers at one endpoint.
struct FirstCall {
    target: id::Target,
    worker: usize,
    started: Time,
}

/// Returns the first request in progress of this node's callers at each endpoint that has one.
fn first_calls<'a>(runs: impl Iterator<Item = &'a Run>) -> Vec<FirstCall> {
    let mut calls: Vec<FirstCall> = Vec::new();
    for run in runs.filter(|run| run.job.origin.is_none()) {
        let known = calls
            .iter_mut()
            .find(|call| call.worker == run.worker && call.target == run.job.target);
        match known {
            Some(call) => call.started = run.started.min(call.started),
            None => calls.push(FirstCall {
                target: run.job.target.clone(),
                worker: run.worker,
                started: run.started,
            }),
        }
    }
    calls
}
