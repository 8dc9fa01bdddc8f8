//! Slots that another node owns: which node is asked for a request's slot, and
//! for how long.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::job;
use crate::job::End;
use crate::job::Job;
use crate::lease;
use crate::lease::Seen;
use crate::member::Owner;
use crate::member::Scope;
use crate::message::Message;
use crate::rate_limit::Limit;
use crate::worker::Worker;

/// How long an owner's answer is waited for: many times the way there and back
/// within a region, and little beside any objective.
const ANSWER_WITHIN: Span = Span::from_millis(60);

/// Questions without an answer after which an owner is passed over: a single
/// one may have been lost.
const UNANSWERED_MOST: u32 = 2;

/// How often the question of a request that waits is asked again, so that an
/// owner's end shows.
const RENEW_EVERY: Span = Span::from_millis(250);

/// Endpoints taken by chance of which one is asked for, by what this node asked for.
const CHOICES: usize = 2;

/// The same in a fleet of one cell, by what all owners say that waits there: they have
/// a handful of starts a second each, so that an uneven choice shows.
const CHOICES_OF_ONE_CELL: usize = 4;

/// Endpoints that rest which an owner is told of, so that the question fits a datagram.
const AVOIDED_MOST: usize = 64;

/// A request of this node for which an owner was asked for a slot.
#[derive(Debug)]
pub(super) struct Question {
    /// Names it to the owner.
    pub number: u64,
    /// Who was asked.
    pub owner: SocketAddrV4,
    /// The endpoint that it is about, where its owner has just that one.
    pub endpoint: Option<u32>,
    /// When it was last asked.
    asked: Time,
    /// How often it was asked since there was an answer.
    pub unanswered: u32,
    /// The request; none where it waits in this node's own queue as well.
    pub job: Option<Job>,
}

/// Who is asked for a slot.
pub(super) struct Asked {
    /// The node.
    pub owner: SocketAddrV4,
    /// The endpoint that it is asked for, where it owns that one's slots alone.
    pub endpoint: Option<u32>,
}

/// Who decides which slot a request gets.
enum Arbiter {
    /// This node, for one endpoint alone where that is said.
    Own { only: Option<u32> },
    /// Another node.
    Other(Asked),
}

impl Dispatcher {
    /// Puts a request in the queue that it belongs to: here, or at the owner of
    /// the slots that it may have.
    pub(super) fn submit(&mut self, now: Time, id: job::Id, mut job: Job) {
        if let Some(refusal) = self.bar(now, &mut job) {
            self.refuse(now, id, job.origin, refusal);
            return;
        }
        match self.arbiter(now, &job) {
            Arbiter::Own { only } => {
                job.only = only;
                self.enqueue(now, id, job);
            }
            Arbiter::Other(asked) => {
                self.places.insert(id, job.target.clone());
                self.ask(now, id, asked, Some(job));
            }
        }
    }

    fn arbiter(&self, now: Time, job: &Job) -> Arbiter {
        let alone = Arbiter::Own { only: None };
        let Some(pool) = self.pools.get(&job.target) else {
            return alone;
        };
        let each = pool.shared || self.is_limited_throughout(now, pool, job);
        let endpoint = match each {
            true => self.shared_worker(now, pool, job),
            false => None,
        };
        let endpoint = endpoint.map(|worker| worker.number);
        if each && endpoint.is_none() {
            return alone;
        }
        let owner = match self.is_displaced(pool, job) {
            true => self.host_owner(now, pool, job, self.next_question),
            false => self.slot_owner(now, pool, endpoint),
        };
        match owner {
            Owner::Unreachable => alone,
            Owner::Local => Arbiter::Own {
                only: endpoint.filter(|_| pool.shared),
            },
            Owner::Remote(owner) => Arbiter::Other(Asked { owner, endpoint }),
        }
    }

    /// The owner of the slots of one endpoint, or of this cell's slots of a
    /// service. In a fleet of one cell each node decides alone, but for endpoints that
    /// name a rate limit.
    pub(super) fn slot_owner(&self, now: Time, pool: &Pool, endpoint: Option<u32>) -> Owner {
        let whole = self.members.cell().covers_fleet;
        let (scope, key) = match endpoint {
            Some(endpoint) if !whole => (Scope::Fleet, endpoint),
            Some(endpoint) if pool.is_rate_limited(endpoint) => (Scope::RateLimitCapable, endpoint),
            None if !whole => (Scope::Cell, pool.number),
            Some(_) | None => return Owner::Local,
        };
        self.members.owner(now, scope, u64::from(key))
    }

    /// An endpoint of a service whose endpoints have an owner each: of some taken by
    /// chance, the one for which least waits (Mitzenmacher, the power of two choices).
    fn shared_worker<'a>(&self, now: Time, pool: &'a Pool, job: &Job) -> Option<&'a Worker> {
        let options = &self.options.worker;
        let usable = pool.workers.iter().filter(|worker| {
            worker.takes_work(now, options)
                && !job.history.tried.contains(&worker.number)
                && self.may_run_at(job, worker)
        });
        let usable: Vec<&Worker> = usable.collect();
        let sure = usable.iter().filter(|worker| !worker.is_in_doubt(now));
        let sure: Vec<&Worker> = sure.copied().collect();
        let usable = if sure.is_empty() { usable } else { sure };
        let one_cell = self.members.cell().covers_fleet;
        let (choices, waiting): (usize, &dyn Fn(&Worker) -> f64) = match one_cell {
            true => (CHOICES_OF_ONE_CELL, &|worker| {
                self.waiting_at_owner(now, pool, worker)
            }),
            false => (CHOICES, &|worker| self.asked_for(worker) as f64),
        };
        let mut drawn = hash::chain(self.options.incarnation, &self.next_question.to_le_bytes());
        let mut chosen: Option<(f64, &Worker)> = None;
        for _ in 0..choices {
            let at = drawn.checked_rem(usable.len() as u64)?;
            let worker = *usable.get(at as usize)?;
            let waits = waiting(worker);
            if chosen.is_none_or(|(least, _)| waits < least) {
                chosen = Some((waits, worker));
            }
            drawn = hash::of(&drawn.to_le_bytes());
        }
        chosen.map(|(_, worker)| worker)
    }

    /// Requests of this node that wait for a slot of an endpoint at its owner.
    fn asked_for(&self, worker: &Worker) -> usize {
        let questions = self.questions.values();
        questions
            .filter(|question| question.endpoint == Some(worker.number))
            .count()
    }

    /// What waits at the owner of an endpoint that names a rate limit, as far as it told
    /// and as this node asked since, by what all endpoints take whose limits it keeps.
    fn waiting_at_owner(&self, now: Time, pool: &Pool, worker: &Worker) -> f64 {
        let owner_of = |worker: &Worker| self.slot_owner(now, pool, Some(worker.number));
        let owner = owner_of(worker);
        let kept = pool.workers.iter().filter(|other| owner_of(other) == owner);
        let limits = kept.filter_map(|other| other.rate_limit.limit_opt());
        let rate: f64 = limits.map(Limit::per_second).sum();
        let told = match owner {
            Owner::Local => pool.queue.len(),
            Owner::Remote(owner) => self.members.waiting_at(owner, pool.number),
            Owner::Unreachable => 0,
        };
        (told + self.asked_for(worker) + 1) as f64 / rate
    }

    /// Asks an owner for a slot. Without the request itself, which then waits
    /// here as well, only for one that is to spare.
    pub(super) fn ask(&mut self, now: Time, id: job::Id, asked: Asked, job: Option<Job>) {
        self.next_question += 1;
        let question = Question {
            number: self.next_question,
            owner: asked.owner,
            endpoint: asked.endpoint,
            asked: now,
            unanswered: 0,
            job,
        };
        self.questions.insert(id, question);
        self.send_question(now, id);
    }

    fn send_question(&mut self, now: Time, id: job::Id) {
        let Some(question) = self.questions.get_mut(&id) else {
            return;
        };
        question.asked = now;
        question.unanswered += 1;
        let question = &self.questions[&id];
        let target = self.places.get(&id);
        let pool = target.and_then(|target| self.pools.get(target));
        let waiting = pool.and_then(|pool| pool.queue.get(id));
        let Some((pool, job)) = pool.zip(question.job.as_ref().or(waiting)) else {
            return;
        };
        let request = lease::Request {
            incarnation: self.options.incarnation,
            number: question.number,
            fingerprint: job.fingerprint,
            service: pool.number,
            endpoint: question.endpoint,
            spare: question.job.is_none(),
            rank: job.rank,
            tried_for: job.arrived.since(job.first_try),
            age: now.since(job.arrived),
            within: job.deadline.since(job.arrived),
            objective: job.objective,
            patience: job.patience,
            pause: job.pause,
            prompt: job.prompt.clone(),
            tried: job.history.tried.clone(),
            avoided: self.avoided(now, pool, job),
        };
        let message = Message::Lease(Box::new(request));
        self.outbox.push((question.owner, message));
    }

    /// Endpoints of a service that want nothing from the node which has a request.
    fn avoided(&self, now: Time, pool: &Pool, job: &Job) -> Vec<u32> {
        if job.origin.is_some() {
            return job.avoided.clone();
        }
        let workers = pool.workers.iter().filter(|worker| worker.listed);
        let rest =
            workers.filter(|worker| worker.rest.is_resting(now) || worker.rest.is_on_trial());
        rest.map(|worker| worker.number)
            .take(AVOIDED_MOST)
            .collect()
    }

    /// Repeats questions that were not answered, and turns to other owners where
    /// one does not answer or owns the slots no longer.
    pub(super) fn renew_questions(&mut self, now: Time) {
        let open: Vec<job::Id> = self.questions.keys().copied().collect();
        for id in open {
            self.renew_question(now, id);
        }
    }

    fn renew_question(&mut self, now: Time, id: job::Id) {
        if self.asks_for_closed(now, id) {
            if let Some(Question { job: Some(job), .. }) = self.withdraw(id) {
                self.submit(now, id, job);
            }
            return;
        }
        let Some(question) = self.questions.get(&id) else {
            return;
        };
        let since = now.since(question.asked);
        let answered = question.unanswered == 0;
        if since < ANSWER_WITHIN || (answered && since < RENEW_EVERY) {
            return;
        }
        let Some(job) = &question.job else {
            // A slot to spare is no longer of use after so long.
            self.denied.insert(question.owner, now);
            self.withdraw(id);
            return;
        };
        if job.latest() <= now + self.options.policy.least_left {
            let refusal = self.too_late(now, job);
            self.withdraw(id);
            self.refuse(now, id, None, refusal);
            return;
        }
        let silent = question.unanswered >= UNANSWERED_MOST;
        if silent {
            self.members.record_unanswered(now, question.owner);
        }
        if silent || (answered && !self.is_still_owner(now, id)) {
            if let Some(Question { job: Some(job), .. }) = self.withdraw(id) {
                self.submit(now, id, job);
            }
            return;
        }
        self.send_question(now, id);
    }

    /// True where a request waits at the owner of one endpoint that is closed, or rests. In
    /// a fleet of one cell the owner gives it any that is its own.
    fn asks_for_closed(&self, now: Time, id: job::Id) -> bool {
        let question = self.questions.get(&id).filter(|one| one.job.is_some());
        let asked = question.and_then(|question| question.endpoint);
        let Some((endpoint, target)) = asked.zip(self.places.get(&id)) else {
            return false;
        };
        let worker = self.worker_opt(target, endpoint);
        let is_closed = |worker: &Worker| !worker.is_open() || worker.rest.is_resting(now);
        !self.members.cell().covers_fleet && worker.is_some_and(is_closed)
    }

    /// What is known of the endpoint of a service that has a number.
    pub(super) fn worker_opt(&self, target: &id::Target, number: u32) -> Option<&Worker> {
        let pool = self.pools.get(target)?;
        pool.workers.get(pool.worker_opt(number)?)
    }

    /// True where the node that was asked owns the slots that were asked for.
    fn is_still_owner(&self, now: Time, id: job::Id) -> bool {
        let Some(question) = self.questions.get(&id) else {
            return false;
        };
        let target = self.places.get(&id);
        let pool = target.and_then(|target| self.pools.get(target));
        let Some((pool, job)) = pool.zip(question.job.as_ref()) else {
            return false;
        };
        if self.members.cell().covers_fleet && !self.is_limited_throughout(now, pool, job) {
            return false;
        }
        if self.is_displaced(pool, job) {
            let mut hosts = self.host_owners(now, pool, job).into_iter();
            return hosts.any(|(owner, _)| owner == question.owner);
        }
        self.slot_owner(now, pool, question.endpoint) == Owner::Remote(question.owner)
    }

    /// Takes a question back, with its request.
    pub(super) fn withdraw(&mut self, id: job::Id) -> Option<Question> {
        let question = self.questions.remove(&id)?;
        self.return_slot(question.owner, question.number, End::Abandoned);
        Some(question)
    }

    /// Tells an owner that a slot, or a place in its queue, is not used.
    pub(super) fn return_slot(&mut self, owner: SocketAddrV4, number: u64, end: End) {
        let seen = Seen::default();
        self.report(owner, number, lease::Event::Ended { end, seen });
    }

    pub(super) fn report(&mut self, owner: SocketAddrV4, number: u64, event: lease::Event) {
        let report = lease::Report { number, event };
        self.outbox.push((owner, Message::Report(report)));
    }

    /// Puts requests in another queue that wait here for one endpoint which takes
    /// no work any more. Other nodes' are denied when they next ask.
    pub(super) fn resubmit_stuck(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target).filter(|pool| pool.shared) else {
            return;
        };
        let waiting = pool.queue.iter();
        let is_stuck = |number| {
            let worker = self.worker_opt(target, number);
            !worker.is_some_and(|worker| worker.takes_work(now, &self.options.worker))
        };
        let stuck =
            waiting.filter(|(_, job)| job.origin.is_none() && job.only.is_some_and(is_stuck));
        let stuck: Vec<job::Id> = stuck.map(|(id, _)| id).collect();
        for id in stuck {
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                continue;
            };
            self.submit(now, id, Job { only: None, ..job });
        }
    }
}
