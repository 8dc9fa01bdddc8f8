//! Slots that another node owns: which node is asked for a request's slot, and
//! what becomes of its answers.

use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Choice;
use super::Decision;
use super::Dispatcher;
use super::Pool;
use super::Reason;
use crate::job;
use crate::job::End;
use crate::job::History;
use crate::job::Job;
use crate::lease;
use crate::lease::Answer;
use crate::lease::Lease;
use crate::lease::Reply;
use crate::lease::Seen;
use crate::member::Owner;
use crate::member::Scope;
use crate::message::Message;
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

/// Open questions of one service for slots of other cells.
const SPARE_MOST: usize = 8;

/// How long a cell that had no slot to spare is not asked again.
const DENIED_FOR: Span = Span::from_millis(200);

/// How long an endpoint is left alone whose owner had no use for a request.
const UNUSABLE_FOR: Span = Span::from_millis(200);

/// A request of this node for which an owner was asked for a slot.
#[derive(Debug)]
pub(super) struct Question {
    /// Names it to the owner.
    number: u64,
    owner: std::net::SocketAddrV4,
    /// The endpoint that it is about, where its owner has just that one.
    endpoint: Option<u32>,
    /// When it was last asked.
    asked: Time,
    /// How often it was asked since there was an answer.
    unanswered: u32,
    /// The request; none where it waits in this node's own queue as well.
    job: Option<Job>,
}

/// Who is asked for a slot.
struct Asked {
    owner: std::net::SocketAddrV4,
    endpoint: Option<u32>,
}

/// Where a request's slot is decided.
enum Place {
    Here { only: Option<u32> },
    There(Asked),
}

impl Dispatcher {
    /// Puts a request in the queue that it belongs to: here, or at the owner of
    /// the slots that it may have.
    pub(super) fn submit(&mut self, now: Time, id: job::Id, mut job: Job) {
        match self.place_of(now, &job) {
            Place::Here { only } => {
                job.only = only;
                self.enqueue(now, id, job);
            }
            Place::There(asked) => {
                self.places.insert(id, job.target.clone());
                self.ask(now, id, asked, Some(job));
            }
        }
    }

    fn place_of(&self, now: Time, job: &Job) -> Place {
        let here = Place::Here { only: None };
        if self.members.cell().whole {
            return here;
        }
        let Some(pool) = self.pools.get(&job.target) else {
            return here;
        };
        if !pool.shared {
            let owner = self.members.owner(now, Scope::Cell, u64::from(pool.number));
            return match owner {
                Owner::Own | Owner::Unheard => here,
                Owner::Other(owner) => Place::There(Asked {
                    owner,
                    endpoint: None,
                }),
            };
        }
        let Some(worker) = self.shared_worker(now, pool, job) else {
            return here;
        };
        let key = u64::from(worker.number);
        match self.members.owner(now, Scope::Fleet, key) {
            Owner::Unheard => here,
            Owner::Own => Place::Here {
                only: Some(worker.number),
            },
            Owner::Other(owner) => Place::There(Asked {
                owner,
                endpoint: Some(worker.number),
            }),
        }
    }

    /// An endpoint of a service that all cells share: of two taken by chance,
    /// the one for which this node has fewer requests waiting (Mitzenmacher, the
    /// power of two choices).
    fn shared_worker<'a>(&self, now: Time, pool: &'a Pool, job: &Job) -> Option<&'a Worker> {
        let options = &self.options.worker;
        let usable = pool.workers.iter().filter(|worker| {
            worker.takes_work(now, options) && !job.history.tried.contains(&worker.endpoint.name)
        });
        let usable: Vec<&Worker> = usable.collect();
        let waiting = |worker: &Worker| {
            let questions = self.questions.values();
            questions
                .filter(|question| question.endpoint == Some(worker.number))
                .count()
        };
        let seed = hash::chain(self.options.incarnation, &self.next_question.to_le_bytes());
        let pick = |seed: u64| {
            let at = seed.checked_rem(usable.len() as u64)?;
            usable.get(at as usize).copied()
        };
        let (one, other) = (pick(seed)?, pick(hash::of(&seed.to_le_bytes()))?);
        Some(match waiting(other) < waiting(one) {
            true => other,
            false => one,
        })
    }

    /// Asks an owner for a slot. Without the request itself, which then waits
    /// here as well, only for one that is to spare.
    fn ask(&mut self, now: Time, id: job::Id, asked: Asked, job: Option<Job>) {
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
        let tried = job.history.tried.iter();
        let request = lease::Request {
            incarnation: self.options.incarnation,
            number: question.number,
            service: pool.number,
            endpoint: question.endpoint,
            spare: question.job.is_none(),
            rank: job.rank,
            age: now.since(job.arrived),
            within: job.deadline.since(job.arrived),
            objective: job.objective,
            patience: job.patience,
            pause: job.pause,
            returning: job.returning,
            prompt: job.prompt.clone(),
            tried: tried.map(crate::endpoint::to_number).collect(),
        };
        let message = Message::Lease(Box::new(request));
        self.outbox.push((question.owner, message));
    }

    /// Takes an owner's answer.
    pub fn take_reply(&mut self, now: Time, from: std::net::SocketAddrV4, reply: Reply) {
        let mut questions = self.questions.iter();
        let found = questions
            .find(|(_, question)| question.number == reply.number && question.owner == from);
        let Some(id) = found.map(|(id, _)| *id) else {
            self.return_unwanted(from, &reply);
            return;
        };
        match reply.answer {
            Answer::Waiting => {
                if let Some(question) = self.questions.get_mut(&id) {
                    question.unanswered = 0;
                }
            }
            Answer::Granted { endpoint, reason } => self.use_slot(now, id, endpoint, reason),
            Answer::Refused(refusal) => {
                self.questions.remove(&id);
                self.places.remove(&id);
                self.decisions.push(Decision::Refuse { job: id, refusal });
            }
            Answer::Denied => self.take_denial(now, id),
        }
    }

    /// Gives a slot back that nobody here waits for any more.
    fn return_unwanted(&mut self, from: std::net::SocketAddrV4, reply: &Reply) {
        let in_use = self.runs.values().any(|run| {
            let lease = run.lease;
            lease.is_some_and(|lease| lease.owner == from && lease.number == reply.number)
        });
        if matches!(reply.answer, Answer::Granted { .. }) && !in_use {
            self.report_ended(from, reply.number, End::Abandoned, Seen::default());
        }
    }

    fn use_slot(&mut self, now: Time, id: job::Id, endpoint: u32, reason: Reason) {
        let Some(question) = self.questions.remove(&id) else {
            return;
        };
        let target = self.places.get(&id).cloned();
        let pool = target
            .as_ref()
            .and_then(|target| self.pools.get_mut(target));
        let Some((pool, target)) = pool.zip(target) else {
            return;
        };
        let worker = pool.worker_opt(endpoint);
        let job = question.job.or_else(|| pool.queue.remove(id));
        let Some(mut job) = job else {
            self.report_ended(
                question.owner,
                question.number,
                End::Abandoned,
                Seen::default(),
            );
            return;
        };
        let Some(worker) = worker else {
            // The owner's list is newer than this node's.
            self.report_ended(
                question.owner,
                question.number,
                End::Abandoned,
                Seen::default(),
            );
            self.push(now, id, job);
            self.place(now, &target);
            return;
        };
        let known = &pool.workers[worker];
        if !known.is_staying() {
            // This node's list is newer than the owner's.
            job.history.tried.push(known.endpoint.name.clone());
            self.report_ended(
                question.owner,
                question.number,
                End::NotThere,
                Seen::default(),
            );
            self.submit(now, id, job);
            return;
        }
        let incarnation = self.members.incarnation_opt(now, question.owner);
        let lease = Lease {
            owner: question.owner,
            incarnation: incarnation.unwrap_or(0),
            number: question.number,
        };
        let choice = Choice {
            uncached: reason.uncached,
            ..Choice::of(worker)
        };
        self.run(now, id, job, choice, Some(lease), reason);
    }

    /// Asks elsewhere, or decides here, after an owner had no slot to give.
    fn take_denial(&mut self, now: Time, id: job::Id) {
        let Some(question) = self.questions.remove(&id) else {
            return;
        };
        let Some(job) = question.job else {
            self.denied.insert(question.owner, now);
            return;
        };
        let pool = self.pools.get_mut(&job.target);
        let worker = pool.zip(question.endpoint).and_then(|(pool, endpoint)| {
            let at = pool.worker_opt(endpoint)?;
            pool.workers.get_mut(at)
        });
        match worker {
            Some(worker) => {
                worker.rests_until = worker.rests_until.max(now + UNUSABLE_FOR);
                self.submit(now, id, job);
            }
            None => self.enqueue(now, id, job),
        }
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
            let left = job.deadline.since(now);
            self.withdraw(id);
            self.places.remove(&id);
            self.refuse(id, Code::TooLate, Some(self.come_back_late(left)));
            return;
        }
        let silent = question.unanswered >= UNANSWERED_MOST;
        if silent {
            self.members.note_unanswered(now, question.owner);
        }
        if silent || (answered && !self.is_still_owner(now, id)) {
            if let Some(Question { job: Some(job), .. }) = self.withdraw(id) {
                self.submit(now, id, job);
            }
            return;
        }
        self.send_question(now, id);
    }

    /// True where the node that was asked owns the slots that were asked for.
    fn is_still_owner(&self, now: Time, id: job::Id) -> bool {
        let Some(question) = self.questions.get(&id) else {
            return false;
        };
        let target = self.places.get(&id);
        let Some(pool) = target.and_then(|target| self.pools.get(target)) else {
            return false;
        };
        let (scope, key) = match question.endpoint {
            Some(endpoint) => (Scope::Fleet, endpoint),
            None => (Scope::Cell, pool.number),
        };
        let owner = self.members.owner(now, scope, u64::from(key));
        !self.members.cell().whole && owner == Owner::Other(question.owner)
    }

    /// Takes a question back, with its request.
    pub(super) fn withdraw(&mut self, id: job::Id) -> Option<Question> {
        let question = self.questions.remove(&id)?;
        self.report_ended(
            question.owner,
            question.number,
            End::Abandoned,
            Seen::default(),
        );
        Some(question)
    }

    pub(super) fn report_ended(
        &mut self,
        owner: std::net::SocketAddrV4,
        number: u64,
        end: End,
        seen: Seen,
    ) {
        let event = lease::Event::Ended { end, seen };
        self.report(owner, number, event);
    }

    pub(super) fn report(
        &mut self,
        owner: std::net::SocketAddrV4,
        number: u64,
        event: lease::Event,
    ) {
        let report = lease::Report { number, event };
        self.outbox.push((owner, Message::Report(report)));
    }

    /// Tells an owner that asks whether a request still has its slot.
    pub fn answer_check(&mut self, from: std::net::SocketAddrV4, check: lease::Check) {
        let runs = self.runs.values().filter_map(|run| run.lease);
        let mut leases = runs.map(|lease| (lease.owner, lease.number));
        let questions = self.questions.values();
        let mut questions = questions.map(|question| (question.owner, question.number));
        let asked = (from, check.number);
        if leases.any(|lease| lease == asked) || questions.any(|question| question == asked) {
            self.report(from, check.number, lease::Event::Held);
        } else {
            self.report_ended(from, check.number, End::Abandoned, Seen::default());
        }
    }

    /// Asks other cells for slots to spare, for requests at the head of the
    /// queue that found none in this cell for a while.
    pub(super) fn seek_spare(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        if self.members.cell().whole || pool.shared || pool.queue.is_empty() {
            return;
        }
        let questions = self.questions.iter();
        let open = questions
            .filter(|(id, question)| question.job.is_none() && self.places.get(id) == Some(target));
        let most = SPARE_MOST.saturating_sub(open.count());
        let without = pool.usable(now, &self.options.worker) == 0;
        let own_cell_for = self.options.policy.own_cell_for;
        let waiting = pool.queue.iter().take(self.options.policy.look_ahead);
        let seeking = waiting.filter(|(id, job)| {
            let waited = without || now.since(job.arrived) >= own_cell_for;
            waited && !self.questions.contains_key(id)
        });
        let seeking: Vec<job::Id> = seeking.map(|(id, _)| id).take(most).collect();
        if seeking.is_empty() {
            return;
        }
        let key = u64::from(pool.number);
        self.denied
            .retain(|_, denied| now.since(*denied) < DENIED_FOR);
        let owners = self.members.other_owners(now, key, self.next_question);
        let mut owners = owners
            .into_iter()
            .filter(|owner| !self.denied.contains_key(owner))
            .collect::<Vec<_>>()
            .into_iter();
        for id in seeking {
            let Some(owner) = owners.next() else {
                return;
            };
            let asked = Asked {
                owner,
                endpoint: None,
            };
            self.ask(now, id, asked, None);
        }
    }

    /// Puts requests in another queue that wait here for one endpoint which takes
    /// no work any more. Other nodes' are denied when they next ask.
    pub(super) fn resubmit_stuck(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target).filter(|pool| pool.shared) else {
            return;
        };
        let waiting = pool.queue.iter();
        let stuck = waiting
            .filter(|(_, job)| job.origin.is_none() && !self.is_usable(now, target, job.only));
        let stuck: Vec<job::Id> = stuck.map(|(id, _)| id).collect();
        for id in stuck {
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                continue;
            };
            self.submit(now, id, Job { only: None, ..job });
        }
    }

    /// True for a request that comes for the first time, so that it may be
    /// refused at the door.
    pub(super) fn is_newcomer(job: &Job) -> bool {
        job.history == History::default()
    }
}
