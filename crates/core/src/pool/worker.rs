//! State of one endpoint: running requests, learnt speed and availability.

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The weight of a new observation in the moving averages. Three observations
/// make up two thirds of the estimate, so a slow-down shows within a few steps.
const EWMA_WEIGHT: f64 = 0.3;

/// State of an endpoint, as known to the pool.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The name of the endpoint.
    pub name: id::Endpoint,
    /// Whether the endpoint is in the last list passed to
    /// [`Pool::set_workers`](super::Pool::set_workers).
    pub listed: bool,
    /// Whether the endpoint reported that it is leaving.
    pub leaving: bool,
    /// The learnt time for one prompt token, in microseconds.
    pub prefill: f64,
    /// The learnt time between two tokens, or for a whole service call, in
    /// microseconds.
    pub step: f64,
    /// The number of requests that run under this pool's grants.
    pub running: u32,
    /// The number of granted prompt tokens whose first output token is
    /// outstanding.
    pub pending: u64,
    /// The concurrency limit while the endpoint recovers from a failure.
    pub concurrency_limit: u32,
    /// The number of consecutive failures.
    pub failures: u32,
    /// The end of the backoff; no work is assigned before.
    pub backoff_until: Time,
    /// The time of the last progress, or of the grant that ended an idle
    /// period.
    pub last_progress: Time,
    /// The number of reported requests beyond this pool's own.
    pub external: u32,
    /// The peak of `running` since the last report and in the interval before
    /// it.
    peaks: [u32; 2],
}

impl Worker {
    /// Creates an unlisted endpoint with the configured speed.
    pub fn new(name: id::Endpoint, prefill: f64, step: f64, slots: u32) -> Worker {
        Worker {
            name,
            listed: false,
            leaving: false,
            prefill,
            step,
            running: 0,
            pending: 0,
            concurrency_limit: slots,
            failures: 0,
            backoff_until: Time(0),
            last_progress: Time(0),
            external: 0,
            peaks: [0; 2],
        }
    }

    /// Counts a granted request.
    pub fn start(&mut self, now: Time, uncached: u64) {
        if self.running == 0 {
            self.last_progress = now;
        }
        self.running += 1;
        self.pending += uncached;
        self.peaks[0] = self.peaks[0].max(self.running);
    }

    /// Counts the end of a granted request.
    pub fn end(&mut self, pending: u64) {
        self.running = self.running.saturating_sub(1);
        self.pending = self.pending.saturating_sub(pending);
    }

    /// Updates the prefill speed from the time to a first token.
    pub fn learn_prefill(&mut self, micros: f64, tokens: u64) {
        let seen = micros / tokens.max(1) as f64;
        self.prefill += (seen - self.prefill) * EWMA_WEIGHT;
    }

    /// Updates the time between tokens.
    pub fn learn_step(&mut self, micros: f64) {
        self.step += (micros - self.step) * EWMA_WEIGHT;
    }

    /// Counts a failure and starts a backoff.
    pub fn fail(&mut self, now: Time, backoff: Span, limit: Span) {
        let doubled = backoff.0 << self.failures.min(10);
        self.failures += 1;
        self.backoff_until = now + Span(doubled.min(limit.0));
        self.concurrency_limit = 1;
    }

    /// Counts a success and doubles the concurrency limit, up to `slots`.
    pub fn succeed(&mut self, slots: u32) {
        self.failures = 0;
        self.concurrency_limit = (self.concurrency_limit * 2).min(slots);
    }

    /// Records a reported number of running requests. Reports are out of date
    /// on arrival, so only what exceeds the pool's own peak over two reports
    /// counts as the work of others.
    pub fn report(&mut self, reported: u32) {
        let ours = self.peaks[0].max(self.peaks[1]);
        self.external = reported.saturating_sub(ours);
        self.peaks = [self.running, self.peaks[0]];
    }

    /// Returns whether the endpoint gets new work. An endpoint with running
    /// requests counts as silent after `silence` or 20 token steps, whichever
    /// is longer.
    pub fn takes_work(&self, now: Time, silence: Span) -> bool {
        let silence = Span(silence.0.max((self.step * 20.0) as u64));
        let silent = self.running > 0 && now.since(self.last_progress) > silence;
        self.listed && !self.leaving && now >= self.backoff_until && !silent
    }
}
