//! Admission of requests: a request is queued, or refused if it would wait too long.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Admission;
use super::Decision;
use super::Dispatcher;
use super::Pool;
use super::forecast::MIN_BUSY_FOR_RATE;
use super::publish::pool_mut;
use crate::configuration::Rank;
use crate::job;
use crate::job::Job;
use crate::lease::Answer;
use crate::lease::Origin;
use crate::message::Waiting;

/// A refusal of a request, with the time after which its caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// When the caller may retry, if a later attempt can succeed.
    pub retry_after: Option<Span>,
    /// The expected wait, if the request was refused because of it.
    pub wait: Option<Span>,
    /// The node that made the decision, if it was another one.
    pub owner: Option<SocketAddrV4>,
}

/// The minimum remaining time with which a caller is asked to retry.
const MIN_REMAINING_TO_RETRY: Span = Span::from_millis(300);

impl Dispatcher {
    /// Returns the minimum time that a caller has spent on earlier attempts, given that
    /// `remaining` is left of its route's `timeout`.
    pub fn since_first_try(&mut self, now: Time, remaining: Span, timeout: Span) -> Span {
        self.first_tries.learn(now, remaining, timeout);
        self.first_tries.since_first_try(remaining, timeout)
    }

    /// Submits a request. The decision about it is made immediately or later.
    pub fn enter(&mut self, now: Time, job: Job) -> job::Id {
        self.accounts.record_start(now);
        self.next_job += 1;
        let id = job::Id(self.next_job);
        // The node that forwarded a request has counted it.
        if !job.is_forwarded {
            self.budget.record_request(now, &job.target);
        }
        pool_mut(&mut self.pools, &self.options.prefix_cache, &job.target);
        self.submit_bound(now, id, job);
        id
    }

    /// Adds a request to this node's queue, unless admission control refuses it.
    pub(super) fn enqueue(&mut self, now: Time, id: job::Id, mut job: Job) {
        let refusal = match job.is_untried() {
            true => {
                if !job.binding.is_bound() {
                    self.claim_booking(now, id, &mut job);
                }
                self.record_arrival(now, &job);
                self.admission_refusal(now, &job)
            }
            false => None,
        };
        if let Some(refusal) = refusal {
            if self.try_redirect(now, id, &job) {
                return;
            }
            self.refuse_and_book(now, id, &job, refusal);
            return;
        }
        if self.try_redirect_late(now, id, &job) {
            return;
        }
        let target = job.target.clone();
        self.push(now, id, job);
        self.place(now, &target);
        self.request_more_spare_slots(now, &target);
    }

    /// Refuses a request, and books a place for its caller if there is one.
    pub(super) fn refuse_and_book(&mut self, now: Time, id: job::Id, job: &Job, refusal: Refusal) {
        // A place that is booked may be at any endpoint.
        let booking = match job.binding.is_bound() {
            true => None,
            false => self.book(now, job, refusal),
        };
        let refusal = Refusal {
            retry_after: booking.or(refusal.retry_after),
            ..refusal
        };
        let admission = Admission::of(job, true, Some(booking.unwrap_or(Span::ZERO)));
        self.report_refusal(now, id, job.origin, refusal, admission);
    }

    /// Refuses a request without a booking by this node.
    pub(super) fn refuse(&mut self, now: Time, id: job::Id, job: &Job, refusal: Refusal) {
        // A request that waits at another owner may have claimed a booking there.
        let open_request = self.open_requests.get(&id);
        let waits_there = open_request.is_some_and(|open_request| open_request.job.is_some());
        let decided_here = refusal.owner.is_none();
        let booking = decided_here.then_some(Span::ZERO);
        let admission = Admission::of(job, decided_here && !waits_there, booking);
        self.report_refusal(now, id, job.origin, refusal, admission);
    }

    /// Describes a request of this node's callers that still waits, here or at an owner, when its
    /// time runs out.
    pub fn undecided_admission(&self, id: job::Id) -> Admission {
        let open_request = self.open_requests.get(&id);
        let requested = open_request.and_then(|open_request| open_request.job.as_ref());
        let waiting = || self.pools.get(self.targets.get(&id)?)?.queue.get(id);
        let job = requested.or_else(waiting);
        job.map_or_else(Admission::default, |job| {
            Admission::of(job, requested.is_none(), Some(Span::ZERO))
        })
    }

    /// Reports a refusal to the caller, or to the node that the request came from.
    fn report_refusal(
        &mut self,
        now: Time,
        id: job::Id,
        origin: Option<Origin>,
        refusal: Refusal,
        admission: Admission,
    ) {
        self.record_booked_refusal(id);
        self.targets.remove(&id);
        match origin {
            None => {
                self.first_tries.record_refused(now);
                self.decisions.push(Decision::Refuse {
                    job: id,
                    refusal,
                    admission,
                });
            }
            Some(origin) => {
                self.remote_requests.remove(&origin);
                self.send_lease_reply(origin, Answer::Refused(refusal));
            }
        }
    }

    /// Returns the refusal for a request that got no slot in time. The queue is assumed
    /// to last as long as the request has already waited. A caller with little time left
    /// is not asked to retry.
    pub(super) fn too_late_refusal(&self, now: Time, job: &Job) -> Refusal {
        let remaining = job.deadline.since(now);
        let waited = now.since(job.arrived);
        let retry_after = || self.retry_after_estimate(now, waited, remaining);
        Refusal {
            code: Code::TooLate,
            retry_after: (remaining > MIN_REMAINING_TO_RETRY).then(retry_after),
            wait: None,
            owner: None,
        }
    }

    pub(super) fn push(&mut self, now: Time, id: job::Id, job: Job) {
        let target = job.target.clone();
        let fair_shares = self.options.policy.fair_shares;
        let late_at = self.late_at(&job);
        if let Some(pool) = self.pools.get_mut(&target) {
            self.targets.insert(id, target);
            let tag = pool.start_tag(now, id, &job, fair_shares);
            pool.queue.push(now, id, job, tag, late_at);
            self.urgent = true;
        }
    }

    /// Returns the refusal for a new request that must not be queued.
    fn admission_refusal(&mut self, now: Time, job: &Job) -> Option<Refusal> {
        let remaining = job.deadline.since(now);
        let waiting: usize = self.pools.values().map(|pool| pool.queue.len()).sum();
        let wait = self.expected_wait(now, job);
        if waiting >= self.options.policy.queue_limit {
            return Some(Refusal {
                code: Code::QueueFull,
                retry_after: Some(self.retry_after_estimate(now, wait, remaining)),
                wait: Some(wait),
                owner: None,
            });
        }
        if job.is_booked {
            return None;
        }
        let pool = self.pools.get(&job.target);
        if pool.is_some_and(|pool| self.forecasts_by_position(pool)) {
            return self.position_refusal(now, job);
        }
        let answer = self.pools.get(&job.target).map(Pool::typical_response_time);
        let answer = answer.unwrap_or(Span::ZERO);
        let in_time = job.objective.0 as f64 * self.options.policy.refuse_beyond;
        // A caller that was refused before accepts a late answer rather than none, and no wait makes
        // an answer late that would be late without.
        let max_response_time = match job.is_caller_retry() || answer.0 as f64 > in_time {
            true => job.caller_timeout.0 as f64,
            false => in_time,
        };
        let expected_response_time = (wait + answer).0 as f64;
        let is_late = wait > Span::ZERO && expected_response_time > max_response_time;
        (is_late && !self.may_get_spare_slot(now, job)).then(|| Refusal {
            code: Code::TooLate,
            retry_after: Some(self.retry_after_estimate(now, wait, remaining)),
            wait: Some(wait),
            owner: None,
        })
    }

    /// Returns the time until a new request of this rank would start if those ahead of it
    /// kept starting at the recent rate. Starts are counted only since the queue became
    /// non-empty, because before that their rate shows the arrivals and not the capacity.
    /// If none has started since, every request is assumed to take as long as the first
    /// one has waited.
    pub(super) fn expected_wait(&self, now: Time, job: &Job) -> Span {
        let Some(pool) = self.pools.get(&job.target) else {
            return Span::ZERO;
        };
        let Some(busy_since) = pool.queue.busy_since_opt(job.rank) else {
            return Span::ZERO;
        };
        let busy = now.since(busy_since);
        if busy < MIN_BUSY_FOR_RATE {
            return self.expected_wait_by_slots(now, pool, job.rank);
        }
        let waiting = pool.queue.count(job.rank) as u64;
        let window = self.options.policy.rate_window.min(busy);
        let started = pool.started(now, job.rank, window);
        let by_rate = (window.0 * waiting).checked_div(started);
        let since = pool.queue.first_arrival_opt(job.rank).unwrap_or(now);
        by_rate.map_or(Span(now.since(since).0 * (waiting + 1)), Span)
    }

    /// Returns the time in which the slots of all usable endpoints would absorb the
    /// requests that wait now, on this node and elsewhere, and that do not rank behind this
    /// one.
    fn expected_wait_by_slots(&self, now: Time, pool: &Pool, rank: Rank) -> Span {
        let is_preferred_to = |other: Rank| other <= rank;
        let here = pool
            .queue
            .counts()
            .filter(|(other, _)| is_preferred_to(*other));
        let here: usize = here.map(|(_, count)| count).sum();
        let elsewhere = self.waiting_elsewhere(now, pool.number);
        let elsewhere = elsewhere.filter(|waiting| is_preferred_to(waiting.rank));
        let elsewhere: usize = elsewhere.map(|waiting| usize::from(waiting.count)).sum();
        let waiting = here + elsewhere;
        let slots = pool.usable_slots(now, &self.options.worker).max(1);
        Span((waiting as f64 * pool.call_us / f64::from(slots)) as u64)
    }

    /// Returns the requests that wait for a service on other nodes of this cell,
    /// according to recent statuses.
    pub(super) fn waiting_elsewhere(
        &self,
        now: Time,
        service: u32,
    ) -> impl Iterator<Item = &Waiting> + '_ {
        let fresh = self.options.policy.waiting_fresh;
        let members = self.members.cell_members(now).map(|(_, member)| member);
        let recent = members
            .filter(move |member| member.last_heard.is_some_and(|at| now.since(at) <= fresh));
        let waiting = recent.flat_map(|member| &member.status.waiting);
        waiting.filter(move |waiting| waiting.service == service)
    }
}
