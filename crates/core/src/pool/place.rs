//! Assigns waiting requests to endpoints.

use woadstage_config::published::Tier;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Ask;
use super::Decision;
use super::InFlight;
use super::Pool;
use super::queue::Entry;
use super::worker::Worker;

/// An endpoint that could take a request, with the estimated cost there.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    worker: usize,
    uncached: u64,
    micros: f64,
}

impl Pool {
    /// Grants endpoints until no waiting request can be assigned.
    pub(super) fn place(&mut self, now: Time) {
        while let Some((request, candidate)) = self.next(now) {
            let Some(entry) = self.queue.take(request) else {
                return;
            };
            self.grant(now, entry, candidate);
        }
    }

    /// Returns the next request and its endpoint, from the most protected tier
    /// in which a request can be assigned.
    fn next(&mut self, now: Time) -> Option<(id::Request, Candidate)> {
        let tiers: Vec<Tier> = self.queue.tiers().collect();
        for tier in tiers {
            let available = self.available(now, tier);
            if available.is_empty() {
                // Less protected tiers never have more capacity.
                return None;
            }
            if let Some(found) = self.next_in_tier(now, tier, &available) {
                return Some(found);
            }
        }
        None
    }

    /// Returns the request of a tier to assign next, among the first
    /// [`Options::look_ahead`](super::Options::look_ahead). The longest cached
    /// prefix wins, so that a free endpoint gets what it can do cheaply, but a
    /// request that has used most of its slack goes first. Requests that can no
    /// longer finish in time are refused.
    fn next_in_tier(
        &mut self,
        now: Time,
        tier: Tier,
        available: &[usize],
    ) -> Option<(id::Request, Candidate)> {
        let mut best: Option<(u64, id::Request, Candidate)> = None;
        let mut infeasible = Vec::new();
        for entry in self.queue.peek(tier, self.options.look_ahead) {
            let request = entry.ask.request;
            match self.choose(available, &entry.ask) {
                Some(candidate) if self.meets_deadline(now, entry, candidate) => {
                    if has_used_slack(now, entry) {
                        best = Some((u64::MAX, request, candidate));
                        break;
                    }
                    let saved = entry.ask.prompt.0.saturating_sub(candidate.uncached);
                    // Ties keep the queue order.
                    if best.is_none_or(|(most, ..)| saved > most) {
                        best = Some((saved, request, candidate));
                    }
                }
                _ if self.is_infeasible(now, entry) => infeasible.push(request),
                _ => {}
            }
        }
        for request in infeasible {
            if let Some(entry) = self.queue.remove(request) {
                self.refuse(entry, Code::TooLate);
            }
        }
        best.map(|(_, request, candidate)| (request, candidate))
    }

    /// Returns the endpoints with capacity for a tier. Reserves leave less
    /// capacity to less protected tiers.
    fn available(&self, now: Time, tier: Tier) -> Vec<usize> {
        let slots = self.slots(tier);
        let all = self.workers.iter().enumerate();
        all.filter(|(_, worker)| self.has_capacity(now, worker, slots))
            .map(|(at, _)| at)
            .collect()
    }

    fn slots(&self, tier: Tier) -> u32 {
        let all = self.target.slots;
        let last = self.reserves.last().copied().unwrap_or(0);
        let reserve = self
            .reserves
            .get(usize::from(tier))
            .copied()
            .unwrap_or(last);
        (all - all * reserve / 100 + self.options.queued_per_endpoint).max(1)
    }

    fn has_capacity(&self, now: Time, worker: &Worker, slots: u32) -> bool {
        let all = self.target.slots;
        let recovery_limit = if worker.concurrency_limit < all {
            worker.concurrency_limit
        } else {
            u32::MAX
        };
        let slots = slots
            .min(recovery_limit)
            .saturating_sub(worker.external)
            .max(1);
        worker.running < slots
            && worker.pending < self.options.prefill_limit
            && worker.takes_work(now, self.options.silence)
    }

    /// Returns the endpoint among `available` that would finish the request first.
    fn choose(&self, available: &[usize], ask: &Ask) -> Option<Candidate> {
        let cached_on = self.prefix_cache.candidates(&ask.blocks);
        let output = self.output(ask);
        let mut best: Option<Candidate> = None;
        for at in available {
            let (at, worker) = (*at, &self.workers[*at]);
            if ask.avoid.as_ref() == Some(&worker.name) {
                continue;
            }
            let cached = cached_on
                .iter()
                .find(|(known, _)| *known == at)
                .map_or(0, |(_, n)| *n);
            let uncached = ask.prompt.0.saturating_sub(cached);
            let prefill = (worker.pending + uncached) as f64 * worker.prefill;
            let full = worker.running >= self.target.slots;
            let slot = if full {
                output * worker.step / f64::from(self.target.slots)
            } else {
                0.0
            };
            let micros = slot + prefill + output * worker.step;
            if best.is_none_or(|best| micros < best.micros) {
                best = Some(Candidate {
                    worker: at,
                    uncached,
                    micros,
                });
            }
        }
        best
    }

    fn meets_deadline(&self, now: Time, entry: &Entry, candidate: Candidate) -> bool {
        let left = entry.deadline.since(now).0 as f64;
        candidate.micros * self.options.safety_percent as f64 / 100.0 <= left
    }

    /// Returns whether even the fastest endpoint would be late if it were idle.
    /// Estimates change, so this may not have been so on arrival.
    fn is_infeasible(&self, now: Time, entry: &Entry) -> bool {
        let left = entry.deadline.since(now).0 as f64;
        self.ideal(&entry.ask) * self.options.safety_percent as f64 / 100.0 > left
    }

    fn grant(&mut self, now: Time, entry: Entry, candidate: Candidate) {
        let Entry {
            ask,
            peer,
            deadline,
            ..
        } = entry;
        let worker = &mut self.workers[candidate.worker];
        let tokens_ahead = worker.pending;
        worker.start(now, candidate.uncached);
        self.decisions.push(Decision::Grant {
            to: peer.clone(),
            target: self.target.name.clone(),
            request: ask.request,
            attempt: ask.attempt,
            endpoint: worker.name.clone(),
        });
        let call = InFlight {
            worker: candidate.worker,
            granted: now,
            first: None,
            uncached: candidate.uncached,
            tokens_ahead,
            deadline,
            peer,
            ask,
        };
        self.in_flight.insert(call.ask.request, call);
    }
}

/// Returns whether three quarters of a request's slack are used up. From then
/// on, requests with a longer cached prefix no longer overtake it.
fn has_used_slack(now: Time, entry: &Entry) -> bool {
    now.since(entry.arrived_at).0 * 4 >= entry.latest_start.since(entry.arrived_at).0 * 3
}
