//! What nodes tell each other of their customers' use.

use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Account;
use super::Accounts;
use super::PeerUsage;
use super::Reach;
use crate::configuration::Quota;
use crate::message::Usage;

/// The part of a bucket under which its use is told more often.
const HIGH_USAGE_LEVEL: f64 = 0.7;

/// How long a customer counts as pressing after its last request.
const HIGH_USAGE_TIME: Span = Span::from_secs(2);

/// Who says what was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter {
    /// Its address.
    pub address: SocketAddrV4,
    /// Its life.
    pub incarnation: u64,
    /// True where it had been heard in this life before.
    pub known: bool,
}

impl Accounts {
    /// Takes in what another node says that a customer used there. What the
    /// bucket gained until now is counted first, so that a bucket which was
    /// full for long holds no more than a full one.
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
            // For a node that has just started it is all there is.
            Some(_) => reported.units as f64,
            // Silent of this customer until now: it has just been used there,
            // unless that is so long ago that it was forgotten.
            None if from.known => (reported.units as f64).min(account.capacity),
            // What a node used before it was first heard is long past.
            None => 0.0,
        };
        account.take(used);
    }

    /// True where a customer uses so much that the others should hear of it soon.
    pub fn is_usage_high(&self, now: Time) -> bool {
        let since = now - HIGH_USAGE_TIME;
        let mut recent = self
            .accounts
            .values()
            .filter(|account| account.used_at >= since);
        recent.any(|account| account.level < account.capacity * HIGH_USAGE_LEVEL)
    }

    /// What customers used here, for the others.
    pub fn usage(&self, now: Time, most: usize) -> Vec<Usage> {
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
        usage.truncate(most);
        usage.into_iter().map(|(_, usage)| usage).collect()
    }
}
