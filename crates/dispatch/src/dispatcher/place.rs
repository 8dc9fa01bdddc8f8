//! Which waiting request goes to which endpoint now.

use std::collections::BTreeMap;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::predict::Forecast;
use super::rejection::Preference;
use crate::configuration::Rank;
use crate::job;
use crate::job::Job;
use crate::prefix_cache;
use crate::worker::Worker;

/// An endpoint that could take a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Its place among the endpoints of its service.
    pub worker: usize,
    /// Prompt tokens that it is believed to have to read.
    pub uncached: u64,
    cost_us: f64,
    /// The time until its first event is expected, in microseconds.
    first_event_us: f64,
    /// True where it should rather wait for another.
    should_wait: bool,
    preference: Preference,
}

impl Candidate {
    fn is_preferred_to(&self, other: &Candidate) -> bool {
        self.preference < other.preference
            || (self.preference == other.preference && self.cost_us < other.cost_us)
    }
}

/// What it counts for that other nodes keep away from an endpoint: half of what
/// it would if all calls of this node failed.
const REPORTED_FAILURE_RATE: f64 = 0.5;

impl Dispatcher {
    /// Gives free endpoints of every service what waits.
    pub(super) fn place_all(&mut self, now: Time) {
        let targets: Vec<id::Target> = self.pools.keys().cloned().collect();
        for target in targets {
            self.place(now, &target);
        }
    }

    /// Gives free endpoints of one service what waits, in its order.
    pub(super) fn place(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get_mut(target) else {
            return;
        };
        if pool.queue.is_empty() {
            return;
        }
        if self.options.policy.late_last {
            // One whose answer would be late is late already.
            let answer = pool.typical_response_time();
            pool.queue.demote_late(now + answer);
        }
        for worker in &mut pool.workers {
            worker.decay(now, &self.options.worker);
        }
        let elsewhere = self.waiting_in_cell(now, target);
        while let Some((id, choice)) = self.next_placement(now, target, &elsewhere) {
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                return;
            };
            self.withdraw(id);
            self.start(now, id, job, choice);
        }
    }

    /// The first request in line that an endpoint has room for, where so many
    /// wait `elsewhere`.
    fn next_placement(
        &self,
        now: Time,
        target: &id::Target,
        elsewhere: &BTreeMap<Rank, usize>,
    ) -> Option<(job::Id, Candidate)> {
        let pool = self.pools.get(target)?;
        let free: u32 = self.free_slots(now, pool);
        let one_cell = self.members.cell().whole;
        let limited = one_cell && pool.workers.iter().any(Worker::is_rate_limited);
        for (id, job) in pool.queue.iter().take(self.options.policy.look_ahead) {
            // Others have more protected work waiting: leave them the room, but for what
            // this node alone gives out.
            let before = elsewhere.range(..job.rank).map(|(_, count)| count);
            let before: usize = before.sum();
            let leave = before > 0 && before >= free as usize;
            let may_take = |worker: &Worker| !leave || (one_cell && worker.is_rate_limited());
            if let Some(choice) =
                self.cheapest(now, pool, job, self.overcommit(pool, job), may_take)
            {
                return Some((id, choice));
            }
            if leave && !limited {
                return None;
            }
        }
        None
    }

    /// Requests of a service that wait on other nodes of this cell, by rank.
    fn waiting_in_cell(&self, now: Time, target: &id::Target) -> BTreeMap<Rank, usize> {
        let mut counts = BTreeMap::new();
        let Some(pool) = self.pools.get(target) else {
            return counts;
        };
        for waiting in self.others_waiting(now, pool.number) {
            *counts.entry(waiting.rank).or_default() += usize::from(waiting.count);
        }
        counts
    }

    /// Slots of this cell that nothing runs in. Where each node decides alone, those of
    /// endpoints that name rate limits are for their owners.
    pub(super) fn free_slots(&self, now: Time, pool: &Pool) -> u32 {
        let one_cell = self.members.cell().whole;
        let usable = pool.workers.iter().filter(|worker| {
            let options = &self.options.worker;
            let open = match one_cell {
                true => worker.accepts_work(now, options) && !worker.is_rate_limited(),
                false => worker.is_lendable(now, options),
            };
            worker.own_cell && open
        });
        let free = |worker: &Worker| pool.slots_of(now, worker).saturating_sub(worker.busy());
        usable.map(free).sum()
    }

    /// Requests beyond its slots that an endpoint may have when it is given this one.
    fn overcommit(&self, pool: &Pool, job: &Job) -> u32 {
        if !pool.engine {
            let slots = pool.workers.iter().map(|worker| worker.endpoint.slots);
            return pool.turnaround.overcommit(slots.max().unwrap_or(0));
        }
        match job.rank.urgency < pool.least_protected {
            true => self.options.policy.ahead,
            false => 0,
        }
    }

    /// Of the endpoints of this cell that have room and that `may_take` the request, the
    /// one that costs least; `ahead` is what each may have beyond its slots. One that may
    /// turn the request away comes after all others.
    pub(super) fn cheapest(
        &self,
        now: Time,
        pool: &Pool,
        job: &Job,
        ahead: u32,
        may_take: impl Fn(&Worker) -> bool,
    ) -> Option<Candidate> {
        let chain = prefix_cache::chain(&job.prompt.parts);
        let home = home_endpoint(pool, &chain);
        let slowest = pool.max_step_opt(now, job, &self.options.worker);
        let permit = self.permit_opt(now, pool);
        let apart = self.keep_apart(now, &job.target, job);
        if apart.as_ref().is_some_and(|apart| apart.begins) {
            return None;
        }
        let risk = self.risk(now, pool, job);
        let mut best: Option<Candidate> = None;
        for (at, worker) in pool.workers.iter().enumerate() {
            if !worker.own_cell
                || !self.is_usable(now, job, worker)
                || !may_take(worker)
                || job.only.is_some_and(|only| only != worker.number)
                || job.history.tried.contains(&worker.number)
                || !self.may_run_at(job, worker)
            {
                continue;
            }
            if worker.busy() >= capacity(worker, ahead)
                || !self.may_start(now, pool, worker, permit)
            {
                continue;
            }
            // Its stream would be cut off at its deadline, after holding a slot
            // for all that time.
            if slowest.is_some_and(|slowest| pool.step_of(worker) > slowest) {
                continue;
            }
            let mut choice = match pool.engine {
                true => self.engine_candidate(now, pool, at, job, &chain, home == Some(at)),
                false => self.service_candidate(pool, at, job),
            };
            // Its caller would have left before anything came.
            if choice.should_wait || now + Span(choice.first_event_us as u64) > job.expires_at() {
                continue;
            }
            let Some(preference) = risk.preference_opt(now, job, worker) else {
                continue;
            };
            choice.preference = preference;
            if let Some(apart) = &apart {
                choice.cost_us += apart.risk(at, worker.busy());
            }
            if best.is_none_or(|best| choice.is_preferred_to(&best)) {
                best = Some(choice);
            }
        }
        best
    }

    /// True where an endpoint may be sent a request now: of this node, or of another for
    /// which it does not rest.
    fn is_usable(&self, now: Time, job: &Job, worker: &Worker) -> bool {
        let options = &self.options.worker;
        match job.origin {
            None => worker.accepts_work(now, options),
            Some(_) => worker.is_lendable(now, options) && !job.avoided.contains(&worker.number),
        }
    }

    fn engine_candidate(
        &self,
        now: Time,
        pool: &Pool,
        at: usize,
        job: &Job,
        chain: &[(u64, u64)],
        home: bool,
    ) -> Candidate {
        let policy = &self.options.policy;
        let worker = &pool.workers[at];
        let cached = pool.prefix_cache.cached_tokens(now, chain, worker.number);
        let unread = job.prompt.tokens.saturating_sub(cached);
        let believed = if home && cached == 0 {
            // All nodes send a prompt to its home first: as often as prompts
            // recur, the home has read this one for another node.
            unread as f64 * (1.0 - pool.repeat_ratio)
        } else {
            unread as f64
        };
        let output = job.prompt.output_hint.unwrap_or(job.prompt.output) as f64;
        let forecast = pool.forecast(worker, believed);
        let writing = output * pool.step_us * worker.pace * policy.decode;
        Candidate {
            worker: at,
            uncached: unread,
            first_event_us: forecast.first_event_us,
            cost_us: (forecast.first_event_us + writing) * jitter(worker, job)
                + believed * policy.reread
                + self.failure_cost(worker),
            should_wait: self.should_wait(now, pool, worker, job, forecast),
            preference: Preference::Normal,
        }
    }

    /// True for an engine that a request should rather wait than take: streams
    /// there would be disturbed, or it would be late there. Once a request has
    /// no time left for waiting it takes any.
    fn should_wait(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        job: &Job,
        forecast: Forecast,
    ) -> bool {
        let policy = &self.options.policy;
        let latest = job.objective_deadline();
        let soonest = now + Span(pool.min_first_event_time(job) as u64);
        if soonest > latest {
            return false;
        }
        let late = now + Span(forecast.first_event_us as u64) > latest;
        let delays_streams = policy.pause_part > 0.0
            && pool.delays_streams(worker, job, forecast, policy.pause_part);
        (late && policy.wait_for_objective) || delays_streams
    }

    fn service_candidate(&self, pool: &Pool, at: usize, job: &Job) -> Candidate {
        let worker = &pool.workers[at];
        let slots = f64::from(worker.endpoint.slots.max(1));
        let load = f64::from(worker.busy()) / slots;
        let near = worker.endpoint.data_centre == self.options.data_centre;
        let crossing = if near {
            0.0
        } else {
            self.options.policy.crossing
        };
        let jitter = jitter(worker, job);
        Candidate {
            worker: at,
            uncached: 0,
            first_event_us: 0.0,
            should_wait: false,
            preference: Preference::Normal,
            cost_us: pool.call_us * worker.pace * (1.0 + load) * jitter
                + crossing
                + self.failure_cost(worker),
        }
    }

    fn failure_cost(&self, worker: &Worker) -> f64 {
        let reports = worker.remote_reports;
        let others = if reports.failing + reports.unreachable > 0 {
            REPORTED_FAILURE_RATE
        } else {
            0.0
        };
        (worker.failure_rate + others) * self.options.policy.failing
    }
}

/// Requests that an endpoint may have before a further one goes there. An
/// endpoint that failed gets one at a time until one works.
fn capacity(worker: &Worker, ahead: u32) -> u32 {
    match worker.consecutive_failures {
        0 => worker.endpoint.slots + ahead,
        _ => 1 + worker.remote_running,
    }
}

/// By how much costs are spread, and in how many steps.
const JITTER_RATIO: f64 = 0.1;
const JITTER_STEPS: u64 = 100;

/// Up to a tenth more, as if at random, so that nodes do not all choose the
/// same endpoint at the same moment.
fn jitter(worker: &Worker, job: &Job) -> f64 {
    let mixed = hash::chain(u64::from(worker.number), &job.arrived.0.to_le_bytes());
    1.0 + JITTER_RATIO * (mixed % JITTER_STEPS) as f64 / JITTER_STEPS as f64
}

/// The endpoint that all nodes take for the home of a prompt (rendezvous
/// hashing): the last part is the request's own or its session's.
fn home_endpoint(pool: &Pool, chain: &[(u64, u64)]) -> Option<usize> {
    let (key, _) = chain.last()?;
    let takers = pool.workers.iter().enumerate();
    let homes = takers.filter(|(_, worker)| {
        worker.own_cell && worker.listed && !worker.is_leaving() && !worker.evacuated
    });
    homes
        .max_by_key(|(_, worker)| hash::chain(*key, &worker.number.to_le_bytes()))
        .map(|(at, _)| at)
}
