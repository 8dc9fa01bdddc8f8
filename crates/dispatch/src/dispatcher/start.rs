//! Starts requests: records them at their endpoint and notifies the node that holds them.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Admission;
use super::Decision;
use super::Dispatcher;
use super::Reason;
use super::Run;
use super::place::Candidate;
use crate::job;
use crate::job::Job;
use crate::lease::Lease;
use crate::prefix_cache;

/// The number of recent starts kept for each rank.
pub(super) const MAX_RECENT_STARTS: usize = 256;

/// The weight of one prompt in the share of prompts seen before.
const PROMPT_WEIGHT: f64 = 0.02;

impl Dispatcher {
    /// Starts a request on an endpoint chosen by this node.
    pub(super) fn start(&mut self, now: Time, id: job::Id, job: Job, candidate: Candidate) {
        let oldest = self.oldest_status_age(now);
        let Some(pool) = self.pools.get(&job.target) else {
            return;
        };
        let worker = &pool.workers[candidate.worker];
        let reason = Reason {
            waited: now.since(job.arrived),
            running: worker.running,
            others: worker.remote_running,
            uncached: candidate.uncached,
            unread: worker.pending + worker.remote_pending,
            pace: worker.pace,
            oldest,
        };
        self.run(now, id, job, candidate.worker, None, reason);
    }

    /// Records a request at its endpoint and notifies the node that holds it.
    pub(super) fn run(
        &mut self,
        now: Time,
        id: job::Id,
        mut job: Job,
        worker: usize,
        lease: Option<Lease>,
        reason: Reason,
    ) {
        self.record_booked_start(now, id, &job);
        let Some(pool) = self.pools.get(&job.target) else {
            return;
        };
        let interval = self.cold_interval_opt(now, pool);
        let spacing = self.spacing_opt(now, &pool.workers[worker]);
        let Some(pool) = self.pools.get_mut(&job.target) else {
            return;
        };
        pool.charge_share(job.rank, id);
        let worker_index = worker;
        let worker = &mut pool.workers[worker_index];
        let starts = pool.starts.entry(job.rank).or_default();
        starts.push_back(now);
        if starts.len() > MAX_RECENT_STARTS {
            starts.pop_front();
        }
        if lease.is_none() {
            pool.flow.record_start(now, job.rank);
        }
        let tokens_ahead = worker.pending + worker.remote_pending;
        let queued = worker.busy() >= worker.endpoint.slots;
        worker.start(now, reason.uncached, job.origin.is_none());
        if job.origin.is_none() && worker.is_unconfirmed(now) {
            worker.rest.start_probe(now);
        }
        if let Some(interval) = interval {
            worker.cold.record_start(now, interval);
        }
        if let Some(spacing) = spacing {
            worker.rate_limit.record_start(now, spacing);
        }
        let endpoint = worker.endpoint.clone();
        let number = worker.number;
        job.history.tried.push(number);
        let chain = prefix_cache::chain(&job.prompt.parts);
        let seen = f64::from(u8::from(pool.prefix_cache.contains(&chain)));
        pool.repeat_ratio += (seen - pool.repeat_ratio) * PROMPT_WEIGHT;
        pool.prefix_cache.record(now, &chain, number);
        let origin = job.origin;
        // Only a refusal makes a booking.
        let admission = Admission::of(&job, lease.is_none(), Some(Span::ZERO));
        let run = Run {
            worker: worker_index,
            started: now,
            uncached: reason.uncached,
            tokens_ahead,
            queued,
            first: None,
            sample_start: now,
            sample_events: 0,
            event_count: 0,
            last: now,
            step: None,
            lease,
            reported: now,
            stated_load: None,
            is_recorded_gone_on: false,
            is_end_in_doubt: false,
            is_timed: true,
            job,
        };
        self.runs.insert(id, run);
        self.urgent |= lease.is_none();
        match origin {
            Some(origin) => self.grant_slot(origin, number, reason),
            None => self.decisions.push(Decision::Start {
                job: id,
                endpoint,
                reason,
                owner: lease.map(|lease| lease.owner),
                admission,
            }),
        }
    }

    fn oldest_status_age(&self, now: Time) -> Span {
        let last_heard = self
            .members
            .live(now)
            .filter_map(|(_, member)| member.last_heard);
        last_heard
            .map(|time| now.since(time))
            .max()
            .unwrap_or(Span::ZERO)
    }
}
