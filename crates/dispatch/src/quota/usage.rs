//! The exchange of customers' usage between nodes.

use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Account;
use super::Accounts;
use super::PeerUsage;
use super::Reach;
use crate::configuration::Quota;
use crate::message::Usage;

/// The level, as a fraction of the bucket, below which usage is reported more often.
const HIGH_USAGE_LEVEL: f64 = 0.7;

/// How long usage is reported more often after a customer's last request.
const HIGH_USAGE_TIME: Span = Span::from_secs(2);

/// The node that reports usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter {
    /// The node's address.
    pub address: SocketAddrV4,
    /// Distinguishes the node's runs.
    pub incarnation: u64,
    /// Whether a status of this incarnation was received before.
    pub known: bool,
}

impl Accounts {
    /// Takes the usage that another node reports for a customer out of the bucket.
    /// The bucket is refilled first, so that time in which it was already full does not
    /// offset the usage.
    pub fn record_peer_usage(
        &mut self,
        now: Time,
        from: Reporter,
        reported: Usage,
        quota: Option<&Quota>,
        reach: Reach,
    ) {
        let started = self.started;
        let account = match quota {
            Some(quota) => self.account(now, reported.customer, quota, reach),
            None => {
                let account = self.accounts.entry(reported.customer);
                account.or_insert_with(|| Account::new(started))
            }
        };
        let peer_usage = PeerUsage {
            incarnation: from.incarnation,
            units: reported.units,
        };
        let previous = account.peer_usage.insert(from.address, peer_usage);
        let used = match previous {
            Some(previous) if previous.incarnation == from.incarnation => {
                reported.units.saturating_sub(previous.units) as f64
            }
            // A restarted node counts from zero.
            Some(_) => reported.units as f64,
            // A known node's first report for this customer is recent usage, unless the
            // previous report is so old that the account was dropped. A full bucket
            // bounds what that can cost.
            None if from.known => (reported.units as f64).min(account.capacity),
            // Usage before the first status of a node does not count.
            None => 0.0,
        };
        account.take(used);
    }

    /// Whether a customer's usage is so high that it should be sent to other nodes soon.
    pub fn is_usage_high(&self, now: Time) -> bool {
        let since = now - HIGH_USAGE_TIME;
        let mut recent = self
            .accounts
            .values()
            .filter(|account| account.used_at >= since);
        recent.any(|account| account.level < account.capacity * HIGH_USAGE_LEVEL)
    }

    /// Returns the usage to report to other nodes, the latest first, for up to `limit`
    /// customers.
    pub fn usage(&self, now: Time, limit: usize) -> Vec<Usage> {
        let since = now - self.options.report_for;
        let recent = self
            .accounts
            .iter()
            .filter(|(_, account)| account.used_at >= since && account.used > 0);
        let mut usage: Vec<(Time, Usage)> = recent
            .map(|(customer, account)| {
                let usage = Usage {
                    customer: *customer,
                    units: account.used,
                };
                (account.used_at, usage)
            })
            .collect();
        usage.sort_by_key(|(used_at, usage)| (std::cmp::Reverse(*used_at), usage.customer));
        usage.truncate(limit);
        usage.into_iter().map(|(_, usage)| usage).collect()
    }
}
