//! What only the passing of time brings about.

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Refusal;
use crate::job;
use crate::job::Job;
use crate::worker::Worker;

/// Time between two arrangements of cells.
const ARRANGE_EVERY: Span = Span::from_millis(200);

/// Pause between two ticks after which the process is taken to have been
/// stopped in between, so that nothing that others said holds any more.
const PAUSE: Span = Span::from_millis(1_500);

/// What a request may expect of the endpoints of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Prospect {
    /// One is neither leaving nor evacuated.
    Live,
    /// Some are listed, and leave.
    Leaving,
    /// None is listed, or all are evacuated.
    Nothing,
}

impl Dispatcher {
    /// Refuses what ran out of time, forgets what is old and gives free
    /// endpoints work. True where this process seems to have been paused.
    pub fn tick(&mut self, now: Time) -> bool {
        let paused = self.ticked > Time(0) && now.since(self.ticked) > PAUSE;
        if paused {
            self.members.clear_loads();
        }
        self.ticked = now;
        self.accounts.begin(now);
        self.members.remove_expired(now);
        self.quarantine.forget(now);
        self.stop_correcting(now);
        self.arrange(now);
        self.count_others(now);
        self.take_rate_limits_heard(now);
        self.update_rests(now);
        let targets: Vec<id::Target> = self.pools.keys().cloned().collect();
        for target in targets {
            self.refuse_expired(now, &target);
            self.note_open(now, &target);
            self.refuse_without_endpoint(now, &target);
            self.resubmit_stuck(now, &target);
            self.resubmit_displaced(now, &target);
            self.place(now, &target);
            self.seek_spare(now, &target);
        }
        self.renew_questions(now);
        paused
    }

    /// Arranges cells anew, now and then, and looks who owns what: nodes and endpoints
    /// come and go.
    fn arrange(&mut self, now: Time) {
        if now.since(self.arranged) < ARRANGE_EVERY {
            return;
        }
        self.arranged = now;
        let before = (self.members.cell(), self.members.cell_count());
        self.members.assign_cells(now);
        if (self.members.cell(), self.members.cell_count()) != before {
            self.assign_workers();
        }
        self.check_remote(now);
        self.wait_for_limits(now);
    }

    fn refuse_expired(&mut self, now: Time, target: &id::Target) {
        let least = self.options.policy.least_left;
        while let Some(pool) = self.pools.get_mut(target) {
            // What could not bring anything any more in time is not begun.
            let answer = pool.usual_answer();
            let Some(id) = pool.queue.expired_opt(now + least.max(answer)) else {
                return;
            };
            let job = pool.queue.remove(id);
            self.withdraw(id);
            let Some(job) = job else {
                return;
            };
            let refusal = self.too_late(now, &job);
            self.refuse(now, id, job.origin, refusal);
        }
    }

    /// Notes whether a service has an open endpoint.
    fn note_open(&mut self, now: Time, target: &id::Target) {
        if let Some(pool) = self.pools.get_mut(target)
            && pool.workers.iter().any(Worker::is_open)
        {
            pool.open_at = Some(now);
        }
    }

    /// With no endpoint at all where a request may run, waiting beyond the objective
    /// helps nobody; where all have said that they leave, waiting at all.
    fn refuse_without_endpoint(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        let closed_for = pool.open_at.map_or(Span::ZERO, |at| now.since(at));
        let hopeless = pool.queue.iter().filter(|(_, job)| {
            let waited = now.since(job.arrived) > job.objective;
            match self.prospect(pool, job) {
                Prospect::Live => false,
                Prospect::Leaving => true,
                Prospect::Nothing => waited,
            }
        });
        let hopeless: Vec<job::Id> = hopeless.map(|(id, _)| id).collect();
        for id in hopeless {
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                continue;
            };
            self.withdraw(id);
            let refusal = self.without_endpoint(now, &job, closed_for);
            self.refuse(now, id, job.origin, refusal);
        }
    }

    /// What a caller is told whose request no endpoint can run, where the service was
    /// closed for so long.
    fn without_endpoint(&self, now: Time, job: &Job, closed_for: Span) -> Refusal {
        let outage = now.since(job.arrived).max(closed_for);
        let retry_after = self.retry_after_estimate(now, outage, job.deadline.since(now));
        Refusal {
            code: match job.bound.is_free() {
                true => Code::NoEndpoint,
                false => Code::RegionClosed,
            },
            retry_after: Some(retry_after),
            wait: None,
            owner: None,
        }
    }

    /// What a request may expect of the endpoints where it may run.
    fn prospect(&self, pool: &Pool, job: &Job) -> Prospect {
        let workers = pool.workers.iter();
        let mut near = workers.filter(|worker| worker.listed && self.may_run_at(job, worker));
        let mut prospect = Prospect::Nothing;
        let live = near.any(|worker| {
            if worker.is_leaving() {
                prospect = Prospect::Leaving;
            }
            !worker.is_leaving() && !worker.evacuated
        });
        match live {
            true => Prospect::Live,
            false => prospect,
        }
    }
}
