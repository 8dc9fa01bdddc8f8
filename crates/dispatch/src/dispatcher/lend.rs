//! The lending side of slot leases: requests of other nodes wait in this node's queue like
//! its own and are granted slots in the same order.

use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Reason;
use crate::binding::Binding;
use crate::job;
use crate::job::History;
use crate::job::Job;
use crate::lease;
use crate::lease::Answer;
use crate::lease::Event;
use crate::lease::Observation;
use crate::lease::Origin;
use crate::lease::Reply;
use crate::message::Message;
use crate::region::Constraint;

/// The silence about a remote request after which its node is asked about it.
const CHECK_AFTER: Span = Span::from_millis(1_000);

/// The silence after which a remote request that holds a slot counts as lost. Long enough
/// that a few lost checks do not end the lease.
const LOST_AFTER: Span = Span::from_millis(3_000);

/// The silence after which a waiting remote request counts as cancelled. The requesting
/// node repeats a waiting request several times a second.
const CANCELLED_AFTER: Span = Span::from_millis(1_000);

/// A request of another node that waits here or holds a slot of this node.
#[derive(Debug)]
pub(super) struct RemoteRequest {
    /// Its identifier on this node.
    pub id: job::Id,
    /// The incarnation of the other node.
    incarnation: u64,
    /// When its node last sent a message about it.
    last_heard: Time,
    /// When its node was last asked about it.
    last_checked: Time,
    /// The number of the granted endpoint, and the reason for the choice.
    granted: Option<(u32, Reason)>,
}

impl Dispatcher {
    /// Handles another node's request for a slot.
    pub fn receive_lease_request(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        request: lease::Request,
    ) {
        let origin = Origin {
            node: from,
            number: request.number,
        };
        let known = self
            .remote_requests
            .get(&origin)
            .map(|remote| remote.incarnation);
        match known {
            Some(incarnation) if incarnation == request.incarnation => {
                self.repeat_answer(now, origin);
                return;
            }
            Some(_) => {
                self.end_remote_request(now, origin, job::End::Abandoned, Observation::default())
            }
            None => {}
        }
        let pools = self.pools.iter();
        let mut pools = pools.filter(|(_, pool)| pool.number == request.service);
        let Some(target) = pools.next().map(|(target, _)| target.clone()) else {
            self.send_lease_reply(origin, Answer::Denied);
            return;
        };
        if !self.may_lend(now, &target, request.endpoint) {
            self.send_lease_reply(origin, Answer::Denied);
            return;
        }
        let job = self.to_job(now, origin, &target, &request);
        let pool = self.pools.get(&target);
        if pool.is_some_and(|pool| self.is_bound_elsewhere(pool, &job)) {
            self.send_lease_reply(origin, Answer::Denied);
            return;
        }
        self.next_job += 1;
        let id = job::Id(self.next_job);
        let remote = RemoteRequest {
            id,
            incarnation: request.incarnation,
            last_heard: now,
            last_checked: now,
            granted: None,
        };
        if request.spare {
            self.lend_spare_slot(now, id, job, remote);
            return;
        }
        self.remote_requests.insert(origin, remote);
        self.enqueue(now, id, job);
        let waiting = self.remote_requests.get(&origin);
        if waiting.is_some_and(|remote| remote.granted.is_none()) {
            self.send_lease_reply(origin, Answer::Waiting);
        }
    }

    /// Whether slots of the requested endpoint may be granted to other nodes. Always true
    /// if no single endpoint is requested.
    fn may_lend(&self, now: Time, target: &id::Target, endpoint: Option<u32>) -> bool {
        let options = &self.options.worker;
        endpoint.is_none_or(|number| {
            let worker = self.worker_opt(target, number);
            worker.is_some_and(|worker| worker.is_lendable(now, options))
        })
    }

    fn repeat_answer(&mut self, now: Time, origin: Origin) {
        let Some(remote) = self.remote_requests.get_mut(&origin) else {
            return;
        };
        remote.last_heard = now;
        let id = remote.id;
        if let Some((endpoint, reason)) = remote.granted {
            self.send_lease_reply(origin, Answer::Granted { endpoint, reason });
            return;
        }
        let target = self.targets.get(&id).cloned();
        let pool = target.as_ref().and_then(|target| self.pools.get(target));
        let only = pool.and_then(|pool| pool.queue.get(id)?.only_endpoint);
        if target.is_some_and(|target| !self.may_lend(now, &target, only)) {
            self.end_remote_request(now, origin, job::End::Abandoned, Observation::default());
            self.send_lease_reply(origin, Answer::Denied);
            return;
        }
        self.send_lease_reply(origin, Answer::Waiting);
    }

    fn to_job(
        &self,
        now: Time,
        origin: Origin,
        target: &id::Target,
        request: &lease::Request,
    ) -> Job {
        let arrived = now - request.age;
        Job {
            fingerprint: request.fingerprint,
            target: target.clone(),
            route: String::new(),
            rank: request.rank,
            repeatable: false,
            attempts: 1,
            arrived,
            first_try: arrived - request.since_first_try,
            deadline: arrived + request.time_limit,
            objective: request.objective,
            caller_timeout: request.caller_timeout,
            pause: request.pause,
            prompt: request.prompt.clone(),
            history: History {
                tried: request.tried.clone(),
                ..History::default()
            },
            origin: Some(origin),
            // In a fleet of one cell the endpoint only selects the owner, which may grant
            // any rate-limited endpoint that it owns.
            only_endpoint: request
                .endpoint
                .filter(|_| !self.members.cell().covers_fleet),
            avoided: request.avoided.clone(),
            trial: false,
            constraint: Constraint::default(),
            customer: request.details.customer,
            is_booked: false,
            is_redirected: request.details.redirected,
            is_forwarded: false,
            declined_by: Vec::new(),
            stream: None,
            binding: request
                .software
                .as_ref()
                .map_or(Binding::Free, |software| Binding::to(Some(software))),
        }
    }

    /// Sends an answer to the node that requested a slot.
    pub(super) fn send_lease_reply(&mut self, origin: Origin, answer: Answer) {
        let reply = Reply {
            number: origin.number,
            answer,
        };
        self.outbox.push((origin.node, Message::Leased(reply)));
    }

    /// Records the slot granted to a remote request, and notifies its node.
    pub(super) fn grant_slot(&mut self, origin: Origin, endpoint: u32, reason: Reason) {
        if let Some(remote) = self.remote_requests.get_mut(&origin) {
            remote.granted = Some((endpoint, reason));
        }
        self.send_lease_reply(origin, Answer::Granted { endpoint, reason });
    }

    /// Handles another node's report about one of its requests.
    pub fn receive_lease_report(&mut self, now: Time, from: SocketAddrV4, report: lease::Report) {
        let origin = Origin {
            node: from,
            number: report.number,
        };
        let Some(remote) = self.remote_requests.get_mut(&origin) else {
            return;
        };
        remote.last_heard = now;
        let id = remote.id;
        if let Some(load) = report.load {
            self.record_stated_load(now, id, load);
        }
        match report.event {
            Event::Held => {}
            Event::First => self.progress(now, id, 1),
            Event::Progress => self.record_remote_progress(now, id),
            Event::Cold { cold_for } => {
                self.record_cold(now, id, cold_for);
            }
            Event::Ended { end, seen } => self.end_remote_request(now, origin, end, seen),
            Event::RateLimit { limit } => {
                self.record_rate_limit(now, id, limit);
            }
        }
    }

    /// Frees the slot of a remote request, or removes it from the queue.
    pub(super) fn end_remote_request(
        &mut self,
        now: Time,
        origin: Origin,
        end: job::End,
        seen: Observation,
    ) {
        let Some(remote) = self.remote_requests.remove(&origin) else {
            return;
        };
        let Some(target) = self.targets.remove(&remote.id) else {
            return;
        };
        self.urgent = true;
        self.cancel_open_request(remote.id);
        if let Some(pool) = self.pools.get_mut(&target) {
            pool.queue.remove(remote.id);
        }
        if let Some(mut run) = self.runs.remove(&remote.id) {
            run.event_count = seen.events;
            run.is_timed = seen.took.is_some();
            let pool = self.pools.get_mut(&target);
            if let Some((pool, used)) = pool.zip(seen.took) {
                pool.turnaround.learn(now.since(run.started), used);
            }
            self.learn_reported_step(now, &run, seen.step);
            self.finish_attempt(now, run, end);
        }
        self.place(now, &target);
    }

    /// Asks about remote requests for which no message arrived for a while, and ends those
    /// whose nodes stay silent.
    pub(super) fn check_remote_requests(&mut self, now: Time) {
        let mut lost = Vec::new();
        let mut to_check = Vec::new();
        for (origin, remote) in &mut self.remote_requests {
            let silence = now.since(remote.last_heard);
            let limit = match remote.granted {
                Some(_) => LOST_AFTER,
                None => CANCELLED_AFTER,
            };
            if silence > limit {
                lost.push(*origin);
            } else if silence > CHECK_AFTER && now.since(remote.last_checked) > CHECK_AFTER {
                remote.last_checked = now;
                to_check.push(*origin);
            }
        }
        for origin in lost {
            self.end_remote_request(now, origin, job::End::Abandoned, Observation::default());
        }
        for origin in to_check {
            let check = lease::Check {
                number: origin.number,
            };
            self.outbox.push((origin.node, Message::Check(check)));
        }
    }
}
