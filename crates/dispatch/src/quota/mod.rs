//! What customers may use, over all nodes together.
//!
//! A bucket is drained by what its node gives out and by what the others say
//! that they gave out. While another node is silent, its even part of the rate
//! is taken to be used there: so two sides of a cut never give out more than the
//! whole between them.
//!
//! In a small fleet each node decides out of its own bucket, as all hear each
//! other many times a second. In a larger one each customer has an owner among
//! the nodes, which the others ask (`dispatcher/reserve.rs`).
//!
//! * `admit.rs`: requests are charged.
//! * `initial.rs`: what a node gives out that has just started.
//! * `usage.rs`: what nodes tell each other of their customers' use.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::configuration::Quota;

mod admit;
mod initial;
mod usage;

pub use usage::Reporter;

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
    /// The same in a fleet of several cells, where what owners of a quota know
    /// of each other is older.
    pub part_in_cells: f64,
    /// The part that all nodes together may give out after their start, beyond
    /// what buckets hold: these are empty then, since what was used before is
    /// not known. [`Options::part`], this and the rest that covers messages on
    /// their way make up the whole.
    pub initial: f64,
    /// The window in which the rules count a customer's use.
    pub window: Span,
    /// How much of its part a node may have saved up that reaches no owner.
    pub accrual_time: Span,
    /// The share of a limit that a node gives out which has heard no other
    /// node since it started; and of its even part, one that reaches no owner.
    pub isolated_share: f64,
    /// The part of a bucket that the least protected requests leave to others.
    pub reserved_fraction: f64,
    /// The part of a bucket up to which a request is so small that it may use
    /// all of it.
    pub small_fraction: f64,
    /// How long a customer's use is told to others after it last changed.
    pub report_for: Span,
    /// Time from its start in which a node meets the others.
    pub discovery_time: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            overrun: 0.0,
            slack: 0.0,
            part: 0.6,
            part_in_cells: 0.4,
            initial: 0.25,
            window: Span::from_secs(8),
            accrual_time: Span::from_secs(8),
            isolated_share: 0.25,
            reserved_fraction: 0.35,
            small_fraction: 0.01,
            report_for: Span::from_secs(10),
            discovery_time: Span::from_millis(300),
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
    /// True while requests wait for the endpoints that it needs: then nobody
    /// gets more than the plain limit, at the cost of the others.
    pub pressed: bool,
}

/// How much of the fleet a node can speak for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reach {
    /// Nodes that count, this one among them.
    pub nodes: usize,
    /// Of them, those that are silent.
    pub silent: usize,
    /// True where none other was heard since the start.
    pub isolated: bool,
    /// True where the whole fleet is one cell, whose nodes hear each other
    /// many times a second.
    pub one_cell: bool,
}

impl Reach {
    /// A time between two events of this node, for a bound that all nodes keep together:
    /// longer by the part of the fleet that is not heard and has a keeper of its own.
    pub fn scale_interval(self, interval: Span) -> Span {
        let heard = self.nodes.saturating_sub(self.silent).max(1);
        Span(interval.0 * self.nodes as u64 / heard as u64)
    }
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Denied {
    /// When the bucket would hold enough if nothing else were admitted.
    pub wait: Span,
    /// Units in the bucket now.
    pub level: f64,
    /// Units in a full bucket.
    pub capacity: f64,
    /// Units that are kept for more protected requests.
    pub reserved: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct PeerUsage {
    incarnation: u64,
    units: u64,
}

#[derive(Debug)]
struct Account {
    level: f64,
    /// What a bucket of the plain limit would hold.
    base_level: f64,
    capacity: f64,
    updated_at: Time,
    used: u64,
    /// Units given out of this node's initial credit.
    initial_used: u64,
    used_at: Time,
    /// When this node has kept to its even part of the rate again, whoever gave
    /// it out.
    share_paid_until: Time,
    peer_usage: HashMap<SocketAddrV4, PeerUsage>,
}

impl Account {
    /// Takes units that were given out, here or elsewhere. The plain bucket never
    /// falls below empty: what spare endpoints did is not held against later.
    fn take(&mut self, units: f64) {
        self.level -= units;
        self.base_level = (self.base_level - units).max(0.0);
    }

    /// A bucket that was empty when this node started, since it cannot know
    /// what was used before.
    fn new(started: Time) -> Account {
        Account {
            level: 0.0,
            base_level: 0.0,
            capacity: 0.0,
            updated_at: started,
            used: 0,
            initial_used: 0,
            used_at: Time(0),
            share_paid_until: Time(0),
            peer_usage: HashMap::new(),
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

/// Accounts kept before those that rest are forgotten.
const MAX_ACCOUNTS: usize = 8_192;

impl Accounts {
    /// Nothing used yet, by a node that started long ago.
    pub fn new(options: Options) -> Accounts {
        Accounts {
            options,
            started: Time(0),
            accounts: HashMap::new(),
        }
    }

    /// Says when this node started. Whatever comes first says so: a bucket that
    /// is made before would count as having filled since the beginning of time.
    pub fn note_start(&mut self, now: Time) {
        if self.started == Time(0) {
            self.started = now;
        }
    }

    /// When this node started.
    pub fn started(&self) -> Time {
        self.started
    }

    /// True until this node can have met the others.
    pub fn is_discovering(&self, now: Time) -> bool {
        now < self.discovery_ends_at()
    }

    /// When this node can have met the others.
    pub fn discovery_ends_at(&self) -> Time {
        self.started + self.options.discovery_time
    }

    fn visible_share(&self, reach: Reach) -> f64 {
        if reach.isolated {
            return self.options.isolated_share;
        }
        let heard = reach.nodes.saturating_sub(reach.silent).max(1);
        heard as f64 / reach.nodes.max(1) as f64
    }

    fn usable_part(&self, reach: Reach) -> f64 {
        match reach.one_cell {
            true => self.options.part,
            false => self.options.part_in_cells,
        }
    }

    /// Units by which the rules let use in a window exceed the plain limit.
    fn allowance(&self, quota: &Quota) -> f64 {
        let base = quota.per_second * self.options.window.as_secs_f64() + quota.burst;
        base * self.options.overrun + self.options.slack
    }

    /// Units in a full bucket. The burst is shared like the rate, else both
    /// sides of a cut would have a whole one.
    fn capacity(&self, quota: &Quota, reach: Reach) -> f64 {
        quota.burst * self.visible_share(reach)
    }

    /// Units that a bucket gains in a second. All of the allowance that running
    /// nodes use goes here: a larger bucket would help for one burst alone.
    fn fill_rate(&self, quota: &Quota, reach: Reach) -> f64 {
        let allowed = self.allowance(quota) * self.usable_part(reach);
        let gained = allowed / self.options.window.as_secs_f64().max(1e-3);
        (quota.per_second + gained) * self.visible_share(reach)
    }

    fn account(&mut self, now: Time, customer: u64, quota: &Quota, reach: Reach) -> &mut Account {
        let capacity = self.capacity(quota, reach);
        let rate = self.fill_rate(quota, reach);
        let base_rate = quota.per_second * self.visible_share(reach);
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&customer) {
            let since = now - self.options.report_for;
            self.accounts.retain(|_, account| account.used_at >= since);
        }
        let started = self.started;
        let account = self.accounts.entry(customer);
        let account = account.or_insert_with(|| Account::new(started));
        let gained = now.since(account.updated_at).as_secs_f64() * rate;
        account.level = (account.level + gained).min(capacity);
        let base_gained = now.since(account.updated_at).as_secs_f64() * base_rate;
        account.base_level = (account.base_level + base_gained).min(capacity);
        account.capacity = capacity;
        account.updated_at = now;
        account
    }
}
