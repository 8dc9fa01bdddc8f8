//! Predicts the wait of a request from the requests that precede it in the queue, and decides
//! whether it is queued, held although it will be late, or refused.

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Refusal;
use super::flow::Rate;
use crate::configuration::Rank;
use crate::job;
use crate::job::Job;
use crate::member::Owner;
use crate::member::Scope;
use crate::queue::Position;
use crate::worker::Worker;

/// How long a queue must have been non-empty before the start rate predicts the wait
/// better than the endpoints' slots do.
pub(super) const MIN_BUSY_FOR_RATE: Span = Span::from_millis(200);

/// The part of the predicted wait that is added before a late request is held. One second of
/// starts at 40 a second varies by a sixth, and holding a request in vain costs its caller more
/// than an immediate refusal.
const ERROR_MARGIN: f64 = 0.25;

/// The longest predicted wait. Stands for a queue that does not drain.
const MAX_WAIT: Span = Span::from_secs(60);

/// What determines when a request is started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// The number of waiting requests that precede it.
    pub ahead: usize,
    /// The rate at which these and the request itself are started.
    pub starts: Rate,
    /// The rate at which further requests arrive that will precede it.
    pub arrivals: Rate,
}

impl Backlog {
    /// The time until the requests ahead and the request itself have been started. Zero with none
    /// ahead. Without its own start, 458 rather than 323 requests were admitted in vain in six
    /// seconds of twice the capacity.
    pub fn wait(self) -> Span {
        if self.ahead == 0 {
            return Span::ZERO;
        }
        let drain = self.starts.0 - self.arrivals.0;
        if drain <= 0.0 {
            return MAX_WAIT;
        }
        let seconds = (self.ahead + 1) as f64 / drain;
        Span((seconds * Span::from_secs(1).0 as f64) as u64).min(MAX_WAIT)
    }
}

/// The times that a request still has, and those that it takes once started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The time left to meet the objective.
    pub objective: Span,
    /// The time left until the caller needs a first event or an answer.
    pub expiry: Span,
    /// The time left until the whole answer must have arrived.
    pub deadline: Span,
    /// The typical time from the start to what the objective applies to.
    pub response: Span,
    /// The typical time from the start to the end of the answer.
    pub completion: Span,
}

impl Limits {
    /// Whether a request that waits this long can be answered before its caller's deadline.
    pub fn allow(self, wait: Span) -> bool {
        wait + self.response <= self.expiry && wait + self.completion <= self.deadline
    }
}

/// The decision about a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is queued and expected to meet its objective.
    InTime,
    /// It is queued although it will be late.
    Held,
    /// It is refused.
    Refused,
}

/// Decides about a new request. `own` is what precedes it in the queue, and `all` also includes the
/// late requests of its rank and all that arrive there.
pub fn decide(own: Backlog, all: Backlog, limits: Limits) -> Outcome {
    let wait = own.wait();
    if wait == Span::ZERO || wait + limits.response <= limits.objective {
        return Outcome::InTime;
    }
    let wait = all.wait();
    let margin = Span((wait.0 as f64 * ERROR_MARGIN) as u64);
    match limits.allow(wait + margin) {
        true => Outcome::Held,
        false => Outcome::Refused,
    }
}

impl Dispatcher {
    /// Whether the forecast by position decides about the requests of a service.
    pub(super) fn forecasts_by_position(&self, pool: &Pool) -> bool {
        let policy = &self.options.policy;
        policy.position_forecast.applies(pool.has_variable_capacity)
    }

    /// Returns from when on a request counts as late. The time of a first try is an estimate, which
    /// is wrong for most requests where callers have deadlines of their own. Where the forecast
    /// decides, it only puts a request ahead, and lateness counts from the arrival.
    pub(super) fn late_at(&self, job: &Job) -> Time {
        let pool = self.pools.get(&job.target);
        match pool.is_some_and(|pool| self.forecasts_by_position(pool)) {
            true => job.arrived + job.objective,
            false => job.objective_deadline(),
        }
    }

    /// Whether a request is queued behind those of its rank that can be in time.
    fn is_late(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        let answer = pool.typical_response_time();
        self.options.policy.late_last && self.late_at(job) <= now + answer
    }

    /// Counts the arrival of a new request.
    pub(super) fn record_arrival(&mut self, now: Time, job: &Job) {
        let pool = self.pools.get(&job.target);
        let is_late = pool.is_some_and(|pool| self.is_late(now, pool, job));
        let Some(pool) = self.pools.get_mut(&job.target) else {
            return;
        };
        pool.flow.record_arrival(now, job.rank, is_late);
    }

    /// Returns the refusal for a new request that can't be answered in time, and counts the
    /// outcome.
    pub(super) fn position_refusal(&mut self, now: Time, job: &Job) -> Option<Refusal> {
        let pool = self.pools.get(&job.target)?;
        let own = self.backlog_of(now, pool, job, self.is_late(now, pool, job));
        let all = self.backlog_with_all_arrivals(now, pool, job.rank, None);
        let outcome = match decide(own, all, limits(now, pool, job)) {
            Outcome::Refused if self.may_get_spare_slot(now, job) => Outcome::Held,
            outcome => outcome,
        };
        let flow = &mut self.pools.get_mut(&job.target)?.flow;
        match outcome {
            Outcome::InTime => return None,
            Outcome::Held => {
                flow.held += 1;
                return None;
            }
            Outcome::Refused => flow.refused += 1,
        }
        Some(self.forecast_refusal(now, job, own.wait()))
    }

    /// Returns the time that a new request of a rank is predicted to wait, if it is queued behind
    /// those of its rank that can be in time. Works with any setting.
    pub(super) fn predicted_wait(&self, now: Time, pool: &Pool, rank: Rank) -> Span {
        let ahead = pool.queue.count_above(rank) + pool.queue.count_in_time(rank);
        self.backlog(now, pool, rank, false, ahead).wait()
    }

    /// Returns the predicted wait of a new request of the least protected rank that has waiting
    /// requests.
    pub(super) fn longest_predicted_wait(&self, now: Time, pool: &Pool) -> Span {
        let rank = pool.queue.counts().map(|(rank, _)| rank).max();
        rank.map_or(Span::ZERO, |rank| self.predicted_wait(now, pool, rank))
    }

    /// Refuses late requests that can no longer be answered before their callers' deadlines.
    pub(super) fn refuse_infeasible(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        if pool.queue.is_empty() || !self.forecasts_by_position(pool) {
            return;
        }
        let ranks: Vec<Rank> = pool.queue.counts().map(|(rank, _)| rank).collect();
        for rank in ranks {
            for (id, wait) in self.infeasible(now, target, rank) {
                let Some(pool) = self.pools.get_mut(target) else {
                    return;
                };
                let Some(job) = pool.queue.remove(id) else {
                    continue;
                };
                pool.flow.dropped += 1;
                self.cancel_open_request(id);
                let refusal = self.forecast_refusal(now, &job, wait);
                self.refuse_and_book(now, id, &job, refusal);
            }
        }
    }

    /// Returns the late requests of a rank that are not feasible, with their predicted waits.
    /// Requests that were offered to an endpoint before are kept until their time runs out.
    fn infeasible(&self, now: Time, target: &id::Target, rank: Rank) -> Vec<(job::Id, Span)> {
        let Some(pool) = self.pools.get(target) else {
            return Vec::new();
        };
        let mut late = pool.queue.late(rank).peekable();
        if late.peek().is_none() {
            return Vec::new();
        }
        let ahead = pool.queue.count_above(rank) + pool.queue.count_in_time(rank);
        let mut backlog = self.backlog_with_all_arrivals(now, pool, rank, Some(ahead));
        let mut infeasible = Vec::new();
        for (id, job) in late {
            let limits = limits(now, pool, job);
            if job.is_untried() && !limits.allow(backlog.wait()) {
                infeasible.push((id, backlog.wait()));
            } else {
                backlog.ahead += 1;
            }
        }
        infeasible
    }

    fn forecast_refusal(&self, now: Time, job: &Job, wait: Span) -> Refusal {
        let remaining = job.deadline.since(now);
        Refusal {
            wait: Some(wait),
            retry_after: Some(self.retry_after_estimate(now, wait, remaining)),
            ..self.too_late_refusal(now, job)
        }
    }

    /// Returns what precedes a new request at its own position.
    pub(super) fn backlog_of(&self, now: Time, pool: &Pool, job: &Job, is_late: bool) -> Backlog {
        let tag = pool.preview_tag(now, job);
        let position = Position::new(job, tag, is_late, job::Id(u64::MAX));
        let ahead = pool.queue.count_before(&position);
        self.backlog(now, pool, job.rank, is_late, ahead)
    }

    /// Returns what precedes a request of a rank with this many waiting requests ahead of it.
    fn backlog(&self, now: Time, pool: &Pool, rank: Rank, is_late: bool, ahead: usize) -> Backlog {
        let (starts, from) = self.start_rate(now, pool, rank);
        // Arrivals are counted over the same time as starts, so that requests of more protected
        // ranks that came and were started cancel out.
        let arrivals = pool.flow.arrivals(now, from, |other, other_late| {
            other < rank || (other == rank && is_late && !other_late)
        });
        Backlog {
            ahead: ahead + self.ahead_elsewhere(now, pool, rank),
            starts,
            arrivals,
        }
    }

    /// Returns the backlog of the last request of a rank, or of one with `ahead` requests ahead,
    /// if all requests that keep arriving in its rank precede it.
    fn backlog_with_all_arrivals(
        &self,
        now: Time,
        pool: &Pool,
        rank: Rank,
        ahead: Option<usize>,
    ) -> Backlog {
        let ahead = ahead.unwrap_or(pool.queue.count_above(rank) + pool.queue.count(rank));
        Backlog {
            ahead: ahead + self.ahead_elsewhere(now, pool, rank),
            starts: self.start_rate(now, pool, rank).0,
            arrivals: pool.flow.sustained_arrivals(now, rank),
        }
    }

    /// Returns the rate at which requests of ranks up to this one are started, and since when it
    /// was measured. Until the queue is old enough, it is the rate that the slots allow.
    fn start_rate(&self, now: Time, pool: &Pool, rank: Rank) -> (Rate, Time) {
        let window_start = now - self.options.policy.rate_window;
        let ranks = pool.queue.counts().filter(|(other, _)| *other <= rank);
        let since = ranks.filter_map(|(other, _)| pool.queue.busy_since_opt(other));
        let busy_since = since.min().unwrap_or(now);
        if now.since(busy_since) < MIN_BUSY_FOR_RATE {
            let slots = f64::from(self.granted_slots(now, pool).max(1));
            let call = Span(pool.call_us as u64).max(Span(1));
            return (Rate(slots / call.as_secs_f64()), window_start);
        }
        let from = window_start.max(busy_since);
        (pool.flow.starts(now, from, rank), from)
    }

    /// Counts the slots of usable endpoints that requests in this node's queue may get.
    fn granted_slots(&self, now: Time, pool: &Pool) -> u32 {
        if !pool.shared || self.members.cell().covers_fleet {
            return pool.usable_slots(now, &self.options.worker);
        }
        let is_owner = |worker: &&Worker| {
            let owner = self
                .members
                .owner(now, Scope::Fleet, u64::from(worker.number));
            worker.is_lendable(now, &self.options.worker) && owner == Owner::Local
        };
        let owned = pool.workers.iter().filter(is_owner);
        owned.map(|worker| pool.slots_of(now, worker)).sum()
    }

    /// Counts the requests that compete for the same slots from the queues of other nodes and do
    /// not rank behind this one. Only in a fleet of one cell does each node queue its own requests.
    fn ahead_elsewhere(&self, now: Time, pool: &Pool, rank: Rank) -> usize {
        if !self.members.cell().covers_fleet {
            return 0;
        }
        // Once there is a rate of starts, it is this node's share of all starts.
        let is_new = |other| {
            let busy_since = pool.queue.busy_since_opt(other);
            busy_since.is_none_or(|since| now.since(since) < MIN_BUSY_FOR_RATE)
        };
        if !pool.queue.counts().all(|(other, _)| is_new(other)) {
            return 0;
        }
        let elsewhere = self.waiting_elsewhere(now, pool.number);
        let elsewhere = elsewhere.filter(|waiting| waiting.rank <= rank);
        elsewhere.map(|waiting| usize::from(waiting.count)).sum()
    }
}

/// Returns the times that a request has.
fn limits(now: Time, pool: &Pool, job: &Job) -> Limits {
    let response = pool.typical_response_time();
    Limits {
        objective: (job.arrived + job.objective).since(now),
        expiry: job.expires_at().since(now),
        deadline: job.deadline.since(now),
        response,
        completion: response.max(Span(pool.call_us as u64)),
    }
}
