//! Orders the requests of one rank by their customers' fair shares.

use woadstage_types::unit::Time;

use super::Pool;
use crate::activation::Activation;
use crate::configuration::Rank;
use crate::fair_share::Cost;
use crate::fair_share::Ledger;
use crate::fair_share::Tag;
use crate::job;
use crate::job::Job;
use crate::prefix_cache;

impl Pool {
    /// Returns the start tag of a request that joins the queue.
    pub(super) fn start_tag(
        &mut self,
        now: Time,
        id: job::Id,
        job: &Job,
        fair_shares: Activation,
    ) -> Tag {
        if !fair_shares.applies(self.has_variable_capacity) {
            return Tag::default();
        }
        // The request may itself have left the queue before.
        self.refund_departed();
        let cost = self.predicted_cost(now, job);
        let expected = self.preview_tag(now, job);
        let ledger = self.shares.entry(job.rank).or_default();
        self.share_excesses += u64::from(ledger.is_beyond_share(expected, cost));
        let tag = ledger.join(id, job, cost);
        self.apply_tags();
        tag
    }

    /// Returns the start tag that a new request would get.
    pub(super) fn preview_tag(&self, _now: Time, job: &Job) -> Tag {
        let ledger = self.shares.get(&job.rank);
        ledger.map_or(Tag::default(), |ledger| ledger.preview(job))
    }

    /// Charges the customer of a request that is started.
    pub(super) fn charge_share(&mut self, rank: Rank, id: job::Id) {
        if let Some(ledger) = self.shares.get_mut(&rank) {
            ledger.start(id);
            self.apply_tags();
        }
    }

    /// Removes the charges for requests that left the queue without a start or can no longer be in
    /// time.
    pub(super) fn refund_departed(&mut self) {
        for (rank, id) in self.queue.take_departed() {
            let ledger = self.shares.get_mut(&rank);
            let refunded = ledger.is_some_and(|ledger| ledger.leave(id));
            self.share_refunds += u64::from(refunded);
        }
        self.apply_tags();
    }

    /// The number of customers whose use is recorded.
    pub(super) fn sharing_customers(&self) -> usize {
        self.shares.values().map(Ledger::customers).sum()
    }

    /// Moves requests whose tags have changed.
    fn apply_tags(&mut self) {
        for ledger in self.shares.values_mut() {
            for (id, tag) in ledger.take_changed() {
                self.queue.change_tag(id, tag);
            }
        }
    }

    /// The time for which a request is expected to use a slot. Prompts are taken as read up to what
    /// the endpoint of the cell that has most of them in its cache holds.
    fn predicted_cost(&self, now: Time, job: &Job) -> Cost {
        if !self.engine {
            return Cost((self.call_us as u64).max(1));
        }
        let chain = prefix_cache::chain(&job.prompt.parts);
        let workers = self.workers.iter().filter(|worker| worker.own_cell);
        let cached =
            workers.map(|worker| self.prefix_cache.cached_tokens(now, &chain, worker.number));
        let unread = job.prompt.tokens.saturating_sub(cached.max().unwrap_or(0));
        let declared = job.prompt.output_hint.unwrap_or(job.prompt.output);
        let events = self.events_opt(job).unwrap_or(declared as f64);
        let cost_us = unread as f64 * self.prefill_us + events * self.step_us;
        Cost((cost_us as u64).max(1))
    }
}
