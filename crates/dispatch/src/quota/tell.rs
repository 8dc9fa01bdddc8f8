//! What nodes tell each other of their customers' use.

use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Account;
use super::Accounts;
use super::Reach;
use super::Told;
use crate::configuration::Quota;
use crate::message::Usage;

/// The part of a bucket under which its use is told more often.
const PRESSED_FROM: f64 = 0.7;

/// How long a customer counts as pressing after its last request.
const PRESSED_FOR: Span = Span::from_secs(2);

/// Who says what was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speaker {
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
    pub fn hear(
        &mut self,
        now: Time,
        from: Speaker,
        said: Usage,
        quota: Option<&Quota>,
        reach: Reach,
    ) {
        let started = self.started;
        let account = match quota {
            Some(quota) => self.account(now, said.customer, quota, reach),
            None => {
                let account = self.accounts.entry(said.customer);
                account.or_insert_with(|| Account::new(started))
            }
        };
        let told = Told {
            incarnation: from.incarnation,
            units: said.units,
        };
        let before = account.told.insert(from.address, told);
        let used = match before {
            Some(before) if before.incarnation == from.incarnation => {
                said.units.saturating_sub(before.units) as f64
            }
            // For a node that has just started it is all there is.
            Some(_) => said.units as f64,
            // Silent of this customer until now: it has just been used there,
            // unless that is so long ago that it was forgotten.
            None if from.known => (said.units as f64).min(account.most),
            // What a node used before it was first heard is long past.
            None => 0.0,
        };
        account.take(used);
    }

    /// True where a customer uses so much that the others should hear of it soon.
    pub fn is_pressed(&self, now: Time) -> bool {
        let since = now - PRESSED_FOR;
        let mut recent = self
            .accounts
            .values()
            .filter(|account| account.changed >= since);
        recent.any(|account| account.level < account.most * PRESSED_FROM)
    }

    /// What customers used here, for the others.
    pub fn usage(&self, now: Time, most: usize) -> Vec<Usage> {
        let since = now - self.options.tell_for;
        let recent = self
            .accounts
            .iter()
            .filter(|(_, account)| account.changed >= since && account.used > 0);
        let mut usage: Vec<(Time, Usage)> = recent
            .map(|(customer, account)| {
                let usage = Usage {
                    customer: *customer,
                    units: account.used,
                };
                (account.changed, usage)
            })
            .collect();
        usage.sort_by_key(|(changed, usage)| (std::cmp::Reverse(*changed), usage.customer));
        usage.truncate(most);
        usage.into_iter().map(|(_, usage)| usage).collect()
    }
}
