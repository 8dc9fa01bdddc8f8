//! Queries: estimates, and state shown to operators.

use serde::Deserialize;
use serde::Serialize;
use woadstage_config::published::Tier;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Ask;
use super::Pool;
use super::queue::Entry;

/// State of one endpoint, as known to the pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name of the endpoint.
    pub name: id::Endpoint,
    /// Whether the endpoint gets new work.
    pub takes_work: bool,
    /// The number of requests that run under this pool's grants.
    pub running: u32,
    /// The number of further requests that the endpoint reports.
    pub extra: u32,
    /// The learnt prefill speed, in prompt tokens per second.
    pub prefill_per_second: u64,
    /// The learnt time between tokens, in microseconds.
    pub step_us: u64,
}

/// State of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The model or service.
    pub target: id::Target,
    /// The number of waiting requests by tier.
    pub waiting: Vec<(Tier, usize)>,
    /// The number of running requests.
    pub running: usize,
    /// The endpoints of the pool.
    pub endpoints: Vec<Endpoint>,
}

impl Pool {
    /// Returns the state of the pool at `now`.
    pub fn summary(&self, now: Time) -> Summary {
        let endpoint = |worker: &super::worker::Worker| Endpoint {
            name: worker.name.clone(),
            takes_work: worker.takes_work(now, self.options.silence),
            running: worker.running,
            extra: worker.external,
            prefill_per_second: (1e6 / worker.prefill.max(0.01)) as u64,
            step_us: worker.step as u64,
        };
        Summary {
            target: self.target.name.clone(),
            waiting: self.queue.counts(),
            running: self.in_flight.len(),
            endpoints: self.workers.iter().map(endpoint).collect(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that run under grants.
    pub fn running(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether the request waits or runs in this pool.
    pub fn knows(&self, request: id::Request) -> bool {
        self.queue.contains(request) || self.in_flight.contains_key(&request)
    }

    /// Returns the time at which [`Pool::tick`] next has a waiting request to
    /// refuse.
    pub fn next_wake_opt(&self) -> Option<Time> {
        self.queue.next_expiry_opt()
    }

    /// Returns the expected number of output tokens of a request.
    pub(super) fn output(&self, ask: &Ask) -> f64 {
        let known = self
            .outputs
            .get(&ask.class)
            .copied()
            .unwrap_or(ask.output.0 as f64);
        match ask.output_limit {
            Some(limit) => known.min(limit.0 as f64),
            None => known,
        }
    }

    fn time_on(&self, ask: &Ask, prefill: f64, step: f64) -> f64 {
        ask.prompt.0 as f64 * prefill + self.output(ask) * step
    }

    /// Returns the estimated endpoint time of a request, in microseconds, at
    /// the speed of the first listed endpoint.
    pub(super) fn cost(&self, ask: &Ask) -> f64 {
        let mut speeds = self.workers.iter().filter(|worker| worker.listed);
        match speeds.next() {
            Some(worker) => self.time_on(ask, worker.prefill, worker.step),
            None => self.time_on(
                ask,
                1e6 / self.target.prefill.0 as f64,
                self.target.step.0 as f64,
            ),
        }
    }

    /// Returns the estimated endpoint time on the fastest endpoint, in
    /// microseconds, without the longest prefix that any endpoint may have
    /// cached.
    pub(super) fn ideal(&self, ask: &Ask) -> f64 {
        let cached_on = self.prefix_cache.candidates(&ask.blocks);
        let longest_prefix = cached_on.first().map_or(0, |(_, tokens)| *tokens);
        let prompt = ask.prompt.0.saturating_sub(longest_prefix) as f64;
        let output = self.output(ask);
        let time = |worker: &super::worker::Worker| prompt * worker.prefill + output * worker.step;
        let listed = self
            .workers
            .iter()
            .filter(|worker| worker.listed && !worker.leaving);
        listed.map(time).fold(f64::INFINITY, f64::min)
    }

    /// Returns the estimated time until the work ahead of a new request of
    /// `tier` has started, in microseconds, if all endpoints keep their speed.
    pub(super) fn wait(&self, tier: Tier, customer: u64) -> f64 {
        let live = self
            .workers
            .iter()
            .filter(|worker| worker.listed && !worker.leaving)
            .count();
        let slots = live as f64 * f64::from(self.target.slots);
        self.queue.cost_ahead(tier, customer) / slots.max(1.0)
    }

    /// Returns when a refused caller should retry: after the estimated wait,
    /// spread by a hash so that callers do not all return together.
    pub(super) fn retry_after(&self, entry: &Entry) -> Span {
        let base = Span(
            (self.wait(entry.ask.tier, entry.ask.customer) as u64).clamp(1_000_000, 60_000_000),
        );
        let spread = hash::of(&entry.ask.request.0.to_le_bytes()) % base.0;
        base + Span(spread)
    }
}
