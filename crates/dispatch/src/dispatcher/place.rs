//! Assigns waiting requests to endpoints.

use std::collections::BTreeMap;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::predict::Forecast;
use super::present_speed::Choice;
use super::present_speed::Penalty;
use super::present_speed::lost_us;
use super::rejection::Preference;
use crate::configuration::Rank;
use crate::job;
use crate::job::Job;
use crate::prefix_cache;
use crate::worker::Worker;

/// An endpoint that can run a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// The index of the endpoint in the pool of its service.
    pub worker: usize,
    /// The estimated number of prompt tokens that it has to read.
    pub uncached: u64,
    cost_us: f64,
    /// The cost of the endpoint's present slowness.
    penalty: Penalty,
    /// Whether an endpoint that is slow at present was passed over for this one.
    pub avoids_slow: bool,
    /// The expected time to the first event, in microseconds.
    first_event_us: f64,
    /// Whether the request should wait for another endpoint instead.
    should_wait: bool,
    preference: Preference,
}

impl Candidate {
    /// Whether this endpoint is better than another by their present speeds.
    pub(super) fn is_preferred_to(&self, other: &Candidate) -> bool {
        let rank = |one: &Candidate| (one.preference, one.penalty.is_last_resort);
        let cost_us = |one: &Candidate| one.cost_us + one.penalty.lost_us;
        rank(self) < rank(other) || (rank(self) == rank(other) && cost_us(self) < cost_us(other))
    }

    /// Whether this endpoint is better than another by their usual speeds.
    pub(super) fn is_usually_preferred_to(&self, other: &Candidate) -> bool {
        self.preference < other.preference
            || (self.preference == other.preference && self.cost_us < other.cost_us)
    }
}

/// The failure rate assumed for an endpoint that other nodes avoid. Half of what it would be if all
/// calls of this node failed.
const REPORTED_FAILURE_RATE: f64 = 0.5;

impl Dispatcher {
    /// Starts waiting requests of all services on free endpoints.
    pub(super) fn place_all(&mut self, now: Time) {
        let targets: Vec<id::Target> = self.pools.keys().cloned().collect();
        for target in targets {
            self.place(now, &target);
        }
    }

    /// Starts waiting requests of one service on free endpoints, in queue order.
    pub(super) fn place(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get_mut(target) else {
            return;
        };
        if pool.queue.is_empty() || self.gate.is_closed() {
            return;
        }
        if self.options.policy.late_last {
            // A request counts as late as soon as its answer would be late.
            let answer = pool.typical_response_time();
            pool.queue.demote_late(now + answer);
        }
        pool.refund_departed();
        for worker in &mut pool.workers {
            worker.decay(now, &self.options.worker);
        }
        let elsewhere = self.waiting_in_cell(now, target);
        while let Some((id, candidate)) = self.next_placement(now, target, &elsewhere) {
            let pool = self.pools.get_mut(target);
            let removed = pool.and_then(|pool| {
                pool.avoided_slow += u64::from(candidate.avoids_slow);
                pool.queue.remove(id)
            });
            let Some(job) = removed else {
                return;
            };
            self.cancel_open_request(id);
            self.start(now, id, job, candidate);
        }
    }

    /// Returns the first request in the queue for which an endpoint has capacity. `elsewhere`
    /// counts the requests that wait on other nodes.
    fn next_placement(
        &self,
        now: Time,
        target: &id::Target,
        elsewhere: &BTreeMap<Rank, usize>,
    ) -> Option<(job::Id, Candidate)> {
        let pool = self.pools.get(target)?;
        let free: u32 = self.free_slots(now, pool);
        let one_cell = self.members.cell().covers_fleet;
        let owned = one_cell && pool.workers.iter().any(Worker::needs_owner);
        let mut considered = 0;
        for (id, job) in pool.queue.iter() {
            // Requests that wait for one version don't hold up those behind them.
            considered += usize::from(!job.binding.is_bound());
            if considered > self.options.policy.look_ahead {
                break;
            }
            // The free slots are reserved for more protected requests that wait on other nodes,
            // except for slots that only this node hands out.
            let higher_ranked = elsewhere.range(..job.rank).map(|(_, count)| count);
            let higher_ranked: usize = higher_ranked.sum();
            let reserve = higher_ranked > 0 && higher_ranked >= free as usize;
            let may_take = |worker: &Worker| !reserve || (one_cell && worker.needs_owner());
            let usual = self.overcommit(pool, job);
            let ahead = |worker: &Worker| self.depth_opt(now, pool, worker).unwrap_or(usual);
            if let Some(candidate) = self.cheapest(now, pool, job, ahead, may_take) {
                return Some((id, candidate));
            }
            if reserve && !owned {
                return None;
            }
        }
        None
    }

    /// Counts the requests of a service that wait on other nodes of this cell, by rank.
    fn waiting_in_cell(&self, now: Time, target: &id::Target) -> BTreeMap<Rank, usize> {
        let mut counts = BTreeMap::new();
        let Some(pool) = self.pools.get(target) else {
            return counts;
        };
        for waiting in self.waiting_elsewhere(now, pool.number) {
            *counts.entry(waiting.rank).or_default() += usize::from(waiting.count);
        }
        counts
    }

    /// Counts the free slots of this cell. In a fleet of one cell, endpoints whose slots only their
    /// owners hand out are left out.
    pub(super) fn free_slots(&self, now: Time, pool: &Pool) -> u32 {
        let one_cell = self.members.cell().covers_fleet;
        let usable = pool.workers.iter().filter(|worker| {
            let options = &self.options.worker;
            let open = match one_cell {
                true => worker.accepts_work(now, options) && !worker.needs_owner(),
                false => worker.is_lendable(now, options),
            };
            worker.own_cell && open
        });
        let free = |worker: &Worker| pool.slots_of(now, worker).saturating_sub(worker.busy());
        usable.map(free).sum()
    }

    /// The number of requests that an endpoint of a plain service is given beyond its slots by the
    /// load that it states. `None` if it never stated one.
    pub(super) fn depth_opt(&self, now: Time, pool: &Pool, worker: &Worker) -> Option<u32> {
        let slot_depth = self.options.policy.slot_depth;
        let applies = !pool.engine && slot_depth.applies(pool.has_variable_capacity);
        worker.stated_load.filter(|_| applies)?;
        Some(worker.depth.requests(now, worker.endpoint.slots))
    }

    /// The number of requests that an endpoint may have beyond its slots when this one is sent to it.
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

    /// Returns the cheapest endpoint of this cell that has capacity and satisfies `may_take`.
    /// `ahead` is the number of requests that an endpoint may have beyond its slots. Endpoints
    /// that may reject the request come last.
    pub(super) fn cheapest(
        &self,
        now: Time,
        pool: &Pool,
        job: &Job,
        ahead: impl Fn(&Worker) -> u32,
        may_take: impl Fn(&Worker) -> bool,
    ) -> Option<Candidate> {
        let chain = prefix_cache::chain(&job.prompt.parts);
        let home = home_endpoint(pool, &chain);
        let max_step = pool.max_step_opt(now, job, &self.options.worker);
        let permit = self.permit_opt(now, pool);
        let isolation = self.isolation_opt(now, &job.target, job);
        if isolation
            .as_ref()
            .is_some_and(|isolation| isolation.is_starting)
        {
            return None;
        }
        let risk = self.risk(now, pool, job);
        let mut choice = Choice::default();
        for (index, worker) in pool.workers.iter().enumerate() {
            if !worker.own_cell
                || !self.is_usable(now, job, worker)
                || !may_take(worker)
                || job.only_endpoint.is_some_and(|only| only != worker.number)
                || job.history.tried.contains(&worker.number)
                || !self.may_run_at(job, worker)
            {
                continue;
            }
            let usual = usual_capacity(worker, ahead(worker), job);
            if worker.busy() >= self.capacity(now, worker, permit, usual)
                || !self.may_start(now, pool, worker, permit)
            {
                continue;
            }
            // The stream would hold a slot until its deadline and then be cut off.
            if max_step.is_some_and(|max_step| pool.step_of(worker) > max_step) {
                continue;
            }
            let mut candidate = match pool.engine {
                true => self.engine_candidate(now, pool, index, job, &chain, home == Some(index)),
                false => self.service_candidate(now, pool, index, job),
            };
            // The caller would give up before the first event.
            if candidate.should_wait
                || now + Span(candidate.first_event_us as u64) > job.expires_at()
            {
                continue;
            }
            let Some(preference) = risk.preference_opt(now, job, worker) else {
                continue;
            };
            candidate.preference = preference;
            if let Some(isolation) = &isolation {
                candidate.cost_us += isolation.risk(index, worker.busy());
                // Keeping a suspect away from other requests matters more than its time.
                candidate.penalty = Penalty::default();
            }
            choice.add(candidate);
        }
        choice.into_best()
    }

    /// Whether an endpoint can be sent this request now. Requests of other nodes must not go to
    /// endpoints that rest for those nodes.
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
        index: usize,
        job: &Job,
        chain: &[(u64, u64)],
        home: bool,
    ) -> Candidate {
        let policy = &self.options.policy;
        let worker = &pool.workers[index];
        let cached = pool.prefix_cache.cached_tokens(now, chain, worker.number);
        let unread = job.prompt.tokens.saturating_sub(cached);
        let expected_unread = if home && cached == 0 {
            // All nodes send a prompt to its home endpoint first, so another node may already have
            // sent this one there. The likelihood is the share of prompts that repeat.
            unread as f64 * (1.0 - pool.repeat_ratio)
        } else {
            unread as f64
        };
        let output = job.prompt.output_hint.unwrap_or(job.prompt.output) as f64;
        let forecast = pool.forecast(worker, expected_unread);
        let decode_us = output * pool.step_us * worker.pace * policy.decode;
        let ratio = self.present_ratio(now, pool, worker);
        let present = forecast.slowed(ratio);
        Candidate {
            worker: index,
            uncached: unread,
            first_event_us: forecast.first_event_us,
            cost_us: (forecast.first_event_us + decode_us) * jitter(worker, job)
                + expected_unread * policy.reread
                + self.failure_cost(worker),
            penalty: Penalty {
                lost_us: lost_us(forecast.first_event_us + decode_us, ratio),
                is_last_resort: ratio > 1.0 && self.should_wait(now, pool, worker, job, present),
            },
            avoids_slow: false,
            should_wait: self.should_wait(now, pool, worker, job, forecast),
            preference: Preference::Normal,
        }
    }

    /// Whether a request should wait rather than take this engine, because it would delay streams
    /// there or be late itself. A request that can no longer meet its objective takes any engine.
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

    fn service_candidate(&self, now: Time, pool: &Pool, index: usize, job: &Job) -> Candidate {
        let worker = &pool.workers[index];
        let slots = f64::from(worker.endpoint.slots.max(1));
        let load = f64::from(worker.busy()) / slots;
        let in_own_data_centre = worker.endpoint.data_centre == self.options.data_centre;
        let crossing = if in_own_data_centre {
            0.0
        } else {
            self.options.policy.crossing
        };
        let jitter = jitter(worker, job);
        let ratio = self.present_ratio(now, pool, worker);
        Candidate {
            worker: index,
            uncached: 0,
            first_event_us: 0.0,
            penalty: Penalty {
                lost_us: lost_us(pool.call_us * worker.pace * (1.0 + load), ratio),
                is_last_resort: false,
            },
            avoids_slow: false,
            should_wait: false,
            preference: Preference::Normal,
            cost_us: pool.call_us * worker.pace * (1.0 + load) * jitter
                + crossing
                + self.failure_cost(worker),
        }
    }

    fn failure_cost(&self, worker: &Worker) -> f64 {
        let reports = worker.remote_reports;
        let remote_failure_rate = if reports.failing + reports.unreachable > 0 {
            REPORTED_FAILURE_RATE
        } else {
            0.0
        };
        (worker.failure_rate + remote_failure_rate) * self.options.policy.failing
    }
}

/// The number of requests that an endpoint without a fleet-wide limit may have in progress. After a
/// failure it gets one request of this node's callers at a time until one succeeds.
fn usual_capacity(worker: &Worker, ahead: u32, job: &Job) -> u32 {
    match worker.consecutive_failures {
        0 => worker.endpoint.slots + ahead,
        _ if job.origin.is_some() => worker.endpoint.slots + ahead,
        _ => 1 + worker.remote_running,
    }
}

/// The range over which costs are spread, and the number of steps in it.
const JITTER_RATIO: f64 = 0.1;
const JITTER_STEPS: u64 = 100;

/// Returns a factor that adds up to a tenth to the cost, by a hash of endpoint and request, so that
/// nodes do not all choose the same endpoint at the same moment.
fn jitter(worker: &Worker, job: &Job) -> f64 {
    let mixed = hash::chain(u64::from(worker.number), &job.arrived.0.to_le_bytes());
    1.0 + JITTER_RATIO * (mixed % JITTER_STEPS) as f64 / JITTER_STEPS as f64
}

/// Returns the home endpoint of a prompt, which all nodes agree on (rendezvous hashing). The key is
/// the last part of the prompt, which belongs to the request or its session.
fn home_endpoint(pool: &Pool, chain: &[(u64, u64)]) -> Option<usize> {
    let (key, _) = chain.last()?;
    let workers = pool.workers.iter().enumerate();
    let candidates = workers.filter(|(_, worker)| {
        worker.own_cell && worker.listed && !worker.is_leaving() && !worker.evacuated
    });
    candidates
        .max_by_key(|(_, worker)| hash::chain(*key, &worker.number.to_le_bytes()))
        .map(|(index, _)| index)
}
