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
    pub first: f64,
    /// The longest pause that reading its prompt puts between two events of the
    /// streams that run there.
    pub pause: f64,
}

impl Pool {
    /// Endpoints of this cell that take work now.
    pub(super) fn usable(&self, now: Time, options: &worker::Options) -> usize {
        let usable = self.workers.iter();
        usable
            .filter(|worker| worker.own_cell && worker.takes_work(now, options))
            .count()
    }

    /// The endpoint of this pool that has a number.
    pub(super) fn worker_opt(&self, number: u32) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|worker| worker.number == number)
    }

    /// Slots of the endpoints of this cell that take work now.
    pub(super) fn usable_slots(&self, now: Time, options: &worker::Options) -> u32 {
        let usable = self.workers.iter();
        let usable = usable.filter(|worker| worker.own_cell && worker.takes_work(now, options));
        usable.map(|worker| worker.endpoint.slots).sum()
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
        let step = worker.step.unwrap_or(self.step);
        let before = (worker.pending + worker.others_pending) as f64;
        let reading = self.prefill * worker.pace * (before + unread);
        Forecast {
            first: reading + self.slot_wait(worker) + step,
            pause: (step + reading).min(step * self.longest_pause),
        }
    }

    /// The time to the first event of a request at an idle engine of the usual
    /// speed, in microseconds.
    pub(super) fn soonest_first(&self, job: &Job) -> f64 {
        self.prefill * job.prompt.tokens as f64 + self.step
    }

    /// The time until one of an engine's slots is free for a further request.
    pub(super) fn slot_wait(&self, worker: &Worker) -> f64 {
        let slots = worker.endpoint.slots.max(1);
        let over = (worker.busy() + 1).saturating_sub(slots);
        f64::from(over) * self.call * worker.pace / f64::from(slots)
    }

    /// True where streams run at an engine and reading a request's prompt beside
    /// them would make their pauses longer than a `part` of the longest one that
    /// is in time on the request's own route.
    pub(super) fn disturbs(
        &self,
        worker: &Worker,
        job: &Job,
        forecast: Forecast,
        part: f64,
    ) -> bool {
        let Some(pause) = job.pause else {
            return false;
        };
        worker.busy() > 0 && forecast.pause > pause.0 as f64 * part
    }
}
