//! The initial credit of a node that has just started.
//!
//! A node cannot know the usage before its start, so its buckets start empty. With
//! that alone, a fleet whose nodes were all killed would refuse customers far below
//! their limits until its buckets have filled.
//!
//! Usage in a window may exceed the limit by an allowance. The buckets of running
//! nodes use one part of it ([`super::Options::part`]); another part is the initial
//! credit of all nodes that start within a window. Whatever was used before a start,
//! the sum stays within the limit and its allowance:
//!
//! * before: the rate and the burst with the first part of the allowance;
//! * after: the same rate, empty buckets and the second part.
//!
//! Each node has an even share of the credit, which it uses once. Nodes that start later in the
//! same window than others get none: if all are killed one after the other, nobody is left who
//! knows what was used. The share grows with the time since the node first heard another one, as
//! it discovers the others.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Accounts;
use super::Demand;
use super::Reach;
use crate::configuration::Quota;

/// The number of nodes that a node assumes to share a quota while it discovers them.
pub(super) const ASSUMED_NODES: usize = 64;

impl Accounts {
    /// Charges a request to this node's initial credit, or returns false if the credit
    /// does not cover it.
    pub fn try_admit_initial(
        &mut self,
        now: Time,
        customer: u64,
        quota: &Quota,
        demand: Demand,
        reach: Reach,
    ) -> bool {
        if self.is_initial_credit_used || now.since(self.started) > self.options.window {
            return false;
        }
        let credit = self.allowance(quota) * self.options.initial;
        let credit = credit * self.initial_share(now, reach);
        let account = self.account(now, customer, quota, reach);
        if (account.initial_used + demand.units) as f64 > credit {
            return false;
        }
        account.initial_used += demand.units;
        account.used += demand.units;
        account.used_at = now;
        true
    }

    /// Returns how long this node has been running, if less than a window.
    pub fn recent_uptime_opt(&self, now: Time) -> Option<Span> {
        let uptime = now.since(self.started);
        (uptime < self.options.window).then_some(uptime)
    }

    /// Records when another node started. If that was in this window but clearly before this node
    /// did, the two did not start together, and the nodes that did have used the credit.
    pub fn record_peer_start(&mut self, peer_started: Time) {
        let before = self.started.since(peer_started);
        self.is_initial_credit_used |=
            before > self.options.discovery_time && before < self.options.window;
    }

    /// This node's share of the initial credit.
    fn initial_share(&self, now: Time, reach: Reach) -> f64 {
        let min_share = 1.0 / ASSUMED_NODES as f64;
        if reach.isolated {
            return min_share;
        }
        let even_share = 1.0 / reach.nodes.max(1) as f64;
        let elapsed = now.since(self.first_heard.unwrap_or(self.started));
        let discovered = elapsed.as_secs_f64() / self.options.discovery_time.as_secs_f64();
        (even_share * discovered.min(1.0)).max(min_share.min(even_share))
    }
}
