//! Requests are charged to a bucket.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Accounts;
use super::Demand;
use super::Denied;
use super::Reach;
use super::initial::MANY;
use crate::configuration::Quota;

/// Longest time after which a bucket is said to hold enough, in microseconds.
const WAIT_MOST: f64 = 6e7;

impl Accounts {
    /// Takes a request's units out of the customer's bucket, or says why not.
    ///
    /// # Errors
    /// What the bucket holds, and when it would hold enough.
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
            routine,
            pressed,
        } = demand;
        let most = self.most(quota, reach);
        // The last part of what a bucket can hold since this node started, when it was
        // empty, is for what is more protected, and for what is so small that refusing it
        // would save nothing. Of a whole bucket that part alone would take half a second
        // to come in, in which the others would get nothing.
        let gained = self.rate(quota, reach) * now.since(self.started).as_secs_f64();
        let small = units as f64 <= most * self.options.small;
        let kept = if small {
            0.0
        } else {
            most.min(gained) * self.options.reserve * routine
        };
        let account = self.account(now, customer, quota, reach);
        // A request larger than the whole bucket passes when that is full.
        let asked = (units as f64 + kept).min(most);
        let level = match pressed {
            true => account.level.min(account.plain),
            false => account.level,
        };
        if level < asked {
            let missing = asked - level;
            return Err(Denied {
                wait: to_wait(missing / quota.per_second.max(1e-9)),
                level,
                most,
                kept,
            });
        }
        account.take(units as f64);
        account.used += units;
        account.changed = now;
        Ok(())
    }

    /// Charges a request that no owner of the customer's quota was asked for,
    /// since none answered or none can be known yet. What the others give out
    /// meanwhile is not known, so this node keeps to a part of its even part,
    /// of which it may have saved up a little.
    ///
    /// # Errors
    /// When this node will have saved up enough.
    pub fn admit_unheard(
        &mut self,
        now: Time,
        customer: u64,
        quota: &Quota,
        demand: Demand,
        reach: Reach,
    ) -> Result<(), Denied> {
        let takes = self.even_time(now, quota, demand.units, reach);
        let saved = now - self.options.saved;
        let account = self.account(now, customer, quota, reach);
        let paid_at = account.even_at.max(saved) + takes;
        if paid_at > now {
            return Err(Denied {
                wait: paid_at.since(now),
                level: account.level,
                most: account.most,
                kept: account.most,
            });
        }
        self.admit(now, customer, quota, demand, reach)?;
        self.note_even(now, customer, quota, demand.units, reach);
        Ok(())
    }

    /// Counts what was given out through this node, by whomever, against the
    /// even part that it would have if it were cut off.
    pub fn note_even(&mut self, now: Time, customer: u64, quota: &Quota, units: u64, reach: Reach) {
        let takes = self.even_time(now, quota, units, reach);
        let saved = now - self.options.saved;
        let account = self.account(now, customer, quota, reach);
        account.even_at = account.even_at.max(saved) + takes;
    }

    /// The time in which this node's even part grows by `units`.
    fn even_time(&self, now: Time, quota: &Quota, units: u64, reach: Reach) -> Span {
        let nodes = match self.is_meeting(now) {
            true => reach.nodes.max(MANY),
            false => reach.nodes,
        };
        let even = self.rate(quota, reach) * self.options.alone / nodes.max(1) as f64;
        to_wait(units as f64 / even.max(1e-9))
    }

    /// Takes units out of a bucket that somebody else may be giving out.
    pub fn set_aside(&mut self, customer: u64, units: u64) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.take(units as f64);
        }
    }

    /// Gives back what a request that did not run was charged.
    pub fn give_back(&mut self, customer: u64, units: u64) {
        // Only this node's bucket: the others' are told of use, which never
        // falls, so that a late message cannot give back twice.
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.level += units as f64;
            account.plain += units as f64;
        }
    }
}

fn to_wait(seconds: f64) -> Span {
    Span((seconds * 1e6).min(WAIT_MOST) as u64)
}
