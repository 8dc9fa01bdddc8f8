//! Periodic work.

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Refusal;
use crate::binding::Binding;
use crate::job;
use crate::job::Job;
use crate::worker::Failure;
use crate::worker::Worker;

/// The interval between two rearrangements of cells.
const ARRANGE_INTERVAL: Span = Span::from_millis(200);

/// The gap between two ticks above which the process is assumed to have been suspended, so that
/// statuses of other nodes are no longer valid.
const MIN_PROCESS_PAUSE: Span = Span::from_millis(1_500);

/// How long a bound request waits while this node reaches no endpoint of its version. Longer waits
/// would count in the forecasts of other requests, which those endpoints don't hold up.
const MAX_UNREACHABLE_WAIT: Span = Span::from_millis(200);

/// The state of the endpoints that may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// At least one is neither leaving nor evacuated.
    Live,
    /// Some are listed, and at least one is leaving, but none is live.
    Leaving,
    /// None is listed, or all are evacuated.
    Unavailable,
}

impl Dispatcher {
    /// Refuses expired requests, drops outdated state and starts waiting requests. Returns true if
    /// the process appears to have been suspended.
    pub fn tick(&mut self, now: Time) -> bool {
        let paused = self.ticked_at > Time(0) && now.since(self.ticked_at) > MIN_PROCESS_PAUSE;
        if paused {
            self.members.clear_loads();
            self.forget_silence(now);
            self.forget_versions(now);
            self.doubt_unwatched_starts(now);
        }
        self.ticked_at = now;
        self.expire_hold(now);
        self.accounts.record_start(now);
        self.members.remove_expired(now);
        self.quarantine.expire(now);
        self.expire_corrections(now);
        self.arrange(now);
        self.sum_remote_loads(now);
        self.apply_received_rate_limits(now);
        self.update_rests(now);
        self.track_links(now);
        self.update_starts(now);
        let targets: Vec<id::Target> = self.pools.keys().cloned().collect();
        for target in targets {
            self.refuse_expired(now, &target);
            if self.gate.is_closed() {
                continue;
            }
            self.refuse_infeasible(now, &target);
            self.record_open(now, &target);
            self.refuse_unservable(now, &target);
            self.resubmit_stuck_requests(now, &target);
            self.resubmit_displaced(now, &target);
            self.forward_waiting(now, &target);
            self.place(now, &target);
            self.request_spare_slots(now, &target);
            self.report_queue(now, &target);
        }
        self.renew_open_requests(now);
        self.repeat_waiting_inquiries(now);
        self.renew_inquiries(now);
        self.state_bindings(now);
        self.announce_bookings(now);
        paused
    }

    /// Periodically rearranges cells and slot ownership, as nodes and endpoints come and go.
    fn arrange(&mut self, now: Time) {
        if now.since(self.arranged_at) < ARRANGE_INTERVAL {
            return;
        }
        self.arranged_at = now;
        let before = (self.members.cell(), self.members.cell_count());
        self.members.assign_cells(now);
        if (self.members.cell(), self.members.cell_count()) != before {
            self.assign_cell_workers();
        }
        self.check_remote_requests(now);
        self.restart_limit_intervals(now);
    }

    fn refuse_expired(&mut self, now: Time, target: &id::Target) {
        let least = self.options.policy.least_left;
        while let Some(pool) = self.pools.get_mut(target) {
            // A request that cannot be answered in time is not started.
            let answer = pool.typical_response_time();
            let Some(id) = pool.queue.expired_opt(now + least.max(answer)) else {
                return;
            };
            let job = pool.queue.remove(id);
            self.cancel_open_request(id);
            let Some(job) = job else {
                return;
            };
            let refusal = self.too_late_refusal(now, &job);
            self.refuse(now, id, &job, refusal);
        }
    }

    /// Records whether a service has an open endpoint.
    fn record_open(&mut self, now: Time, target: &id::Target) {
        if let Some(pool) = self.pools.get_mut(target)
            && pool.workers.iter().any(Worker::is_open)
        {
            pool.open_at = Some(now);
        }
    }

    /// Refuses requests that no endpoint can run: at once if endpoints are leaving and none is
    /// live, otherwise after their objective. A bound request does not wait for as long.
    fn refuse_unservable(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        let closed_for = pool.open_at.map_or(Span::ZERO, |at| now.since(at));
        let unservable = pool.queue.iter().filter(|(_, job)| {
            let waited = now.since(job.arrived) > job.objective;
            match self.availability(pool, job) {
                Availability::Live => {
                    job.binding.is_bound()
                        && now.since(job.arrived) > MAX_UNREACHABLE_WAIT
                        && !self.reaches_any(now, pool, job)
                }
                Availability::Leaving => true,
                Availability::Unavailable => waited || job.binding.is_bound(),
            }
        });
        let unservable: Vec<job::Id> = unservable.map(|(id, _)| id).collect();
        for id in unservable {
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                continue;
            };
            self.cancel_open_request(id);
            let refusal = self.unservable_refusal(now, &job, closed_for);
            self.refuse(now, id, &job, refusal);
        }
    }

    /// Builds the refusal of a request that no endpoint can run. `closed_for` is how long the
    /// service has had no open endpoint.
    fn unservable_refusal(&self, now: Time, job: &Job, closed_for: Span) -> Refusal {
        let outage = now.since(job.arrived).max(closed_for);
        let retry_after = self.retry_after_estimate(now, outage, job.deadline.since(now));
        Refusal {
            code: match &job.binding {
                Binding::Software(_) => Code::SoftwareGone,
                Binding::TakesUp(_) | Binding::Unknown => Code::StreamUnknown,
                Binding::Free if job.constraint.is_unrestricted() => Code::NoEndpoint,
                Binding::Free => Code::RegionClosed,
            },
            retry_after: Some(retry_after),
            wait: None,
            owner: None,
        }
    }

    /// Returns the refusal of a request that is bound to a version which no endpoint runs that stays
    /// and that it was not offered to.
    pub(super) fn check_bound(&self, now: Time, job: &Job) -> Option<Refusal> {
        let pool = self.pools.get(&job.target)?;
        let is_unservable =
            job.binding.is_bound() && self.availability(pool, job) != Availability::Live;
        is_unservable.then(|| self.unservable_refusal(now, job, Span::ZERO))
    }

    /// Whether this node reaches an endpoint that may run a request.
    fn reaches_any(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        let mut workers = pool.workers.iter();
        workers.any(|worker| {
            let failure = worker.failure_opt(now, &self.options.worker);
            worker.is_open()
                && self.may_run_at(job, worker)
                && failure != Some(Failure::Unreachable)
        })
    }

    /// Determines the state of the endpoints that may run a request. Those that a bound request was
    /// offered to don't count, since others of its version may never come.
    fn availability(&self, pool: &Pool, job: &Job) -> Availability {
        let is_tried =
            |worker: &Worker| job.binding.is_bound() && job.history.tried.contains(&worker.number);
        let workers = pool.workers.iter();
        let mut eligible = workers
            .filter(|worker| worker.listed && self.may_run_at(job, worker) && !is_tried(worker));
        let mut availability = Availability::Unavailable;
        let live = eligible.any(|worker| {
            if worker.is_leaving() {
                availability = Availability::Leaving;
            }
            !worker.is_leaving() && !worker.evacuated
        });
        match live {
            true => Availability::Live,
            false => availability,
        }
    }
}
