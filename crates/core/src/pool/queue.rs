//! The queue of waiting requests: tiers in strict order, customers within a
//! tier by weighted fair queueing (start-time fair queuing, Goyal, Vin and
//! Cheng 1996), and a customer's short requests before its long ones, with age
//! counting against length.
//!
//! Adding or removing one request takes logarithmic time;
//! [`Queue::remove_peer`] scans the whole queue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use woadstage_config::published::Tier;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Ask;
use super::Peer;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The request for an endpoint.
    pub ask: Ask,
    /// The peer that sent it.
    pub peer: Peer,
    /// The time of arrival.
    pub arrived_at: Time,
    /// The time after which an answer is of no use.
    pub deadline: Time,
    /// The latest time at which the request can start and still finish in time.
    pub latest_start: Time,
    /// The estimated endpoint time, in microseconds.
    pub cost: f64,
}

impl Entry {
    /// Returns the virtual time that the request uses of its customer's share.
    fn share(&self) -> u64 {
        (self.cost / f64::from(self.ask.weight.max(1))).max(1.0) as u64
    }
}

/// The order within a customer: by delayed arrival time, then by insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    tag: u64,
    seq: u64,
}

/// The waiting requests of one customer in one tier, and its start tag.
#[derive(Debug, Default)]
struct CustomerQueue {
    start: u64,
    cost: f64,
    entries: BTreeMap<Rank, Entry>,
}

/// The waiting requests of one tier; `turns` orders customers by start tag.
#[derive(Debug, Default)]
struct TierQueue {
    virtual_time: u64,
    turns: BTreeSet<(u64, u64)>,
    customer_queues: HashMap<u64, CustomerQueue>,
    count: usize,
    cost: f64,
}

/// The position of a waiting request.
#[derive(Debug, Clone, Copy)]
struct Position {
    tier: Tier,
    customer: u64,
    rank: Rank,
    latest_start: Time,
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tier_queues: BTreeMap<Tier, TierQueue>,
    positions: HashMap<id::Request, Position>,
    expiry: BTreeSet<(Time, id::Request)>,
    seq: u64,
}

impl Queue {
    /// Adds a request, ordered as if it had arrived later by `queue_delay`.
    pub fn push(&mut self, entry: Entry, queue_delay: Span) {
        let Ask {
            request,
            tier,
            customer,
            ..
        } = entry.ask;
        self.seq += 1;
        let tag = (entry.arrived_at + queue_delay).0;
        let rank = Rank { tag, seq: self.seq };
        let position = Position {
            tier,
            customer,
            rank,
            latest_start: entry.latest_start,
        };
        self.positions.insert(request, position);
        self.expiry.insert((entry.latest_start, request));
        self.tier_queues
            .entry(tier)
            .or_default()
            .push(customer, rank, entry);
    }

    /// Returns up to `limit` requests of a tier in fair queueing order, without
    /// removing them.
    pub fn peek(&self, tier: Tier, limit: usize) -> Vec<&Entry> {
        self.tier_queues
            .get(&tier)
            .map_or_else(Vec::new, |tier_queue| tier_queue.peek(limit))
    }

    /// Returns the tiers with waiting requests, the most protected first.
    pub fn tiers(&self) -> impl Iterator<Item = Tier> + '_ {
        let waiting = self
            .tier_queues
            .iter()
            .filter(|(_, tier_queue)| tier_queue.count > 0);
        waiting.map(|(tier, _)| *tier)
    }

    /// Removes a request and charges it to its customer's share.
    pub fn take(&mut self, request: id::Request) -> Option<Entry> {
        let Position {
            tier,
            customer,
            rank,
            ..
        } = *self.positions.get(&request)?;
        self.tier_queues.get_mut(&tier)?.advance(customer, rank);
        self.remove(request)
    }

    /// Removes the next request of the most protected tier with waiting
    /// requests and charges it to its customer's share. Returns `None` if that
    /// tier is less protected than `least`.
    pub fn pop(&mut self, least: Tier) -> Option<Entry> {
        let tier = self.tiers().next().filter(|tier| *tier <= least)?;
        let request = self.peek(tier, 1).first()?.ask.request;
        self.take(request)
    }

    /// Removes a request without charging it to its customer's share.
    pub fn remove(&mut self, request: id::Request) -> Option<Entry> {
        let position = *self.positions.get(&request)?;
        self.forget(request);
        self.tier_queues
            .get_mut(&position.tier)?
            .remove(position.customer, position.rank)
    }

    /// Removes all requests of one incarnation of a host.
    pub fn remove_peer(&mut self, peer: &Peer) {
        let customer_queues = self
            .tier_queues
            .values()
            .flat_map(|tier_queue| tier_queue.customer_queues.values());
        let entries = customer_queues.flat_map(|customer_queue| customer_queue.entries.values());
        let theirs: Vec<id::Request> = entries
            .filter(|entry| entry.peer == *peer)
            .map(|entry| entry.ask.request)
            .collect();
        for request in theirs {
            self.remove(request);
        }
    }

    /// Removes a request whose latest start is not after `now`, if any.
    pub fn pop_expired(&mut self, now: Time) -> Option<Entry> {
        let (latest_start, request) = *self.expiry.first()?;
        if latest_start > now {
            None
        } else {
            self.remove(request)
        }
    }

    /// Removes the last request of the customer whose turn is last in the least
    /// protected tier with waiting requests, without charging it.
    pub fn pop_least_protected(&mut self) -> Option<Entry> {
        let (_, tier_queue) = self
            .tier_queues
            .iter()
            .rev()
            .find(|(_, tier_queue)| tier_queue.count > 0)?;
        let (_, customer) = *tier_queue.turns.last()?;
        let entry = tier_queue
            .customer_queues
            .get(&customer)?
            .entries
            .values()
            .next_back()?;
        let request = entry.ask.request;
        self.remove(request)
    }

    fn forget(&mut self, request: id::Request) {
        if let Some(position) = self.positions.remove(&request) {
            self.expiry.remove(&(position.latest_start, request));
        }
    }

    /// Returns the attempt under which the request waits, if it does.
    pub fn attempt_opt(&self, request: id::Request) -> Option<u32> {
        let position = self.positions.get(&request)?;
        let customer_queue = self
            .tier_queues
            .get(&position.tier)?
            .customer_queues
            .get(&position.customer)?;
        customer_queue
            .entries
            .get(&position.rank)
            .map(|entry| entry.ask.attempt)
    }

    /// Returns whether the request waits.
    pub fn contains(&self, request: id::Request) -> bool {
        self.positions.contains_key(&request)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of waiting requests by tier.
    pub fn counts(&self) -> Vec<(Tier, usize)> {
        self.tier_queues
            .iter()
            .map(|(tier, tier_queue)| (*tier, tier_queue.count))
            .collect()
    }

    /// Returns the endpoint time of requests waiting in `tier` and more
    /// protected tiers, in microseconds.
    pub fn cost_through(&self, tier: Tier) -> f64 {
        let tier_queues = self.tier_queues.range(..=tier);
        tier_queues
            .map(|(_, tier_queue)| tier_queue.cost.max(0.0))
            .sum()
    }

    /// Returns the endpoint time ahead of a new request of a customer, in
    /// microseconds: all of the more protected tiers and, in its own tier, the
    /// customer's waiting requests plus as much for each other customer, at
    /// most all that waits there. Weights are ignored.
    pub fn cost_ahead(&self, tier: Tier, customer: u64) -> f64 {
        let above: f64 = self
            .tier_queues
            .range(..tier)
            .map(|(_, tier_queue)| tier_queue.cost.max(0.0))
            .sum();
        let Some(tier_queue) = self.tier_queues.get(&tier) else {
            return above;
        };
        let own = tier_queue
            .customer_queues
            .get(&customer)
            .map_or(0.0, |customer_queue| customer_queue.cost.max(0.0));
        let customers = tier_queue.turns.len().max(1) as f64;
        above + (own * customers).min(tier_queue.cost.max(0.0))
    }

    /// Returns the least protected tier with waiting requests.
    pub fn least_protected_tier_opt(&self) -> Option<Tier> {
        self.tier_queues
            .iter()
            .rev()
            .find(|(_, tier_queue)| tier_queue.count > 0)
            .map(|(tier, _)| *tier)
    }

    /// Returns the time at which the next waiting request expires.
    pub fn next_expiry_opt(&self) -> Option<Time> {
        self.expiry.first().map(|(latest_start, _)| *latest_start)
    }
}

impl TierQueue {
    fn push(&mut self, customer: u64, rank: Rank, entry: Entry) {
        self.count += 1;
        self.cost += entry.cost;
        let customer_queue = self.customer_queues.entry(customer).or_default();
        if customer_queue.entries.is_empty() {
            customer_queue.start = customer_queue.start.max(self.virtual_time);
            self.turns.insert((customer_queue.start, customer));
        }
        customer_queue.cost += entry.cost;
        customer_queue.entries.insert(rank, entry);
    }

    fn peek(&self, limit: usize) -> Vec<&Entry> {
        let mut customer_queues: Vec<_> = self
            .turns
            .iter()
            .take(limit)
            .filter_map(|(start, customer)| {
                Some((
                    *start,
                    *customer,
                    self.customer_queues.get(customer)?.entries.values(),
                ))
            })
            .collect();
        let mut found = Vec::new();
        while found.len() < limit {
            let turn = customer_queues
                .iter_mut()
                .min_by_key(|(start, customer, _)| (*start, *customer));
            let Some((start, _, entries)) = turn else {
                break;
            };
            match entries.next() {
                Some(entry) => {
                    *start += entry.share();
                    found.push(entry);
                }
                None => *start = u64::MAX,
            }
            if customer_queues.iter().all(|(start, ..)| *start == u64::MAX) {
                break;
            }
        }
        found
    }

    /// Advances a customer's start tag by the share of one of its requests.
    fn advance(&mut self, customer: u64, rank: Rank) {
        let Some(customer_queue) = self.customer_queues.get_mut(&customer) else {
            return;
        };
        let Some(entry) = customer_queue.entries.get(&rank) else {
            return;
        };
        self.turns.remove(&(customer_queue.start, customer));
        self.virtual_time = self.virtual_time.max(customer_queue.start);
        customer_queue.start += entry.share();
        self.turns.insert((customer_queue.start, customer));
    }

    fn remove(&mut self, customer: u64, rank: Rank) -> Option<Entry> {
        let customer_queue = self.customer_queues.get_mut(&customer)?;
        let entry = customer_queue.entries.remove(&rank)?;
        self.turns.remove(&(customer_queue.start, customer));
        self.close(customer, &entry);
        Some(entry)
    }

    /// Updates counts after a removal and schedules the customer's next turn,
    /// if it has one.
    fn close(&mut self, customer: u64, entry: &Entry) {
        self.count -= 1;
        self.cost -= entry.cost;
        let Some(customer_queue) = self.customer_queues.get_mut(&customer) else {
            return;
        };
        customer_queue.cost -= entry.cost;
        if !customer_queue.entries.is_empty() {
            self.turns.insert((customer_queue.start, customer));
        } else if customer_queue.start <= self.virtual_time
            || self.customer_queues.len() > MAX_IDLE_CUSTOMERS
        {
            self.customer_queues.remove(&customer);
        }
    }
}

/// The number of customers in a tier above which one without waiting requests
/// is dropped even if its start tag lies ahead of the virtual time.
const MAX_IDLE_CUSTOMERS: usize = 1_024;
