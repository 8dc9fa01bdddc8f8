//! Commands that add, end and take over requests.

use std::sync::Arc;

use woadstage_config::published::Target;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use super::Ask;
use super::Decision;
use super::End;
use super::InFlight;
use super::Peer;
use super::Pool;
use super::queue::Entry;
use super::worker::Worker;

/// The maximum delay of a long request, as a multiple of the estimated wait.
const MAX_DELAY_WAITS: u64 = 4;

impl Pool {
    /// Sets the endpoints that are live and not leaving, and the percentage of
    /// slots that each tier may not use. Other endpoints get no new work.
    pub fn set_workers(&mut self, target: &Arc<Target>, live: &[id::Endpoint], reserves: &[u32]) {
        self.target = target.clone();
        self.reserves = reserves.to_vec();
        self.workers
            .iter_mut()
            .for_each(|worker| worker.listed = false);
        for name in live {
            let at = self.worker(name);
            self.workers[at].listed = true;
        }
    }

    pub(super) fn worker(&mut self, name: &id::Endpoint) -> usize {
        if let Some(at) = self.index.get(name) {
            return *at;
        }
        let prefill = 1e6 / self.target.prefill.0 as f64;
        let step = self.target.step.0 as f64;
        self.workers
            .push(Worker::new(name.clone(), prefill, step, self.target.slots));
        self.index.insert(name.clone(), self.workers.len() - 1);
        self.workers.len() - 1
    }

    /// Requests an endpoint. A repeated attempt has its grant sent again and
    /// counts once.
    pub fn ask(&mut self, now: Time, peer: Peer, ask: Ask) {
        if let Some(call) = self.in_flight.get(&ask.request) {
            if call.ask.attempt == ask.attempt {
                self.resend_grant(ask.request);
                return;
            }
            self.release(now, ask.request, End::Unused);
        }
        self.queue.remove(ask.request);
        let cost = self.cost(&ask);
        let ideal = self.ideal(&ask);
        let deadline = now + ask.left;
        let slack = ask.left.0 as f64 - ideal * self.options.safety_percent as f64 / 100.0;
        let entry = Entry {
            latest_start: now + Span(slack.max(0.0) as u64),
            arrived_at: now,
            deadline,
            cost,
            peer,
            ask,
        };
        match self.rejection_opt(&entry, slack) {
            Some(code) => self.refuse(entry, code),
            None => self.enqueue(entry),
        }
        self.place(now);
    }

    /// Returns why a request is refused on arrival, if it is.
    fn rejection_opt(&self, entry: &Entry, slack: f64) -> Option<Code> {
        if !self
            .workers
            .iter()
            .any(|worker| worker.listed && !worker.leaving)
        {
            return Some(Code::NoEndpoint);
        }
        if slack <= 0.0 {
            return Some(Code::TooLate);
        }
        // Only half of the estimated wait counts: the cost of waiting requests
        // is an estimate, and a wrong early refusal loses an answer, whereas a
        // wrong wait costs little.
        let wait = self.wait(entry.ask.tier, entry.ask.customer) / 2.0;
        (wait > slack).then_some(Code::TooLate)
    }

    fn enqueue(&mut self, entry: Entry) {
        if self.queue.len() >= self.options.queue_limit {
            let least = self.queue.least_protected_tier_opt().unwrap_or(0);
            if least <= entry.ask.tier {
                self.refuse(entry, Code::QueueFull);
                return;
            }
            if let Some(displaced) = self.queue.pop_least_protected() {
                self.refuse(displaced, Code::Displaced);
            }
        }
        let queue_delay = self.queue_delay(&entry);
        self.queue.push(entry, queue_delay);
    }

    /// Returns how far a request is moved back in the queue for its length.
    /// Short requests go first, but length alone never makes a request late
    /// unless the wait does so for all.
    pub(super) fn queue_delay(&self, entry: &Entry) -> Span {
        let slack =
            entry.latest_start.since(entry.arrived_at).0 * self.options.max_delay_percent / 100;
        let wait = self.wait(entry.ask.tier, entry.ask.customer) as u64 * MAX_DELAY_WAITS;
        let length_delay = (entry.cost * self.options.cost_delay_factor) as u64;
        Span(length_delay.min(slack.max(wait)))
    }

    pub(super) fn refuse(&mut self, entry: Entry, code: Code) {
        let retry_after = self.retry_after(&entry);
        let Entry { ask, peer, .. } = entry;
        let Ask {
            request, attempt, ..
        } = ask;
        self.decisions.push(Decision::Refuse {
            to: peer,
            request,
            attempt,
            code,
            retry_after,
        });
    }

    fn resend_grant(&mut self, request: id::Request) {
        let Some(call) = self.in_flight.get(&request) else {
            return;
        };
        self.decisions.push(Decision::Grant {
            to: call.peer.clone(),
            target: self.target.name.clone(),
            request,
            attempt: call.ask.attempt,
            endpoint: self.workers[call.worker].name.clone(),
        });
    }

    /// Ends one attempt of a request, waiting or running. Ending an older
    /// attempt has no effect.
    pub fn end(&mut self, now: Time, request: id::Request, attempt: u32, end: End) {
        if self.queue.attempt_opt(request) == Some(attempt) {
            self.queue.remove(request);
        }
        if self
            .in_flight
            .get(&request)
            .is_some_and(|call| call.ask.attempt == attempt)
        {
            self.release(now, request, end);
        }
        self.place(now);
    }

    /// Adds a call that runs under a grant from another node.
    pub fn adopt(&mut self, now: Time, peer: Peer, ask: Ask, endpoint: &id::Endpoint) {
        if self.in_flight.contains_key(&ask.request) {
            return;
        }
        self.queue.remove(ask.request);
        let worker = self.worker(endpoint);
        self.workers[worker].start(now, 0);
        let call = InFlight {
            deadline: now + ask.left,
            worker,
            granted: now,
            first: Some(now),
            uncached: 0,
            tokens_ahead: 0,
            peer,
            ask,
        };
        self.in_flight.insert(call.ask.request, call);
    }

    /// Drops all requests of one incarnation of a host.
    pub fn drop_peer(&mut self, now: Time, peer: &Peer) {
        let held: Vec<id::Request> = self
            .in_flight
            .iter()
            .filter(|(_, call)| call.peer == *peer)
            .map(|(id, _)| *id)
            .collect();
        for request in held {
            self.release(now, request, End::Unused);
        }
        self.queue.remove_peer(peer);
        self.place(now);
    }

    /// Removes a running request and updates the endpoint's state from its
    /// result.
    pub(super) fn release(&mut self, now: Time, request: id::Request, end: End) {
        let Some(call) = self.in_flight.remove(&request) else {
            return;
        };
        let pending = if call.first.is_none() {
            call.uncached
        } else {
            0
        };
        let worker = &mut self.workers[call.worker];
        worker.end(pending);
        match end {
            End::Whole { cached, output, .. } => {
                worker.last_progress = now;
                worker.succeed(self.target.slots);
                self.learn_from_answer(now, &call, cached, output);
            }
            End::Failed => {
                worker.fail(now, self.options.backoff, self.options.backoff_limit);
                self.prefix_cache.remove_endpoint(call.worker);
            }
            End::Leaving => worker.leaving = true,
            End::Unused => {}
        }
    }

    fn learn_from_answer(&mut self, now: Time, call: &InFlight, cached: Tokens, output: Tokens) {
        let hashed_tokens = call.ask.blocks.len() as u64 * super::prefix_cache::BLOCK_TOKENS;
        let expected_cached = call
            .ask
            .prompt
            .0
            .saturating_sub(call.uncached)
            .min(hashed_tokens);
        if cached.0 + super::prefix_cache::BLOCK_TOKENS <= expected_cached {
            // The prefix hint was wrong. The blocks are cached from now on,
            // since the endpoint has just computed them.
            self.prefix_cache
                .drop_unconfirmed(&call.ask.blocks, call.worker, cached.0);
        }
        self.prefix_cache.record(&call.ask.blocks, call.worker);
        let known = self
            .outputs
            .entry(call.ask.class.clone())
            .or_insert(output.0 as f64);
        *known += (output.0 as f64 - *known) * 0.1;
        if call.first.is_none() {
            let prefill = call.uncached as f64 * self.workers[call.worker].prefill;
            let rest = (now.since(call.granted).0 as f64 - prefill).max(0.0);
            self.workers[call.worker].learn_step(rest / output.0.max(1) as f64);
        }
    }
}
