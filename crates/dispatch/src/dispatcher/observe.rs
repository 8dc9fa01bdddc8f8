//! Records the progress and the end of attempts and learns from them.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Cause;
use super::Dispatcher;
use super::Next;
use super::Pool;
use super::Run;
use crate::job;
use crate::job::End;
use crate::job::Job;
use crate::lease;
use crate::worker::MAX_PACE;
use crate::worker::MIN_PACE;

/// The minimum number of prompt tokens for measuring the reading speed by the first event.
const MIN_SAMPLE_TOKENS: u64 = 400;

/// The limits of the time to read one prompt token, in microseconds: from a million tokens a second
/// down to a thousand.
const MIN_PREFILL_US: f64 = 1.0;
const MAX_PREFILL_US: f64 = 1_000.0;

/// The weight of one observation in the averages of a service.
const SAMPLE_WEIGHT: f64 = 0.03;

/// The weights of a pause above and below the current estimate of the longest pauses. With these
/// weights about one pause in fifty is longer than the estimate.
const LONGER_PAUSE_WEIGHT: f64 = 0.2;
const SHORTER_PAUSE_WEIGHT: f64 = 0.002;

/// The longest pause that is counted, in steps. A longer one means that the endpoint has stalled.
const MAX_PAUSE_STEPS: f64 = 10.0;

/// How often progress of a stream is reported to the owner of its slot: more than twice within the
/// time after which it would consider the endpoint stalled.
const REPORT_INTERVAL: Span = Span::from_millis(400);

/// The number of events over which the time between events is averaged.
const EVENTS_PER_SAMPLE: u32 = 4;

impl Dispatcher {
    /// Records events of a stream.
    pub fn progress(&mut self, now: Time, id: job::Id, events: u32) {
        self.record_answering(now, id);
        self.record_gone_on(now, id);
        let is_distrusted = self.lateness.is_distrusted(now);
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&run.job.target) else {
            return;
        };
        let is_own = run.job.origin.is_none();
        pool.workers[run.worker].record_progress(now, is_own);
        if run.first.is_none() {
            pool.workers[run.worker].record_accepted(now);
        }
        if is_own {
            pool.workers[run.worker].rest.record_served(run.started);
        }
        run.event_count += events;
        let first = run.first.is_none();
        let lease_event = match first {
            // The owner would learn from the time of a first event.
            true if is_distrusted => Some(lease::Event::Progress),
            true => Some(lease::Event::First),
            false if now.since(run.reported) >= REPORT_INTERVAL => Some(lease::Event::Progress),
            false => None,
        };
        let lease_event = run.lease.zip(lease_event);
        run.is_timed &= !is_distrusted;
        if first {
            record_first(pool, run, now);
        } else {
            if events == 1 && run.is_timed {
                learn_pause(pool, run, now);
            }
            run.last = now;
            run.sample_events += events;
            if run.sample_events >= EVENTS_PER_SAMPLE && run.is_timed {
                learn_events(pool, run, now);
            }
        }
        if lease_event.is_some() {
            run.reported = now;
        }
        self.urgent |= first && run.lease.is_none();
        if let Some((lease, event)) = lease_event {
            let load = self.take_load_to_report(now, id);
            self.send_lease_report_with_load(lease.owner, lease.number, event, load);
        }
    }

    /// Records that another node's stream makes progress. If the report of its first event was
    /// lost, the time of that event is unknown and nothing is learnt from it.
    pub(super) fn record_remote_progress(&mut self, now: Time, id: job::Id) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&run.job.target) else {
            return;
        };
        let worker = &mut pool.workers[run.worker];
        worker.record_progress(now, false);
        if run.first.is_none() {
            run.first = Some(now);
            worker.pending = worker.pending.saturating_sub(run.uncached);
        }
        if let Some(lease) = run.lease {
            self.send_lease_report(lease.owner, lease.number, lease::Event::Progress);
        }
    }

    /// Records the end of an attempt and returns what follows for its request.
    pub fn end(&mut self, now: Time, id: job::Id, end: End) -> Next {
        let Some(run) = self.runs.remove(&id) else {
            self.abandon(now, id);
            return Next::Over;
        };
        let target = run.job.target.clone();
        let mut job = self.conclude(now, run, end);
        let next = match end {
            End::Whole | End::Rejected | End::Abandoned => Next::Over,
            _ => self.next_attempt(now, &mut job, end),
        };
        match next {
            Next::Again => self.submit(now, id, job),
            _ => {
                self.targets.remove(&id);
            }
        }
        self.place(now, &target);
        next
    }

    /// Removes an attempt from its endpoint's load and records what its end shows.
    pub(super) fn conclude(&mut self, now: Time, run: Run, end: End) -> Job {
        self.record_link_evidence(now, &run, end);
        self.urgent |= run.lease.is_none();
        self.update_quarantine(now, &run, end);
        self.finish_attempt(now, run, end)
    }

    /// Records that the answer to a request ends with its connection: only if its endpoint goes on is
    /// that evidence that the request is harmless.
    pub fn doubt_end(&mut self, id: job::Id) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.is_end_in_doubt = true;
        }
    }

    /// Updates the quarantine from the end of an attempt.
    fn update_quarantine(&mut self, now: Time, run: &Run, end: End) {
        match end {
            End::Whole if run.is_end_in_doubt => {
                let pool = self.pools.get(&run.job.target);
                if let Some(number) = pool.map(|pool| pool.workers[run.worker].number) {
                    self.record_unconfirmed(now, run, number, end);
                }
            }
            End::Whole => self.record_whole(now, &run.job),
            // A timeout may mean that a whole host failed and no longer answers; only the
            // platform's list can tell.
            //
            // When several endpoints fail at the same moment, one attempt may meet them one after
            // another without being the cause, so only the first is charged to it. When each was
            // charged, returning callers were refused although their requests had done nothing
            // wrong.
            End::Lost | End::Late if !run.job.history.connection_broke => {
                let pool = self.pools.get(&run.job.target);
                let worker = pool.and_then(|pool| pool.workers.get(run.worker));
                // A call that hangs on a lost link says nothing of its endpoint.
                if let Some(worker) = worker.filter(|worker| !worker.link.is_lost()) {
                    let number = worker.number;
                    self.record_unconfirmed(now, run, number, end);
                }
            }
            _ => {}
        }
    }

    /// Records that a caller left or that the request's time ran out.
    pub fn abandon(&mut self, now: Time, id: job::Id) {
        self.abandon_inquiry(id);
        if self.runs.contains_key(&id) {
            self.end(now, id, End::Abandoned);
            return;
        }
        self.forwards.remove(&id);
        let Some(target) = self.targets.remove(&id) else {
            return;
        };
        self.cancel_open_request(id);
        self.held_jobs.retain(|(held, _)| *held != id);
        if let Some(pool) = self.pools.get_mut(&target) {
            pool.queue.remove(id);
            self.urgent = true;
        }
    }

    /// Removes an attempt from its endpoint's load and learns from how it ended.
    pub(super) fn finish_attempt(&mut self, now: Time, mut run: Run, end: End) -> Job {
        run.is_timed &= !self.lateness.is_distrusted(now);
        if let Some(lease) = run.lease {
            let seen = lease::Observation {
                events: run.event_count,
                step: run.step.filter(|_| run.is_timed).map(|step| step as u32),
                took: (run.is_timed && matches!(end, End::Whole | End::Rejected))
                    .then(|| now.since(run.started)),
            };
            let event = lease::Event::Ended { end, seen };
            let load = self.load_to_report_opt(now, &run);
            self.send_lease_report_with_load(lease.owner, lease.number, event, load);
        }
        let Some(pool) = self.pools.get_mut(&run.job.target) else {
            return run.job;
        };
        let pending = if run.first.is_none() { run.uncached } else { 0 };
        let options = &self.options.worker;
        let own = self.options.own;
        let reporter = run.job.origin.map_or(own, |origin| origin.node);
        let is_own = run.job.origin.is_none();
        let is_credible = is_own || !self.members.has_lost_links(reporter, pool.number);
        let worker = &mut pool.workers[run.worker];
        if run.first.is_none() && matches!(end, End::Whole | End::Rejected | End::Fault) {
            worker.record_accepted(now);
        }
        worker.end(pending, is_own);
        if is_own {
            match end {
                End::Whole | End::Rejected | End::Fault => worker.rest.record_served(run.started),
                _ => worker.rest.end_probe(run.started),
            }
        }
        match end {
            End::Whole | End::Rejected => {
                worker.record_success(now, is_own);
                learn_length(pool, &run);
                if run.is_timed {
                    learn_call(pool, &run, now);
                }
                if is_own && run.is_timed {
                    let took = now.since(run.job.arrived);
                    self.durations.learn(&run.job.route, took);
                }
            }
            End::Fault => worker.record_fault(now, is_own),
            End::Full => {
                worker.record_full(now, options, is_own);
                // All nodes have to hear of it before they send more.
                let is_news = is_own && worker.is_brittle();
                self.urgent |= is_news;
                self.has_news |= is_news;
            }
            End::NotThere => worker.gone_at = Some(now),
            End::NotSent | End::Lost if is_credible => {
                let number = worker.number;
                worker.record_failure_at(now, reporter, options);
                if is_own {
                    worker.record_failure(now, end == End::NotSent, options);
                    pool.prefix_cache.remove_endpoint(number);
                }
            }
            // A timeout says little about an endpoint that makes progress with other requests.
            End::Late if is_own && now.since(worker.last_progress) > options.stall_timeout => {
                worker.record_failure_at(now, reporter, options);
                worker.record_failure(now, false, options);
            }
            End::NotSent | End::Lost | End::Late | End::Abandoned => {}
        }
        run.job
    }

    /// Learns an engine's step from the observation of another node.
    pub(super) fn learn_reported_step(&mut self, now: Time, run: &Run, step: Option<u32>) {
        let pool = self.pools.get_mut(&run.job.target);
        if let Some((pool, step)) = pool.filter(|pool| pool.engine).zip(step) {
            learn_step(pool, run.worker, f64::from(step), now);
        }
    }

    pub(super) fn next_attempt(&mut self, now: Time, job: &mut Job, end: End) -> Next {
        if end == End::NotSent {
            job.history.connect_failures += 1;
        } else {
            job.history.sent += 1;
            job.history.may_have_run |= !end.is_not_run();
            job.history.connection_broke |= end == End::Lost;
        }
        if job.history.may_have_run && !job.repeatable {
            return Next::Final(Cause::MayHaveRun);
        }
        if end == End::Lost && self.is_suspect(job) {
            return Next::Final(Cause::Suspect);
        }
        let unsent = job.history.connect_failures >= self.options.policy.connects;
        if unsent || job.history.sent >= job.attempts {
            return Next::Final(Cause::Attempts);
        }
        if job.deadline.since(now) <= self.options.policy.least_left {
            return Next::Final(Cause::Time);
        }
        // Only a request that reaches a second endpoint counts as sent again.
        let nodes = self.budget_nodes(now);
        let counted = job.history.sent > 0 && end != End::NotSent;
        if counted && !self.budget.try_spend(now, &job.target, nodes) {
            return Next::Final(Cause::Budget);
        }
        Next::Again
    }

    /// The number of nodes that share the retry budget.
    pub(super) fn budget_nodes(&self, now: Time) -> usize {
        let reach = self.members.reach(now);
        if reach.isolated {
            ASSUMED_NODES
        } else {
            reach.nodes
        }
    }
}

/// The assumed number of nodes until another node is discovered.
const ASSUMED_NODES: usize = 8;

/// Records the first event of a stream, and learns from the time that it took.
fn record_first(pool: &mut Pool, run: &mut Run, now: Time) {
    run.first = Some(now);
    run.sample_start = now;
    run.last = now;
    let worker = &mut pool.workers[run.worker];
    worker.pending = worker.pending.saturating_sub(run.uncached);
    if run.is_timed {
        learn_first(pool, run, now);
    }
}

fn learn_first(pool: &mut Pool, run: &Run, now: Time) {
    let after = now.since(run.started).0 as f64;
    pool.first_event_us += (after - pool.first_event_us) * SAMPLE_WEIGHT;
    let worker = &pool.workers[run.worker];
    let tokens = run.uncached + run.tokens_ahead;
    // The time includes waiting for a slot if the request was queued at the endpoint.
    if pool.engine && tokens >= MIN_SAMPLE_TOKENS && !run.queued {
        let prefill_time_us = after - worker.step_us.unwrap_or(pool.step_us);
        let sample = prefill_time_us / tokens as f64 / worker.pace.max(MIN_PACE);
        pool.prefill_us +=
            (sample.clamp(MIN_PREFILL_US, MAX_PREFILL_US) - pool.prefill_us) * SAMPLE_WEIGHT;
    }
}

/// Updates the estimate of the longest pauses, in steps: quickly after a longer pause, slowly after
/// shorter ones.
fn learn_pause(pool: &mut Pool, run: &Run, now: Time) {
    let Some(step) = pool.workers[run.worker].step_us else {
        return;
    };
    let ratio = (now.since(run.last).0 as f64 / step.max(1.0)).min(MAX_PAUSE_STEPS);
    let weight = match ratio > pool.longest_pause {
        true => LONGER_PAUSE_WEIGHT,
        false => SHORTER_PAUSE_WEIGHT,
    };
    pool.longest_pause += (ratio - pool.longest_pause) * weight;
}

/// Learns the step from the time that the last events of a stream took.
fn learn_events(pool: &mut Pool, run: &mut Run, now: Time) {
    let gap = now.since(run.sample_start).0 as f64 / f64::from(run.sample_events);
    run.sample_start = now;
    run.sample_events = 0;
    run.step = Some(run.step.map_or(gap, |step| step.min(gap)));
    if pool.engine {
        learn_step(pool, run.worker, gap, now);
    }
}

fn learn_step(pool: &mut Pool, worker: usize, gap: f64, now: Time) {
    let step = pool.workers[worker].learn_step(now, gap);
    pool.step_us += (step - pool.step_us) * SAMPLE_WEIGHT;
    let usual = pool.step_us.max(1.0);
    let worker = &mut pool.workers[worker];
    worker.pace = (step / usual).clamp(MIN_PACE, MAX_PACE);
}

fn learn_length(pool: &mut Pool, run: &Run) {
    if let Some(estimated) = run.job.prompt.output_hint.filter(|_| run.event_count > 0) {
        pool.lengths.learn(estimated, run.event_count);
    }
}

fn learn_call(pool: &mut Pool, run: &Run, now: Time) {
    let micros = now.since(run.started).0 as f64;
    if !pool.engine {
        pool.workers[run.worker].learn_pace(now, micros / pool.call_us.max(1.0));
    }
    pool.call_us += (micros - pool.call_us) * SAMPLE_WEIGHT;
}
