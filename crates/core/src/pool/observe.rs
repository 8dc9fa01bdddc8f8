//! Commands that report what endpoints do.

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use super::Pool;

impl Pool {
    /// Records the first token of a call.
    pub fn first(&mut self, now: Time, request: id::Request) {
        let Some(call) = self.in_flight.get_mut(&request) else {
            return;
        };
        if call.first.replace(now).is_some() {
            return;
        }
        let worker = &mut self.workers[call.worker];
        worker.pending = worker.pending.saturating_sub(call.uncached);
        worker.last_progress = now;
        let since = now.since(call.granted).0 as f64 - worker.step;
        let tokens = call.uncached + call.tokens_ahead;
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS {
            worker.learn_prefill(since.max(0.0), tokens);
        }
        self.place(now);
    }

    /// Records `tokens` tokens from an endpoint; `busy` is the total time that
    /// its calls spent decoding them.
    pub fn progress(&mut self, now: Time, endpoint: &id::Endpoint, tokens: Tokens, busy: Span) {
        let Some(at) = self.index.get(endpoint) else {
            return;
        };
        let worker = &mut self.workers[*at];
        worker.last_progress = now;
        if tokens.0 > 0 && busy > Span::ZERO {
            worker.learn_step(busy.0 as f64 / tokens.0 as f64);
        }
    }

    /// Records an endpoint's own report, which may be out of date on arrival.
    pub fn report(&mut self, now: Time, endpoint: &id::Endpoint, busy: u32, leaving: bool) {
        let Some(at) = self.index.get(endpoint) else {
            return;
        };
        let worker = &mut self.workers[*at];
        worker.leaving = leaving;
        worker.report(busy);
        self.place(now);
    }
}

/// The minimum number of prompt tokens from which the prefill speed is learnt;
/// with fewer, the time to the first token says little about it.
const MIN_PREFILL_SAMPLE_TOKENS: u64 = 64;
