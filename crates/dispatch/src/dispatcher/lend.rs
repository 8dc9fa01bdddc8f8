//! Slots that this node owns: requests of other nodes wait in its queue as its
//! own do, and get slots in the same order.

use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Reason;
use crate::job;
use crate::job::History;
use crate::job::Job;
use crate::lease;
use crate::lease::Answer;
use crate::lease::Event;
use crate::lease::Origin;
use crate::lease::Reply;
use crate::lease::Seen;
use crate::message::Message;
use crate::region::Bound;

/// Silence about a request of another node after which it is asked for.
const CHECK_AFTER: Span = Span::from_millis(1_000);

/// Silence about it after which it is taken to be over: some checks may have
/// been lost.
const LOST_AFTER: Span = Span::from_millis(3_000);

/// The same where it waits: then its node asks many times a second.
const WITHDRAWN_AFTER: Span = Span::from_millis(1_000);

/// A request of another node that waits here, or has a slot of this node's.
#[derive(Debug)]
pub(super) struct Remote {
    /// Its name here.
    pub id: job::Id,
    /// The life of the other node.
    incarnation: u64,
    /// When its node last spoke of it.
    heard: Time,
    /// When its node was last asked for it.
    checked: Time,
    /// What was granted: the endpoint's number, and why there.
    granted: Option<(u32, Reason)>,
}

impl Dispatcher {
    /// Takes another node's question for a slot.
    pub fn take_request(&mut self, now: Time, from: SocketAddrV4, request: lease::Request) {
        let origin = Origin {
            node: from,
            number: request.number,
        };
        let known = self.remote.get(&origin).map(|remote| remote.incarnation);
        match known {
            Some(incarnation) if incarnation == request.incarnation => {
                self.answer_again(now, origin);
                return;
            }
            Some(_) => self.end_remote(now, origin, job::End::Abandoned, Seen::default()),
            None => {}
        }
        let numbers = self.pools.iter();
        let mut numbers = numbers.filter(|(_, pool)| pool.number == request.service);
        let Some(target) = numbers.next().map(|(target, _)| target.clone()) else {
            self.reply(origin, Answer::Denied);
            return;
        };
        if !self.may_lend(now, &target, request.endpoint) {
            self.reply(origin, Answer::Denied);
            return;
        }
        let job = self.to_job(now, origin, &target, &request);
        self.next_job += 1;
        let id = job::Id(self.next_job);
        let remote = Remote {
            id,
            incarnation: request.incarnation,
            heard: now,
            checked: now,
            granted: None,
        };
        if request.spare {
            self.lend_spare(now, id, job, remote);
            return;
        }
        self.remote.insert(origin, remote);
        self.enqueue(now, id, job);
        let waits = self.remote.get(&origin);
        if waits.is_some_and(|remote| remote.granted.is_none()) {
            self.reply(origin, Answer::Waiting);
        }
    }

    /// True unless one endpoint is asked for whose slots may not be given to others.
    fn may_lend(&self, now: Time, target: &id::Target, endpoint: Option<u32>) -> bool {
        let options = &self.options.worker;
        endpoint.is_none_or(|number| {
            let worker = self.worker_opt(target, number);
            worker.is_some_and(|worker| worker.lends(now, options))
        })
    }

    fn answer_again(&mut self, now: Time, origin: Origin) {
        let Some(remote) = self.remote.get_mut(&origin) else {
            return;
        };
        remote.heard = now;
        let id = remote.id;
        if let Some((endpoint, reason)) = remote.granted {
            self.reply(origin, Answer::Granted { endpoint, reason });
            return;
        }
        let target = self.places.get(&id).cloned();
        let pool = target.as_ref().and_then(|target| self.pools.get(target));
        let only = pool.and_then(|pool| pool.queue.get(id)?.only);
        if target.is_some_and(|target| !self.may_lend(now, &target, only)) {
            self.end_remote(now, origin, job::End::Abandoned, Seen::default());
            self.reply(origin, Answer::Denied);
            return;
        }
        self.reply(origin, Answer::Waiting);
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
            first_try: arrived - request.tried_for,
            deadline: arrived + request.within,
            objective: request.objective,
            patience: request.patience,
            pause: request.pause,
            prompt: request.prompt.clone(),
            history: History {
                tried: request.tried.clone(),
                ..History::default()
            },
            origin: Some(origin),
            // In a fleet of one cell it says whose slots are asked for, of all that are
            // limited: any that this node owns will do.
            only: request
                .endpoint
                .filter(|_| !self.members.cell().covers_fleet),
            avoided: request.avoided.clone(),
            trial: false,
            bound: Bound::default(),
        }
    }

    /// Tells the node that has a request what became of it.
    pub(super) fn reply(&mut self, origin: Origin, answer: Answer) {
        let reply = Reply {
            number: origin.number,
            answer,
        };
        self.outbox.push((origin.node, Message::Leased(reply)));
    }

    /// Notes that a request of another node has a slot, and tells it.
    pub(super) fn grant_slot(&mut self, origin: Origin, endpoint: u32, reason: Reason) {
        if let Some(remote) = self.remote.get_mut(&origin) {
            remote.granted = Some((endpoint, reason));
        }
        self.reply(origin, Answer::Granted { endpoint, reason });
    }

    /// Takes what another node says of a request that it has.
    pub fn take_report(&mut self, now: Time, from: SocketAddrV4, report: lease::Report) {
        let origin = Origin {
            node: from,
            number: report.number,
        };
        let Some(remote) = self.remote.get_mut(&origin) else {
            return;
        };
        remote.heard = now;
        let id = remote.id;
        match report.event {
            Event::Held => {}
            Event::First => self.progress(now, id, 1),
            Event::Progress => self.note_alive(now, id),
            Event::Cold { cold_for } => {
                self.note_cold(now, id, cold_for);
            }
            Event::Ended { end, seen } => self.end_remote(now, origin, end, seen),
            Event::RateLimit { limit } => {
                self.note_rate_limit(now, id, limit);
            }
        }
    }

    /// Frees the slot of another node's request, or takes it out of the queue.
    pub(super) fn end_remote(&mut self, now: Time, origin: Origin, end: job::End, seen: Seen) {
        let Some(remote) = self.remote.remove(&origin) else {
            return;
        };
        let Some(target) = self.places.remove(&remote.id) else {
            return;
        };
        self.urgent = true;
        self.withdraw(remote.id);
        if let Some(pool) = self.pools.get_mut(&target) {
            pool.queue.remove(remote.id);
        }
        if let Some(mut run) = self.runs.remove(&remote.id) {
            run.shown = seen.events;
            let pool = self.pools.get_mut(&target);
            if let Some((pool, used)) = pool.zip(seen.took) {
                pool.turnaround.learn(now.since(run.started), used);
            }
            self.learn_reported_step(now, &run, seen.step);
            self.close(now, run, end);
        }
        self.place(now, &target);
    }

    /// Asks after requests of other nodes of which nothing was heard for long,
    /// and takes those for over whose node does not answer.
    pub(super) fn check_remote(&mut self, now: Time) {
        let mut lost = Vec::new();
        let mut asked = Vec::new();
        for (origin, remote) in &mut self.remote {
            let silent = now.since(remote.heard);
            let most = match remote.granted {
                Some(_) => LOST_AFTER,
                None => WITHDRAWN_AFTER,
            };
            if silent > most {
                lost.push(*origin);
            } else if silent > CHECK_AFTER && now.since(remote.checked) > CHECK_AFTER {
                remote.checked = now;
                asked.push(*origin);
            }
        }
        for origin in lost {
            self.end_remote(now, origin, job::End::Abandoned, Seen::default());
        }
        for origin in asked {
            let check = lease::Check {
                number: origin.number,
            };
            self.outbox.push((origin.node, Message::Check(check)));
        }
    }
}
