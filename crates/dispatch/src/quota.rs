//! What customers may use, over all nodes together.
//!
//! Every node keeps one whole bucket a customer and takes out of it what it
//! admits itself and what the others say that they admitted. While another node
//! is silent, its even part of the rate is taken to be used there: so two sides
//! of a cut never give out more than the whole between them.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::configuration::Quota;
use crate::message::Usage;

/// How far the rules let the whole go beyond a customer's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The share by which it may be exceeded.
    pub overrun: f64,
    /// Units by which it may be exceeded beyond that in a window.
    pub slack: f64,
    /// The part of both that is used; the rest covers what is still on its way
    /// between nodes.
    pub part: f64,
    /// The same in a fleet of several cells, where words take longer.
    pub part_in_cells: f64,
    /// The part of a bucket under which, in a fleet of several cells, a node
    /// keeps to its even part of the rate.
    pub pressed: f64,
    /// How far a node may be ahead of its even part while the bucket is full;
    /// less, the less is in it.
    pub ahead: Span,
    /// The share of a limit that a node gives out which has heard no other
    /// node since it started.
    pub alone: f64,
    /// The part of a bucket that the least protected requests leave to others.
    pub reserve: f64,
    /// The part of a bucket up to which a request is so small that it may use
    /// all of it.
    pub small: f64,
    /// How long a customer's use is told to others after it last changed.
    pub tell_for: Span,
    /// Time from its start in which a node meets the others.
    pub meet_within: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            overrun: 0.0,
            slack: 0.0,
            part: 0.8,
            part_in_cells: 0.25,
            pressed: 0.6,
            ahead: Span::from_secs(6),
            alone: 0.25,
            reserve: 0.35,
            small: 0.01,
            tell_for: Span::from_secs(10),
            meet_within: Span::from_millis(1_000),
        }
    }
}

/// What a request asks of its customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Units.
    pub units: u64,
    /// From 0 for the most protected requests to 1 for the least protected.
    pub routine: f64,
}

/// How much of the fleet a node can speak for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reach {
    /// Nodes that count, this one among them.
    pub nodes: usize,
    /// Of them, those that are silent.
    pub silent: usize,
    /// True where none other was heard since the start.
    pub alone: bool,
    /// True where the whole fleet is one cell, whose nodes hear each other
    /// many times a second.
    pub one_cell: bool,
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Denied {
    /// When the bucket would hold enough if nothing else were admitted.
    pub wait: Span,
    /// Units in the bucket now.
    pub level: f64,
    /// Units in a full bucket.
    pub most: f64,
    /// Units that are kept for more protected requests.
    pub kept: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Told {
    incarnation: u64,
    units: u64,
}

#[derive(Debug)]
struct Account {
    level: f64,
    most: f64,
    at: Time,
    used: u64,
    changed: Time,
    /// When this node has kept to its even part of the rate again.
    even_at: Time,
    told: HashMap<SocketAddrV4, Told>,
}

impl Account {
    /// A bucket that was empty when this node started, since it cannot know
    /// what was used before.
    fn new(started: Time) -> Account {
        Account {
            level: 0.0,
            most: 0.0,
            at: started,
            used: 0,
            changed: Time(0),
            even_at: Time(0),
            told: HashMap::new(),
        }
    }
}

/// The accounts of all customers that were seen lately.
#[derive(Debug)]
pub struct Accounts {
    options: Options,
    started: Time,
    accounts: HashMap<u64, Account>,
}

/// Nodes that share a quota as far as one that has just started can know.
const MANY: usize = 64;

/// A request that takes no more of a node's even part than this is not held to
/// it: refusing it would save nothing.
const LITTLE: Span = Span::from_millis(250);

/// The part of a bucket under which its use is told more often.
const PRESSED_FROM: f64 = 0.7;

/// How long a customer counts as pressing after its last request.
const PRESSED_FOR: Span = Span::from_secs(2);

/// Accounts kept before those that rest are forgotten.
const KEPT: usize = 8_192;

impl Accounts {
    /// Nothing used yet, by a node that started long ago.
    pub fn new(options: Options) -> Accounts {
        Accounts {
            options,
            started: Time(0),
            accounts: HashMap::new(),
        }
    }

    /// Says when this node started.
    pub fn begin(&mut self, now: Time) {
        if self.started == Time(0) {
            self.started = now;
        }
    }

    /// How the fleet is reckoned: until this node can have met the others, as
    /// if there were many.
    fn reckon(&self, now: Time, reach: Reach) -> Reach {
        if now.since(self.started) >= self.options.meet_within {
            return reach;
        }
        Reach {
            nodes: reach.nodes.max(MANY),
            one_cell: false,
            ..reach
        }
    }

    fn share(&self, reach: Reach) -> f64 {
        if reach.alone {
            return self.options.alone;
        }
        let heard = reach.nodes.saturating_sub(reach.silent).max(1);
        heard as f64 / reach.nodes.max(1) as f64
    }

    fn part(&self, reach: Reach) -> f64 {
        match reach.one_cell {
            true => self.options.part,
            false => self.options.part_in_cells,
        }
    }

    fn most(&self, quota: &Quota, reach: Reach) -> f64 {
        let part = self.part(reach);
        let whole = quota.burst * (1.0 + self.options.overrun * part) + self.options.slack * part;
        // The burst is shared like the rate, else both sides of a cut would
        // have a whole one.
        whole * self.share(reach)
    }

    fn rate(&self, quota: &Quota, reach: Reach) -> f64 {
        quota.per_second * (1.0 + self.options.overrun * self.part(reach)) * self.share(reach)
    }

    fn account(&mut self, now: Time, customer: u64, quota: &Quota, reach: Reach) -> &mut Account {
        let most = self.most(quota, reach);
        let rate = self.rate(quota, reach);
        if self.accounts.len() >= KEPT && !self.accounts.contains_key(&customer) {
            let since = now - self.options.tell_for;
            self.accounts.retain(|_, account| account.changed >= since);
        }
        let started = self.started;
        let account = self.accounts.entry(customer);
        let account = account.or_insert_with(|| Account::new(started));
        let gained = now.since(account.at).as_secs_f64() * rate;
        account.level = (account.level + gained).min(most);
        account.most = most;
        account.at = now;
        account
    }

    /// Admits a request of `units`, or says why not.
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
        let Demand { units, routine } = demand;
        let meeting = now.since(self.started) < self.options.meet_within;
        let reach = self.reckon(now, reach);
        let most = self.most(quota, reach);
        let rate = self.rate(quota, reach);
        let pressed = self.options.pressed;
        let ahead_most = self.options.ahead;
        // The last part of a bucket is for what is more protected, and for
        // what is so small that refusing it would save nothing.
        let small = units as f64 <= most * self.options.small;
        let kept = if small {
            0.0
        } else {
            most * self.options.reserve * routine
        };
        let account = self.account(now, customer, quota, reach);
        // A request larger than the whole bucket passes when that is full.
        let asked = (units as f64 + kept).min(most);
        if account.level < asked {
            let missing = asked - account.level;
            let wait = missing / quota.per_second.max(1e-9);
            return Err(Denied {
                wait: Span((wait * 1e6).min(6e7) as u64),
                level: account.level,
                most,
                kept,
            });
        }
        // Words of other cells are old: were all nodes to act on them alone, all
        // would give away the same rest of the bucket.
        if !reach.one_cell {
            let even = rate / reach.nodes.max(1) as f64;
            let takes = Span((units as f64 / even.max(1e-9) * 1e6).min(6e7) as u64);
            let spare = (account.level / most.max(1e-9) - pressed).clamp(0.0, 1.0);
            let ahead = if meeting {
                0.0
            } else {
                spare * ahead_most.0 as f64
            };
            let ahead = Span(ahead as u64);
            let takes_little = takes <= LITTLE;
            if !takes_little && account.even_at > now + ahead {
                return Err(Denied {
                    wait: account.even_at.since(now + ahead),
                    level: account.level,
                    most,
                    kept,
                });
            }
            account.even_at = account.even_at.max(now) + takes;
        }
        account.level -= units as f64;
        account.used += units;
        account.changed = now;
        Ok(())
    }

    /// Gives back what a request that did not run was charged.
    pub fn give_back(&mut self, customer: u64, units: u64) {
        // Only this node's bucket: the others' are told of use, which never
        // falls, so that a late message cannot give back twice.
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.level += units as f64;
        }
    }

    /// Takes in what another node says that customers used there.
    pub fn hear(&mut self, from: SocketAddrV4, incarnation: u64, usage: &[Usage]) {
        let started = self.started;
        for said in usage {
            let account = self.accounts.entry(said.customer);
            let account = account.or_insert_with(|| Account::new(started));
            let told = Told {
                incarnation,
                units: said.units,
            };
            let before = account.told.insert(from, told);
            let used = match before {
                Some(before) if before.incarnation == incarnation => {
                    said.units.saturating_sub(before.units)
                }
                // What a node used before it was first heard is long past, but
                // for a node that has just started it is all there is.
                Some(_) => said.units,
                None => 0,
            };
            account.level -= used as f64;
        }
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
