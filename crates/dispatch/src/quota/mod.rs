//! Customer quotas, enforced across all nodes of the fleet.
//!
//! Each node keeps a token bucket for each customer and drains it by the units that
//! it admits itself and by those that other nodes report. While another node is
//! silent, its even share of the rate counts as used there, so that the two sides of
//! a network partition never exceed the quota between them.
//!
//! In a fleet of one cell each node decides from its own bucket, as all nodes
//! exchange statuses many times a second. In a larger fleet each customer has an owner
//! among the nodes, which the others ask (`dispatcher/reserve.rs`).
//!
//! * `admit.rs`: charges requests.
//! * `initial.rs`: the credit of a node that has just started.
//! * `usage.rs`: the exchange of usage between nodes.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::configuration::Quota;
use crate::map::HashMap;

mod admit;
mod initial;
mod usage;

pub use usage::Reporter;

/// How far the fleet may exceed a customer's limit, and how nodes share it.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The fraction by which the limit may be exceeded.
    pub overrun: f64,
    /// Further units by which the limit may be exceeded in a window.
    pub slack: f64,
    /// The fraction of both allowances that buckets use; the rest covers usage that
    /// other nodes have not been sent yet.
    pub part: f64,
    /// The fraction in a fleet of several cells, where owners of a quota learn of each
    /// other's usage later.
    pub part_in_cells: f64,
    /// The fraction that all nodes together may admit after their start in addition
    /// to their buckets, which start empty because earlier usage is unknown. This,
    /// [`Options::part`] and the remainder for messages in flight add up to one.
    pub initial: f64,
    /// The window in which a customer's usage is measured.
    pub window: Span,
    /// For how long a node that reaches no owner may accumulate its unused share.
    pub accrual_time: Span,
    /// The fraction of a limit that a node admits while it has received no status
    /// since its start, and the fraction of its even share that a node admits while
    /// it reaches no owner.
    pub isolated_share: f64,
    /// The fraction of a bucket that the least protected requests may not use.
    pub reserved_fraction: f64,
    /// The fraction of a bucket up to which a request counts as small and may use
    /// the reserved fraction too.
    pub small_fraction: f64,
    /// How long a customer's usage is reported to other nodes after its last change.
    pub report_for: Span,
    /// The time from its start in which a node discovers the others.
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

/// A request's demand on its customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The units to charge.
    pub units: u64,
    /// The relative priority: from 0 for the most protected requests to 1 for the least
    /// protected.
    pub relative_priority: f64,
    /// Whether requests wait for the endpoints that it needs. No customer then exceeds
    /// its limit, as that would be at the cost of other customers.
    pub backlogged: bool,
}

/// The part of the fleet from which a node receives statuses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reach {
    /// The nodes that share a quota, including this one.
    pub nodes: usize,
    /// The silent nodes among them.
    pub silent: usize,
    /// Whether no status of another node was received since the start.
    pub isolated: bool,
    /// Whether the whole fleet is one cell, whose nodes exchange statuses many times a
    /// second.
    pub one_cell: bool,
}

impl Reach {
    /// Scales the interval between two events of this node under a rate bound of the
    /// whole fleet. Silent nodes may have an enforcer of the same bound among
    /// themselves, so the interval grows with their number.
    pub fn scale_interval(self, interval: Span) -> Span {
        Span(interval.0 * self.nodes as u64 / self.live_nodes())
    }

    /// Scales the number of slots of an endpoint that this node hands out in the same way, but
    /// leaves one.
    pub fn scale_slots(self, slots: u32) -> u32 {
        let scaled = u64::from(slots) * self.live_nodes() / self.nodes.max(1) as u64;
        (scaled as u32).max(1)
    }

    fn live_nodes(self) -> u64 {
        self.nodes.saturating_sub(self.silent).max(1) as u64
    }
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Denied {
    /// The estimated time until the request fits if nothing else is admitted. The wait for
    /// a bucket to fill is computed from the full rate of the quota.
    pub wait: Span,
    /// The units in the bucket now.
    pub level: f64,
    /// The units in a full bucket.
    pub capacity: f64,
    /// The units reserved for more protected requests.
    pub reserved: f64,
}

/// The total that another node last reported for a customer.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PeerUsage {
    incarnation: u64,
    units: u64,
}

/// One customer's token bucket and usage.
#[derive(Debug)]
struct Account {
    level: f64,
    /// The level of a bucket that fills at the rate of the limit without the allowance.
    base_level: f64,
    capacity: f64,
    updated_at: Time,
    /// The units that this node has admitted since its start.
    used: u64,
    /// The units of this node's initial credit that are used up.
    initial_used: u64,
    used_at: Time,
    /// When this node's share of the rate has covered all units admitted through it,
    /// whichever node granted them.
    share_paid_until: Time,
    peer_usage: HashMap<SocketAddrV4, PeerUsage>,
}

impl Account {
    /// Removes units that were admitted here or at another node. The base level stops
    /// at zero, so that usage of idle endpoints beyond the limit does not count against
    /// the customer later.
    fn take(&mut self, units: f64) {
        self.level -= units;
        self.base_level = (self.base_level - units).max(0.0);
    }

    /// Creates a bucket that was empty when this node started, as usage before that is
    /// unknown.
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
            peer_usage: HashMap::default(),
        }
    }
}

/// The accounts of all customers with recent requests.
#[derive(Debug)]
pub struct Accounts {
    options: Options,
    started: Time,
    /// When the first status of another node was received.
    first_heard: Option<Time>,
    /// Whether other nodes have used the initial credit of this window.
    is_initial_credit_used: bool,
    accounts: HashMap<u64, Account>,
}

/// The number of accounts from which on those without recent requests are dropped.
const MAX_ACCOUNTS: usize = 8_192;

impl Accounts {
    /// Creates the accounts of a node that started long ago, without any usage.
    pub fn new(options: Options) -> Accounts {
        Accounts {
            options,
            started: Time(0),
            first_heard: None,
            is_initial_credit_used: false,
            accounts: HashMap::default(),
        }
    }

    /// Records when this node started; only the first call has an effect. Every entry
    /// point calls this first, as a bucket created before would count as filling since
    /// time zero.
    pub fn record_start(&mut self, now: Time) {
        if self.started == Time(0) {
            self.started = now;
        }
    }

    /// Records that a status of another node was received; only the first call has an effect.
    pub fn record_heard(&mut self, now: Time) {
        self.first_heard.get_or_insert(now);
    }

    /// Returns when this node started.
    pub fn started(&self) -> Time {
        self.started
    }

    /// Whether this node may not have discovered all others yet.
    pub fn is_discovering(&self, now: Time) -> bool {
        now < self.discovery_ends_at()
    }

    /// Returns when this node should have discovered the others.
    pub fn discovery_ends_at(&self) -> Time {
        self.started + self.options.discovery_time
    }

    /// The share of a quota that this node may grant: the share of the nodes that are not
    /// silent.
    fn visible_share(&self, reach: Reach) -> f64 {
        if reach.isolated {
            return self.options.isolated_share;
        }
        let live = reach.nodes.saturating_sub(reach.silent).max(1);
        live as f64 / reach.nodes.max(1) as f64
    }

    /// The fraction of the allowance that buckets use.
    fn usable_part(&self, reach: Reach) -> f64 {
        match reach.one_cell {
            true => self.options.part,
            false => self.options.part_in_cells,
        }
    }

    /// The units by which usage in a window may exceed the limit.
    fn allowance(&self, quota: &Quota) -> f64 {
        let base = quota.per_second * self.options.window.as_secs_f64() + quota.burst;
        base * self.options.overrun + self.options.slack
    }

    /// The units in a full bucket. The burst is shared like the rate, as otherwise
    /// both sides of a network partition would have the whole burst.
    fn capacity(&self, quota: &Quota, reach: Reach) -> f64 {
        quota.burst * self.visible_share(reach)
    }

    /// The units that a bucket gains in a second. The usable part of the allowance
    /// raises the rate and not the capacity, which would help for a single burst only.
    fn fill_rate(&self, quota: &Quota, reach: Reach) -> f64 {
        let allowed = self.allowance(quota) * self.usable_part(reach);
        let gained = allowed / self.options.window.as_secs_f64().max(1e-3);
        (quota.per_second + gained) * self.visible_share(reach)
    }

    /// Returns a customer's account, refilled up to now.
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
