//! Forwards requests whose endpoints this node doesn't reach to nodes that do.
//!
//! The other node treats a forwarded request like one of its own callers': it waits in the same
//! queue by rank. It never forwards it again, so no request takes more than one hop.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Cause;
use super::Decision;
use super::Dispatcher;
use super::Next;
use super::Pool;
use crate::endpoint;
use crate::job;
use crate::job::Job;
use crate::worker::Worker;

/// The maximum number of nodes that a request is forwarded to, one after the other.
const MAX_NODES_TRIED: usize = 3;

/// The load of a node in another data centre counts this many times, since bytes between data
/// centres cost more.
const REMOTE_CENTRE_WEIGHT: usize = 2;

/// A request that another node runs.
#[derive(Debug)]
pub(super) struct Forward {
    pub job: Job,
    node: SocketAddrV4,
}

/// How a forwarded request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The other node gave the final answer, or the caller's time ran out.
    Answered,
    /// The other node did not receive it.
    NotSent,
    /// The other node did not run it, and another one may.
    Declined,
    /// The connection to the other node broke, and it may have run.
    Lost,
}

impl ForwardEnd {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ForwardEnd::Answered => "answered",
            ForwardEnd::NotSent => "not-sent",
            ForwardEnd::Declined => "declined",
            ForwardEnd::Lost => "lost",
        }
    }
}

impl Dispatcher {
    /// Counts the requests for a service that other nodes run for this node's callers.
    pub(super) fn forwarded_count(&self, target: &id::Target) -> usize {
        let forwards = self.forwards.values();
        forwards
            .filter(|forward| forward.job.target == *target)
            .count()
    }

    /// Whether this node reaches an open endpoint of a service, or none is open.
    pub fn reaches(&self, target: &id::Target) -> bool {
        let pool = self.pools.get(target);
        pool.is_none_or(|pool| pool.lost_percent() < 100)
    }

    /// Returns the node to forward a request to, if this node lacks the links to run it and another
    /// one states no such lack.
    pub(super) fn forward_target_opt(
        &self,
        now: Time,
        id: job::Id,
        job: &Job,
    ) -> Option<SocketAddrV4> {
        let is_own = job.origin.is_none() && !job.is_forwarded;
        if !is_own || job.trial || job.declined_by.len() >= MAX_NODES_TRIED {
            return None;
        }
        let pool = self.pools.get(&job.target)?;
        if !self.lacks_links(now, pool, id, job) {
            return None;
        }
        self.forwarding_node_opt(now, pool, job)
    }

    /// Whether a request should run at an endpoint that this node doesn't reach. If it reaches some,
    /// requests are forwarded only while those are full, and no more than the others' share.
    fn lacks_links(&self, now: Time, pool: &Pool, id: job::Id, job: &Job) -> bool {
        if !pool.workers.iter().any(|worker| worker.link.is_lost()) {
            return false;
        }
        let is_displaced = self.is_displaced(pool, job);
        let candidates = pool.workers.iter().filter(|worker| {
            worker.is_open() && (worker.own_cell || is_displaced) && self.may_run_at(job, worker)
        });
        let (lost, reached): (Vec<&Worker>, Vec<&Worker>) =
            candidates.partition(|worker| worker.link.is_lost());
        if lost.is_empty() || reached.is_empty() {
            return !lost.is_empty();
        }
        let options = &self.options.worker;
        let is_free = |worker: &&&Worker| {
            worker.accepts_work(now, options) && worker.busy() < worker.usable_slots()
        };
        if reached.iter().any(|worker| is_free(&worker)) {
            return false;
        }
        let slots = |workers: &[&Worker]| -> u64 {
            let slots = workers
                .iter()
                .map(|worker| u64::from(worker.endpoint.slots));
            slots.sum()
        };
        let lost_slots = slots(&lost);
        let drawn = hash::chain(self.options.incarnation, &id.0.to_le_bytes());
        drawn % (lost_slots + slots(&reached)).max(1) < lost_slots
    }

    /// Chooses the node with the fewest requests forwarded by this one, preferably in this data
    /// centre.
    fn forwarding_node_opt(&self, now: Time, pool: &Pool, job: &Job) -> Option<SocketAddrV4> {
        let own_centre = endpoint::number_of(self.options.data_centre.as_str());
        let own_percent = pool.lost_percent();
        let nodes = self.members.forwarding_nodes(now, pool.number, own_percent);
        // A node that knows nothing of versions would resume the stream at any endpoint.
        let is_resumable = job.stream.is_some();
        let nodes = nodes.filter(|(node, member)| {
            !job.declined_by.contains(node)
                && self.may_run_on(job, *node)
                && (!is_resumable || member.status.protocol.supports_software())
        });
        let chosen = nodes.min_by_key(|(node, member)| {
            let forwarded = self.forwards.values();
            let in_progress = forwarded.filter(|forward| forward.node == *node).count();
            let weight = match member.status.data_centre == own_centre {
                true => 1,
                false => REMOTE_CENTRE_WEIGHT,
            };
            let drawn = hash::chain(job.fingerprint.0, &node.ip().octets());
            ((in_progress + 1) * weight, drawn)
        });
        chosen.map(|(node, _)| node)
    }

    pub(super) fn forward(&mut self, id: job::Id, job: Job, node: SocketAddrV4) {
        self.targets.insert(id, job.target.clone());
        self.decisions.push(Decision::Forward {
            job: id,
            node,
            sent: job.history.sent,
            tried: job.history.tried.clone(),
            software: job.binding.software_opt().cloned(),
        });
        self.forwards.insert(id, Forward { job, node });
    }

    /// Forwards waiting requests of this node's callers that it lacks the links to run.
    pub(super) fn forward_waiting(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        if !pool.workers.iter().any(|worker| worker.link.is_lost()) {
            return;
        }
        let queued = pool.queue.iter();
        let requested = self.open_requests.iter().filter_map(|(id, open_request)| {
            let job = open_request.job.as_ref()?;
            (job.target == *target).then_some((*id, job))
        });
        let waiting = queued.chain(requested);
        let waiting: Vec<job::Id> = waiting
            .filter(|(id, job)| self.forward_target_opt(now, *id, job).is_some())
            .map(|(id, _)| id)
            .collect();
        for id in waiting {
            let requested = self.cancel_open_request(id).and_then(|open| open.job);
            let pool = self.pools.get_mut(target);
            let queued = pool.and_then(|pool| pool.queue.remove(id));
            if let Some(job) = requested.or(queued) {
                self.submit(now, id, job);
            }
        }
    }

    /// Records how a forwarded request ended and returns what follows.
    pub fn end_forward(&mut self, now: Time, id: job::Id, end: ForwardEnd) -> Next {
        let Some(Forward { mut job, node }) = self.forwards.remove(&id) else {
            self.abandon(now, id);
            return Next::Over;
        };
        let next = match end {
            ForwardEnd::Answered => Next::Over,
            ForwardEnd::NotSent => {
                self.members.record_unanswered(now, node);
                self.next_without_run(now, &job)
            }
            ForwardEnd::Declined => self.next_without_run(now, &job),
            ForwardEnd::Lost => {
                job.history.sent += 1;
                job.history.may_have_run = true;
                self.next_after_loss(now, &job)
            }
        };
        if next == Next::Again {
            job.declined_by.push(node);
            self.submit(now, id, job);
        } else {
            self.targets.remove(&id);
        }
        next
    }

    fn next_without_run(&self, now: Time, job: &Job) -> Next {
        match job.deadline.since(now) <= self.options.policy.least_left {
            true => Next::Final(Cause::Time),
            false => Next::Again,
        }
    }

    fn next_after_loss(&mut self, now: Time, job: &Job) -> Next {
        if !job.repeatable {
            return Next::Final(Cause::MayHaveRun);
        }
        if job.history.sent >= job.attempts {
            return Next::Final(Cause::Attempts);
        }
        let nodes = self.budget_nodes(now);
        if !self.budget.try_spend(now, &job.target, nodes) {
            return Next::Final(Cause::Budget);
        }
        self.next_without_run(now, job)
    }
}
