//! Which waiting request goes to which endpoint now.

use std::collections::BTreeMap;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::doubt::Turn;
use super::predict::Forecast;
use crate::configuration::Rank;
use crate::job;
use crate::job::Job;
use crate::warm;
use crate::worker::Worker;

/// An endpoint that could take a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    /// Its place among the endpoints of its service.
    pub worker: usize,
    /// Prompt tokens that it is believed to have to read.
    pub uncached: u64,
    micros: f64,
    /// The time until its first event is expected, in microseconds.
    first: f64,
    /// True where it should rather wait for another.
    unfit: bool,
    turn: Turn,
}

impl Choice {
    fn goes_before(&self, other: &Choice) -> bool {
        self.turn < other.turn || (self.turn == other.turn && self.micros < other.micros)
    }
}

/// What it counts for that other nodes keep away from an endpoint: half of what
/// it would if all calls of this node failed.
const REPORTED: f64 = 0.5;

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
            let answer = pool.usual_answer();
            pool.queue.demote_late(now + answer);
        }
        for worker in &mut pool.workers {
            worker.fade(now, &self.options.worker);
        }
        let elsewhere = self.near_waiting(now, target);
        while let Some((id, choice)) = self.next(now, target, &elsewhere) {
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
    fn next(
        &self,
        now: Time,
        target: &id::Target,
        elsewhere: &BTreeMap<Rank, usize>,
    ) -> Option<(job::Id, Choice)> {
        let pool = self.pools.get(target)?;
        let free: u32 = self.free_slots(now, pool);
        let one_cell = self.members.cell().covers_fleet;
        let limited = one_cell && pool.workers.iter().any(Worker::is_rate_limited);
        for (id, job) in pool.queue.iter().take(self.options.policy.look_ahead) {
            // Others have more protected work waiting: leave them the room, but for what
            // this node alone gives out.
            let before = elsewhere.range(..job.rank).map(|(_, count)| count);
            let before: usize = before.sum();
            let leave = before > 0 && before >= free as usize;
            let may_take = |worker: &Worker| !leave || (one_cell && worker.is_rate_limited());
            if let Some(choice) = self.cheapest(now, pool, job, self.ahead(pool, job), may_take) {
                return Some((id, choice));
            }
            if leave && !limited {
                return None;
            }
        }
        None
    }

    /// Requests of a service that wait on other nodes of this cell, by rank.
    fn near_waiting(&self, now: Time, target: &id::Target) -> BTreeMap<Rank, usize> {
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
        let one_cell = self.members.cell().covers_fleet;
        let usable = pool.workers.iter().filter(|worker| {
            let options = &self.options.worker;
            let open = match one_cell {
                true => worker.takes_work(now, options) && !worker.is_rate_limited(),
                false => worker.lends(now, options),
            };
            worker.own_cell && open
        });
        let free = |worker: &Worker| pool.slots_of(now, worker).saturating_sub(worker.busy());
        usable.map(free).sum()
    }

    /// Requests beyond its slots that an endpoint may have when it is given this one.
    fn ahead(&self, pool: &Pool, job: &Job) -> u32 {
        if !pool.engine {
            let slots = pool.workers.iter().map(|worker| worker.endpoint.slots);
            return pool.turnaround.beyond(slots.max().unwrap_or(0));
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
    ) -> Option<Choice> {
        let chain = warm::chain(&job.prompt.parts);
        let home = home(pool, &chain);
        let slowest = pool.slowest_step_opt(now, job, &self.options.worker);
        let permit = self.permit_opt(now, pool);
        let apart = self.keep_apart(now, &job.target, job);
        if apart.as_ref().is_some_and(|apart| apart.begins) {
            return None;
        }
        let risk = self.risk(now, pool, job);
        let mut best: Option<Choice> = None;
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
            if worker.busy() >= room(worker, ahead) || !self.may_start(now, pool, worker, permit) {
                continue;
            }
            // Its stream would be cut off at its deadline, after holding a slot
            // for all that time.
            if slowest.is_some_and(|slowest| pool.step_of(worker) > slowest) {
                continue;
            }
            let mut choice = match pool.engine {
                true => self.engine_choice(now, pool, at, job, &chain, home == Some(at)),
                false => self.service_choice(pool, at, job),
            };
            // Its caller would have left before anything came.
            if choice.unfit || now + Span(choice.first as u64) > job.latest() {
                continue;
            }
            let Some(turn) = risk.turn_opt(now, job, worker) else {
                continue;
            };
            choice.turn = turn;
            if let Some(apart) = &apart {
                choice.micros += apart.risk(at, worker.busy());
            }
            if best.is_none_or(|best| choice.goes_before(&best)) {
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
            None => worker.takes_work(now, options),
            Some(_) => worker.lends(now, options) && !job.avoided.contains(&worker.number),
        }
    }

    fn engine_choice(
        &self,
        now: Time,
        pool: &Pool,
        at: usize,
        job: &Job,
        chain: &[(u64, u64)],
        home: bool,
    ) -> Choice {
        let policy = &self.options.policy;
        let worker = &pool.workers[at];
        let cached = pool.warm.cached(now, chain, worker.number);
        let unread = job.prompt.tokens.saturating_sub(cached);
        let believed = if home && cached == 0 {
            // All nodes send a prompt to its home first: as often as prompts
            // recur, the home has read this one for another node.
            unread as f64 * (1.0 - pool.recurring)
        } else {
            unread as f64
        };
        let output = job.prompt.output_hint.unwrap_or(job.prompt.output) as f64;
        let forecast = pool.forecast(worker, believed);
        let writing = output * pool.step * worker.pace * policy.decode;
        Choice {
            worker: at,
            uncached: unread,
            first: forecast.first,
            micros: (forecast.first + writing) * spread(worker, job)
                + believed * policy.reread
                + self.doubt(worker),
            unfit: self.is_unfit(now, pool, worker, job, forecast),
            turn: Turn::Sure,
        }
    }

    /// True for an engine that a request should rather wait than take: streams
    /// there would be disturbed, or it would be late there. Once a request has
    /// no time left for waiting it takes any.
    fn is_unfit(
        &self,
        now: Time,
        pool: &Pool,
        worker: &Worker,
        job: &Job,
        forecast: Forecast,
    ) -> bool {
        let policy = &self.options.policy;
        let latest = job.in_time_until();
        let soonest = now + Span(pool.soonest_first(job) as u64);
        if soonest > latest {
            return false;
        }
        let late = now + Span(forecast.first as u64) > latest;
        let disturbs =
            policy.pause_part > 0.0 && pool.disturbs(worker, job, forecast, policy.pause_part);
        (late && policy.wait_for_objective) || disturbs
    }

    fn service_choice(&self, pool: &Pool, at: usize, job: &Job) -> Choice {
        let worker = &pool.workers[at];
        let slots = f64::from(worker.endpoint.slots.max(1));
        let load = f64::from(worker.busy()) / slots;
        let near = worker.endpoint.data_centre == self.options.data_centre;
        let crossing = if near {
            0.0
        } else {
            self.options.policy.crossing
        };
        let spread = spread(worker, job);
        Choice {
            worker: at,
            uncached: 0,
            first: 0.0,
            unfit: false,
            turn: Turn::Sure,
            micros: pool.call * worker.pace * (1.0 + load) * spread + crossing + self.doubt(worker),
        }
    }

    fn doubt(&self, worker: &Worker) -> f64 {
        let reports = worker.others_trouble;
        let others = if reports.failing + reports.unreachable > 0 {
            REPORTED
        } else {
            0.0
        };
        (worker.failing + others) * self.options.policy.failing
    }
}

/// Requests that an endpoint may have before a further one goes there. An
/// endpoint that failed gets one at a time until one works.
fn room(worker: &Worker, ahead: u32) -> u32 {
    match worker.failures {
        0 => worker.endpoint.slots + ahead,
        _ => 1 + worker.others,
    }
}

/// By how much costs are spread, and in how many steps.
const SPREAD: f64 = 0.1;
const SPREAD_STEPS: u64 = 100;

/// Up to a tenth more, as if at random, so that nodes do not all choose the
/// same endpoint at the same moment.
fn spread(worker: &Worker, job: &Job) -> f64 {
    let mixed = hash::chain(u64::from(worker.number), &job.arrived.0.to_le_bytes());
    1.0 + SPREAD * (mixed % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64
}

/// The endpoint that all nodes take for the home of a prompt (rendezvous
/// hashing): the last part is the request's own or its session's.
fn home(pool: &Pool, chain: &[(u64, u64)]) -> Option<usize> {
    let (key, _) = chain.last()?;
    let takers = pool.workers.iter().enumerate();
    let homes = takers.filter(|(_, worker)| {
        worker.own_cell && worker.listed && !worker.is_leaving() && !worker.evacuated
    });
    homes
        .max_by_key(|(_, worker)| hash::chain(*key, &worker.number.to_le_bytes()))
        .map(|(at, _)| at)
}
