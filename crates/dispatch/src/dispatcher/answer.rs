//! What becomes of an owner's answers about slots.

use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Reason;
use super::Refusal;
use crate::job;
use crate::job::End;
use crate::job::Job;
use crate::lease;
use crate::lease::Answer;
use crate::lease::Lease;
use crate::lease::Reply;
use crate::worker::Worker;

/// How long an endpoint is left alone whose owner had no use for a request.
const UNUSABLE_FOR: Span = Span::from_millis(200);

/// A slot that is of no use to the node that it was given to.
struct Unusable {
    /// What the owner is told.
    end: End,
    /// True where the request is not to be offered to this endpoint again.
    is_tried: bool,
}

impl Dispatcher {
    /// Takes an owner's answer.
    pub fn take_reply(&mut self, now: Time, from: SocketAddrV4, reply: Reply) {
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
                let owner = Some(from);
                self.refuse(now, id, None, Refusal { owner, ..refusal });
            }
            Answer::Denied => self.take_denial(now, id),
        }
    }

    /// Gives a slot back that nobody here waits for any more.
    fn return_unwanted(&mut self, from: SocketAddrV4, reply: &Reply) {
        let in_use = self.runs.values().any(|run| {
            let lease = run.lease;
            lease.is_some_and(|lease| lease.owner == from && lease.number == reply.number)
        });
        if matches!(reply.answer, Answer::Granted { .. }) && !in_use {
            self.return_slot(from, reply.number, End::Abandoned);
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
            self.return_slot(question.owner, question.number, End::Abandoned);
            return;
        };
        let Some(worker) = worker else {
            // The owner's list is newer than this node's.
            self.return_slot(question.owner, question.number, End::Abandoned);
            self.push(now, id, job);
            self.place(now, &target);
            return;
        };
        let known = &self.pools[&target].workers[worker];
        if let Some(unusable) = self.unusable_opt(now, question.owner, &job, known) {
            if unusable.is_tried {
                job.history.tried.push(known.number);
            }
            self.return_slot(question.owner, question.number, unusable.end);
            self.submit(now, id, job);
            return;
        }
        let incarnation = self.members.incarnation_opt(now, question.owner);
        let lease = Lease {
            owner: question.owner,
            incarnation: incarnation.unwrap_or(0),
            number: question.number,
        };
        self.run(now, id, job, worker, Some(lease), reason);
    }

    /// Why this node gives back a slot that an owner gave it; none where it uses the slot.
    fn unusable_opt(
        &self,
        now: Time,
        owner: SocketAddrV4,
        job: &Job,
        worker: &Worker,
    ) -> Option<Unusable> {
        if !worker.is_staying() {
            // This node's list is newer than the owner's.
            return Some(Unusable {
                end: End::NotThere,
                is_tried: true,
            });
        }
        // The owner may see another fleet, and does not know where the request may run.
        let barred = worker.evacuated || !self.may_run_at(job, worker);
        if barred || !self.may_use_slot(owner, worker) {
            return Some(Unusable {
                end: End::Abandoned,
                is_tried: true,
            });
        }
        // An owner that is told so gives another; one of a build before does not know.
        worker.rest.is_resting(now).then(|| Unusable {
            end: End::Abandoned,
            is_tried: !self.members.supports_notices(owner),
        })
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

    /// Tells an owner that asks whether a request still has its slot.
    pub fn answer_check(&mut self, from: SocketAddrV4, check: lease::Check) {
        let runs = self.runs.values().filter_map(|run| run.lease);
        let mut leases = runs.map(|lease| (lease.owner, lease.number));
        let questions = self.questions.values();
        let mut questions = questions.map(|question| (question.owner, question.number));
        let asked = (from, check.number);
        if leases.any(|lease| lease == asked) || questions.any(|question| question == asked) {
            self.report(from, check.number, lease::Event::Held);
        } else {
            self.return_slot(from, check.number, End::Abandoned);
        }
    }
}
