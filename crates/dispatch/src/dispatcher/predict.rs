//! What is expected of an engine, from what was observed of it and of its kind.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Pool;
use crate::configuration::Rank;
use crate::job::Job;
use crate::worker;
use crate::worker::Worker;

/// Times expected of a request at an engine, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Forecast {
    /// Until its first event.
    pub first_event_us: f64,
    /// The longest pause that reading its prompt puts between two events of the
    /// streams that run there.
    pub pause_us: f64,
}

/// By how much a stream may be longer than expected: callers' estimates are right
/// at the median and often far off.
const LENGTH_MARGIN: f64 = 1.3;

impl Pool {
    /// Endpoints of this cell that take work now.
    pub(super) fn usable(&self, now: Time, options: &worker::Options) -> usize {
        let usable = self.workers.iter();
        usable
            .filter(|worker| worker.own_cell && worker.accepts_work(now, options))
            .count()
    }

    /// True where this cell has endpoints and all of them leave.
    pub(super) fn is_cell_leaving(&self) -> bool {
        let cell_endpoints = self.workers.iter();
        let mut cell_endpoints = cell_endpoints.filter(|worker| worker.own_cell && worker.listed);
        let first = cell_endpoints.next();
        first.is_some_and(Worker::is_leaving) && cell_endpoints.all(Worker::is_leaving)
    }

    /// Endpoints of which something holds, of those that the platform lists.
    pub(super) fn count_listed(&self, holds: impl Fn(&Worker) -> bool) -> usize {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        listed.filter(|worker| holds(worker)).count()
    }

    /// True where the endpoint that has a number names a rate limit.
    pub(super) fn is_rate_limited(&self, number: u32) -> bool {
        let at = self.worker_opt(number);
        at.is_some_and(|at| self.workers[at].is_rate_limited())
    }

    /// The endpoint of this pool that has a number.
    pub(super) fn worker_opt(&self, number: u32) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|worker| worker.number == number)
    }

    /// Slots of the endpoints of this cell that take work now.
    pub(super) fn usable_slots(&self, now: Time, options: &worker::Options) -> u32 {
        let usable = self.workers.iter();
        let usable = usable.filter(|worker| worker.own_cell && worker.accepts_work(now, options));
        usable.map(|worker| self.slots_of(now, worker)).sum()
    }

    /// Requests of a rank that were started within the last `window`.
    pub(super) fn started(&self, now: Time, rank: Rank, window: Span) -> u64 {
        let Some(starts) = self.starts.get(&rank) else {
            return 0;
        };
        let recent = starts.iter().rev();
        recent.take_while(|at| now.since(**at) <= window).count() as u64
    }

    /// What is expected of a request at an engine that has to read `unread`
    /// tokens of its prompt.
    pub(super) fn forecast(&self, worker: &Worker, unread: f64) -> Forecast {
        let step = self.step_of(worker);
        let before = (worker.pending + worker.remote_pending) as f64;
        let reading = self.prefill_us * worker.pace * (before + unread);
        Forecast {
            first_event_us: reading + self.slot_wait(worker) + step,
            pause_us: (step + reading).min(step * self.longest_pause),
        }
    }

    /// The time to the first event of a request at an idle engine of the usual
    /// speed, in microseconds.
    pub(super) fn min_first_event_time(&self, job: &Job) -> f64 {
        self.prefill_us * job.prompt.tokens as f64 + self.step_us
    }

    /// Events that a stream is expected to have, by its caller's estimate; nothing
    /// without one, or until enough streams were seen.
    pub(super) fn events_opt(&self, job: &Job) -> Option<f64> {
        let estimated = job.prompt.output_hint?;
        self.lengths
            .events_per_token_opt()
            .map(|per_token| per_token * estimated as f64)
    }

    /// The time that an endpoint usually takes to what a request's caller waits for,
    /// once it has the request: the first event of an engine, the whole answer of a
    /// plain service. Without it, what was let in under load started just within its
    /// objective and was answered after it: on a day of bursts played with 295 nodes
    /// 1,871 were late beside 1,199 in time in the worst two seconds, and 2,052 beside
    /// 1,514 with it and the order that goes with it.
    pub(super) fn typical_response_time(&self) -> Span {
        match self.engine {
            true => Span(self.first_event_us as u64),
            false => Span(self.call_us as u64),
        }
    }

    /// An engine's time between two events of a stream, in microseconds.
    pub(super) fn step_of(&self, worker: &Worker) -> f64 {
        worker.step_us.unwrap_or(self.step_us)
    }

    /// The time between two events beyond which a request's stream is not over
    /// before its deadline, in microseconds. None where there is no such bound, or
    /// where no usable engine of this cell keeps to it. It guards against streams
    /// that hold a slot until they are cut off: on a day played with 295 nodes
    /// without it, 489 of 11,073 streams of the least protected route failed, most
    /// of them so.
    pub(super) fn max_step_opt(
        &self,
        now: Time,
        job: &Job,
        options: &worker::Options,
    ) -> Option<f64> {
        let events = self.events_opt(job)?;
        let left = job.deadline.since(now).0 as f64 - self.first_event_us;
        let most = left / (events * LENGTH_MARGIN).max(1.0);
        let mut usable = self.workers.iter();
        let keeps = usable.any(|worker| {
            worker.own_cell && worker.accepts_work(now, options) && self.step_of(worker) <= most
        });
        keeps.then_some(most)
    }

    /// The time until one of an engine's slots is free for a further request.
    pub(super) fn slot_wait(&self, worker: &Worker) -> f64 {
        let slots = worker.endpoint.slots.max(1);
        let over = (worker.busy() + 1).saturating_sub(slots);
        f64::from(over) * self.call_us * worker.pace / f64::from(slots)
    }

    /// True where streams run at an engine and reading a request's prompt beside
    /// them would make their pauses longer than a `part` of the longest one that
    /// is in time on the request's own route.
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
