//! A request begins at an endpoint: it is counted in, and whoever has it is told.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Decision;
use super::Dispatcher;
use super::Reason;
use super::Run;
use super::place::Choice;
use crate::job;
use crate::job::Job;
use crate::lease::Lease;
use crate::warm;

/// Starts of one rank that are remembered.
const STARTS_KEPT: usize = 256;

/// Weight of one prompt in the share of those that were seen before.
const NEWEST: f64 = 0.02;

impl Dispatcher {
    /// Gives a request an endpoint that was chosen here.
    pub(super) fn start(&mut self, now: Time, id: job::Id, job: Job, choice: Choice) {
        let oldest = self.oldest_word(now);
        let Some(pool) = self.pools.get(&job.target) else {
            return;
        };
        let worker = &pool.workers[choice.worker];
        let reason = Reason {
            waited: now.since(job.arrived),
            running: worker.running,
            others: worker.others,
            uncached: choice.uncached,
            unread: worker.pending + worker.others_pending,
            pace: worker.pace,
            oldest,
        };
        self.run(now, id, job, choice.worker, None, reason);
    }

    /// Counts a request in at its endpoint, and tells the one who has it.
    pub(super) fn run(
        &mut self,
        now: Time,
        id: job::Id,
        mut job: Job,
        worker: usize,
        lease: Option<Lease>,
        reason: Reason,
    ) {
        let Some(pool) = self.pools.get(&job.target) else {
            return;
        };
        let interval = self.cold_interval_opt(now, pool);
        let spacing = self.spacing_opt(now, &pool.workers[worker]);
        let Some(pool) = self.pools.get_mut(&job.target) else {
            return;
        };
        let at = worker;
        let worker = &mut pool.workers[at];
        let starts = pool.starts.entry(job.rank).or_default();
        starts.push_back(now);
        if starts.len() > STARTS_KEPT {
            starts.pop_front();
        }
        let ahead = worker.pending + worker.others_pending;
        let queued = worker.busy() >= worker.endpoint.slots;
        worker.start(now, reason.uncached);
        if job.origin.is_none() && worker.is_in_doubt(now) {
            worker.rest.start(now);
        }
        if let Some(interval) = interval {
            worker.cold.start(now, interval);
        }
        if let Some(spacing) = spacing {
            worker.rate_limit.start(now, spacing);
        }
        let endpoint = worker.endpoint.clone();
        let number = worker.number;
        job.history.tried.push(number);
        let chain = warm::chain(&job.prompt.parts);
        let seen = f64::from(u8::from(pool.warm.knows(&chain)));
        pool.recurring += (seen - pool.recurring) * NEWEST;
        pool.warm.add(now, &chain, number);
        let origin = job.origin;
        let run = Run {
            worker: at,
            started: now,
            uncached: reason.uncached,
            ahead,
            queued,
            first: None,
            marked: now,
            events: 0,
            shown: 0,
            last: now,
            step: None,
            lease,
            reported: now,
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
            }),
        }
    }

    fn oldest_word(&self, now: Time) -> Span {
        let heard = self
            .members
            .live(now)
            .filter_map(|(_, member)| member.last_heard);
        heard.map(|at| now.since(at)).max().unwrap_or(Span::ZERO)
    }
}
