//! Requests come: refused where they would wait too long, or put in line.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Decision;
use super::Dispatcher;
use super::Pool;
use super::publish::pool;
use crate::configuration::Rank;
use crate::job;
use crate::job::Job;
use crate::lease::Answer;
use crate::lease::Origin;
use crate::message::Waiting;

/// Why a request is refused, and when its caller may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When to come back, where time can mend it.
    pub retry_after: Option<Span>,
    /// The wait that was expected, where that decided it.
    pub wait: Option<Span>,
    /// The node that decided it, where it was another.
    pub owner: Option<SocketAddrV4>,
}

/// How long something must have waited before the rate at which requests start
/// tells more than the endpoints' slots.
const BUSY_LEAST: Span = Span::from_millis(200);

/// Time left from which it makes sense to come back.
const COME_BACK_FROM: Span = Span::from_millis(300);

impl Dispatcher {
    /// The time for which a caller has tried, at the least, that has so much `left`
    /// of its route's `timeout`.
    pub fn tried_for(&mut self, now: Time, left: Span, timeout: Span) -> Span {
        self.first_tries.learn(now, left, timeout);
        self.first_tries.tried_for(left, timeout)
    }

    /// Puts a request in line. What becomes of it is decided at once or later.
    pub fn enter(&mut self, now: Time, job: Job) -> job::Id {
        self.accounts.begin(now);
        self.next_job += 1;
        let id = job::Id(self.next_job);
        self.budget.earn(now, &job.target);
        pool(&mut self.pools, &self.options.warm, &job.target);
        self.submit(now, id, job);
        id
    }

    /// Puts a request in this node's queue, unless it is refused at the door.
    pub(super) fn enqueue(&mut self, now: Time, id: job::Id, job: Job) {
        let refusal = match job.is_newcomer() {
            true => self.verdict(now, &job),
            false => None,
        };
        if let Some(refusal) = refusal {
            self.refuse(now, id, job.origin, refusal);
            return;
        }
        let target = job.target.clone();
        self.push(now, id, job);
        self.place(now, &target);
    }

    /// Tells the one who has a request that it is refused.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: job::Id,
        origin: Option<Origin>,
        refusal: Refusal,
    ) {
        self.places.remove(&id);
        match origin {
            None => {
                self.first_tries.note_refused(now);
                self.decisions.push(Decision::Refuse { job: id, refusal });
            }
            Some(origin) => {
                self.remote.remove(&origin);
                self.reply(origin, Answer::Refused(refusal));
            }
        }
    }

    /// What a caller is told whose request found no slot in time. It has waited so
    /// long that the queue is taken to last as long again. Who has hardly any time
    /// left is not asked to come again.
    pub(super) fn too_late(&self, now: Time, job: &Job) -> Refusal {
        let left = job.deadline.since(now);
        let waited = now.since(job.arrived);
        let retry_after = || self.retry_after_estimate(now, waited, left);
        Refusal {
            code: Code::TooLate,
            retry_after: (left > COME_BACK_FROM).then(retry_after),
            wait: None,
            owner: None,
        }
    }

    pub(super) fn push(&mut self, now: Time, id: job::Id, job: Job) {
        let target = job.target.clone();
        if let Some(pool) = self.pools.get_mut(&target) {
            self.places.insert(id, target);
            pool.queue.push(now, id, job);
            self.urgent = true;
        }
    }

    /// Says why a newcomer is refused at once, if it is.
    fn verdict(&self, now: Time, job: &Job) -> Option<Refusal> {
        let left = job.deadline.since(now);
        let waiting: usize = self.pools.values().map(|pool| pool.queue.len()).sum();
        let wait = self.wait(now, job);
        if waiting >= self.options.policy.queue_limit {
            return Some(Refusal {
                code: Code::QueueFull,
                retry_after: Some(self.retry_after_estimate(now, wait, left)),
                wait: Some(wait),
                owner: None,
            });
        }
        // For one that was refused before, late is better than never.
        let most = match job.is_returning() {
            true => job.patience.0 as f64,
            false => job.objective.0 as f64 * self.options.policy.refuse_beyond,
        };
        let answer = self.pools.get(&job.target).map(Pool::usual_answer);
        let expected = (wait + answer.unwrap_or(Span::ZERO)).0 as f64;
        (wait > Span::ZERO && expected > most).then(|| Refusal {
            code: Code::TooLate,
            retry_after: Some(self.retry_after_estimate(now, wait, left)),
            wait: Some(wait),
            owner: None,
        })
    }

    /// The time until a newcomer of this rank would start, if those before it
    /// went on starting as fast as lately. Starts count only since something has
    /// waited: before, they tell how many requests came, not how many could
    /// begin. Where none has started, as long again for each as the first has
    /// waited.
    pub(super) fn wait(&self, now: Time, job: &Job) -> Span {
        let Some(pool) = self.pools.get(&job.target) else {
            return Span::ZERO;
        };
        let Some(busy_since) = pool.queue.busy_since_opt(job.rank) else {
            return Span::ZERO;
        };
        let busy = now.since(busy_since);
        if busy < BUSY_LEAST {
            return self.wait_by_slots(now, pool, job.rank);
        }
        let waiting = pool.queue.count(job.rank) as u64;
        let window = self.options.policy.rate_window.min(busy);
        let started = pool.started(now, job.rank, window);
        let by_rate = (window.0 * waiting).checked_div(started);
        let since = pool.queue.first_arrival_opt(job.rank).unwrap_or(now);
        by_rate.map_or(Span(now.since(since).0 * (waiting + 1)), Span)
    }

    /// The time in which the slots of all usable endpoints would take up what
    /// waits now, here and on other nodes, and does not go behind this rank.
    fn wait_by_slots(&self, now: Time, pool: &Pool, rank: Rank) -> Span {
        let goes_before = |other: Rank| other <= rank;
        let here = pool.queue.counts().filter(|(other, _)| goes_before(*other));
        let here: usize = here.map(|(_, count)| count).sum();
        let others = self.others_waiting(now, pool.number);
        let others = others.filter(|waiting| goes_before(waiting.rank));
        let others: usize = others.map(|waiting| usize::from(waiting.count)).sum();
        let waiting = here + others;
        let slots = pool.usable_slots(now, &self.options.worker).max(1);
        Span((waiting as f64 * pool.call / f64::from(slots)) as u64)
    }

    /// What waits for a service on other nodes of this cell, as heard lately.
    pub(super) fn others_waiting(
        &self,
        now: Time,
        service: u32,
    ) -> impl Iterator<Item = &Waiting> + '_ {
        let fresh = self.options.policy.waiting_fresh;
        let members = self.members.cell_members(now).map(|(_, member)| member);
        let heard = members
            .filter(move |member| member.last_heard.is_some_and(|at| now.since(at) <= fresh));
        let waiting = heard.flat_map(|member| &member.status.waiting);
        waiting.filter(move |waiting| waiting.service == service)
    }
}
