//! Charges requests to a customer's bucket.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Accounts;
use super::Demand;
use super::Denied;
use super::Reach;
use super::initial::ASSUMED_NODES;
use crate::configuration::Quota;

/// The maximum wait that a denial reports, in microseconds.
const MAX_WAIT_MICROS: f64 = 6e7;

impl Accounts {
    /// Takes a request's units out of the customer's bucket.
    ///
    /// # Errors
    /// Returns the bucket's level and an estimate of the time until it holds enough.
    pub fn admit(
        &mut self,
        now: Time,
        customer: u64,
        quota: &Quota,
        demand: Demand,
        reach: Reach,
    ) -> Result<(), Denied> {
        let Demand {
            units,
            relative_priority,
            backlogged,
        } = demand;
        let capacity = self.capacity(quota, reach);
        // The last part of a bucket is reserved for more protected requests and for
        // those so small that refusing them saves nothing. The part is taken from what
        // can have flowed in since the start: that of a full bucket takes half a second
        // to flow in, during which all other requests would be refused.
        let filled = self.fill_rate(quota, reach) * now.since(self.started).as_secs_f64();
        let small = units as f64 <= capacity * self.options.small_fraction;
        let reserved = if small {
            0.0
        } else {
            capacity.min(filled) * self.options.reserved_fraction * relative_priority
        };
        let account = self.account(now, customer, quota, reach);
        // A request larger than the bucket is admitted once the bucket is full.
        let required = (units as f64 + reserved).min(capacity);
        let level = match backlogged {
            true => account.level.min(account.base_level),
            false => account.level,
        };
        if level < required {
            let missing = required - level;
            return Err(Denied {
                wait: to_wait(missing / quota.per_second.max(1e-9)),
                level,
                capacity,
                reserved,
            });
        }
        account.take(units as f64);
        account.used += units;
        account.used_at = now;
        Ok(())
    }

    /// Charges a request without asking the owner of the customer's quota, which did
    /// not answer or is not known yet. As the usage at other nodes is unknown, this node
    /// keeps to a fraction of its even share, which it may accumulate for a while.
    ///
    /// # Errors
    /// Returns the time until this node's share covers the request, or why its bucket
    /// does not.
    pub fn admit_without_owner(
        &mut self,
        now: Time,
        customer: u64,
        quota: &Quota,
        demand: Demand,
        reach: Reach,
    ) -> Result<(), Denied> {
        let cost = self.share_time(now, quota, demand.units, reach);
        let accrued_since = now - self.options.accrual_time;
        let account = self.account(now, customer, quota, reach);
        let paid_until = account.share_paid_until.max(accrued_since) + cost;
        if paid_until > now {
            return Err(Denied {
                wait: paid_until.since(now),
                level: account.level,
                capacity: account.capacity,
                reserved: account.capacity,
            });
        }
        self.admit(now, customer, quota, demand, reach)?;
        self.charge_node_share(now, customer, quota, demand.units, reach);
        Ok(())
    }

    /// Counts units admitted through this node, whichever node granted them, against
    /// the share that it may admit without an owner.
    pub fn charge_node_share(
        &mut self,
        now: Time,
        customer: u64,
        quota: &Quota,
        units: u64,
        reach: Reach,
    ) {
        let cost = self.share_time(now, quota, units, reach);
        let accrued_since = now - self.options.accrual_time;
        let account = self.account(now, customer, quota, reach);
        account.share_paid_until = account.share_paid_until.max(accrued_since) + cost;
    }

    /// The time in which this node's share without an owner grows by `units`.
    fn share_time(&self, now: Time, quota: &Quota, units: u64, reach: Reach) -> Span {
        let nodes = match self.is_discovering(now) {
            true => reach.nodes.max(ASSUMED_NODES),
            false => reach.nodes,
        };
        let node_rate =
            self.fill_rate(quota, reach) * self.options.isolated_share / nodes.max(1) as f64;
        to_wait(units as f64 / node_rate.max(1e-9))
    }

    /// Takes units out of a bucket that another owner may be granting as well.
    pub fn withhold(&mut self, customer: u64, units: u64) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.take(units as f64);
        }
    }

    /// Returns the units charged for a request that did not run.
    pub fn refund(&mut self, customer: u64, units: u64) {
        // Only this node's bucket is refunded: the reported usage never falls, so that
        // a late message cannot refund the units twice.
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.level += units as f64;
            account.base_level += units as f64;
        }
    }
}

fn to_wait(seconds: f64) -> Span {
    Span((seconds * 1e6).min(MAX_WAIT_MICROS) as u64)
}
