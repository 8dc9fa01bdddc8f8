//! Forecasts the performance of an engine from observations of it and of its service.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Pool;
use crate::configuration::Rank;
use crate::job::Job;
use crate::protocol::Protocol;
use crate::rate_limit::Limit;
use crate::worker;
use crate::worker::Worker;

/// The expected times of a request at an engine, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Forecast {
    /// The time to its first event.
    pub first_event_us: f64,
    /// The longest pause that reading its prompt causes between two events of the streams running
    /// there.
    pub pause_us: f64,
}

/// The margin for streams that are longer than expected. Callers' estimates are right at the median
/// but often far off.
const LENGTH_MARGIN: f64 = 1.3;

impl Pool {
    /// Counts the endpoints of this cell that accept work now.
    pub(super) fn usable(&self, now: Time, options: &worker::Options) -> usize {
        let usable = self.workers.iter();
        usable
            .filter(|worker| worker.own_cell && self.is_usable(now, worker, options))
            .count()
    }

    /// Whether an endpoint of this cell runs requests now: for this node, or for any node of the cell
    /// if its slots have an owner.
    fn is_usable(&self, now: Time, worker: &Worker, options: &worker::Options) -> bool {
        match self.has_owners {
            true => worker.is_lendable(now, options),
            false => worker.accepts_work(now, options),
        }
    }

    /// Whether this cell has endpoints and all of them are leaving.
    pub(super) fn is_cell_leaving(&self) -> bool {
        let cell_endpoints = self.workers.iter();
        let mut cell_endpoints = cell_endpoints.filter(|worker| worker.own_cell && worker.listed);
        let first = cell_endpoints.next();
        first.is_some_and(Worker::is_leaving) && cell_endpoints.all(Worker::is_leaving)
    }

    /// Counts the endpoints listed by the platform that satisfy a predicate.
    pub(super) fn count_listed(&self, holds: impl Fn(&Worker) -> bool) -> usize {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        listed.filter(|worker| holds(worker)).count()
    }

    /// Returns the protocol that the owner of the endpoint with this number has to know, if all
    /// requests there go through its owner.
    pub(super) fn owner_protocol_opt(&self, number: u32) -> Option<Protocol> {
        let index = self.worker_opt(number)?;
        self.workers[index].owner_protocol_opt()
    }

    /// Returns the number of requests a second that an endpoint can take, by its rate limit or else
    /// by its slots.
    pub(super) fn rate_of(&self, worker: &Worker) -> f64 {
        let by_slots = || {
            let call = Span(self.call_us as u64).max(Span::from_millis(1));
            f64::from(worker.usable_slots()) / call.as_secs_f64()
        };
        let limit = worker.rate_limit.limit_opt();
        limit.map_or_else(by_slots, Limit::per_second)
    }

    /// Returns the index of the endpoint with this number.
    pub(super) fn worker_opt(&self, number: u32) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|worker| worker.number == number)
    }

    /// Counts the slots of the endpoints of this cell that accept work now.
    pub(super) fn usable_slots(&self, now: Time, options: &worker::Options) -> u32 {
        let usable = self.workers.iter();
        let usable =
            usable.filter(|worker| worker.own_cell && self.is_usable(now, worker, options));
        usable.map(|worker| self.slots_of(now, worker)).sum()
    }

    /// Counts the requests of a rank that were started within the last `window`.
    pub(super) fn started(&self, now: Time, rank: Rank, window: Span) -> u64 {
        let Some(starts) = self.starts.get(&rank) else {
            return 0;
        };
        let recent = starts.iter().rev();
        recent
            .take_while(|started| now.since(**started) <= window)
            .count() as u64
    }

    /// Forecasts a request at an engine that has to read `unread` tokens of its prompt.
    pub(super) fn forecast(&self, worker: &Worker, unread: f64) -> Forecast {
        let step = self.step_of(worker);
        let tokens_ahead = (worker.pending + worker.remote_pending) as f64;
        let prefill_time_us = self.prefill_us * worker.pace * (tokens_ahead + unread);
        Forecast {
            first_event_us: prefill_time_us + self.slot_wait(worker) + step,
            pause_us: (step + prefill_time_us).min(step * self.longest_pause),
        }
    }

    /// The time to the first event at an idle engine of typical speed, in microseconds.
    pub(super) fn min_first_event_time(&self, job: &Job) -> f64 {
        self.prefill_us * job.prompt.tokens as f64 + self.step_us
    }

    /// The expected number of events of a stream, from its caller's estimate. `None` without an
    /// estimate or until enough streams were observed.
    pub(super) fn events_opt(&self, job: &Job) -> Option<f64> {
        let estimated = job.prompt.output_hint?;
        self.lengths
            .events_per_token_opt()
            .map(|per_token| per_token * estimated as f64)
    }

    /// The typical time that an endpoint takes to deliver what the caller waits for: the first
    /// event of an engine, or the whole answer of a plain service. Without it, requests admitted
    /// under load were started just within their objective and answered after it.
    pub(super) fn typical_response_time(&self) -> Span {
        match self.engine {
            true => Span(self.first_event_us as u64),
            false => Span(self.call_us as u64),
        }
    }

    /// The time between two events of a stream of this engine, in microseconds.
    pub(super) fn step_of(&self, worker: &Worker) -> f64 {
        worker.step_us.unwrap_or(self.step_us)
    }

    /// The longest step, in microseconds, with which a request's stream ends before its deadline.
    /// `None` if there is no such limit or if no usable engine of this cell meets it. Without this
    /// limit, streams on slow engines held a slot until they were cut off at their deadline, and
    /// most failures of the least protected route were of this kind.
    pub(super) fn max_step_opt(
        &self,
        now: Time,
        job: &Job,
        options: &worker::Options,
    ) -> Option<f64> {
        let events = self.events_opt(job)?;
        let remaining_us = job.deadline.since(now).0 as f64 - self.first_event_us;
        let max_step = remaining_us / (events * LENGTH_MARGIN).max(1.0);
        let mut usable = self.workers.iter();
        let is_achievable = usable.any(|worker| {
            worker.own_cell
                && self.is_usable(now, worker, options)
                && self.step_of(worker) <= max_step
        });
        is_achievable.then_some(max_step)
    }

    /// The time until a slot of the engine is free for another request, in microseconds.
    pub(super) fn slot_wait(&self, worker: &Worker) -> f64 {
        let slots = worker.endpoint.slots.max(1);
        let excess = (worker.busy() + 1).saturating_sub(slots);
        f64::from(excess) * self.call_us * worker.pace / f64::from(slots)
    }

    /// Whether streams run at an engine and reading this request's prompt would extend their pauses
    /// beyond `part` of the longest pause that the request's own route allows.
    pub(super) fn delays_streams(
        &self,
        worker: &Worker,
        job: &Job,
        forecast: Forecast,
        part: f64,
    ) -> bool {
        let Some(pause) = job.pause else {
            return false;
        };
        worker.busy() > 0 && forecast.pause_us > pause.0 as f64 * part
    }
}
