//! Rate limits for customers and a budget for retries.

use std::collections::HashMap;

use woadstage_types::unit::Rate;
use woadstage_types::unit::Time;

/// The burst that a customer may send, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// The number of tracked customers from which those with a full bucket are
/// dropped.
const PRUNE_THRESHOLD: usize = 4_096;

/// A token bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    updated_at: Time,
}

impl Bucket {
    fn fill(&mut self, now: Time, per_second: f64, most: f64) {
        let gained = now.since(self.updated_at).as_secs_f64() * per_second;
        self.level = (self.level + gained).min(most);
        self.updated_at = now;
    }
}

/// Rate limits of the customers that send through this node.
#[derive(Debug, Default)]
pub struct Customers {
    buckets: HashMap<u64, (Bucket, f64)>,
}

impl Customers {
    /// Takes one request from a customer's bucket and returns whether it is
    /// within the limit. `nodes` share the limit; each allows twice its even
    /// part, because load balancers spread requests unevenly.
    pub fn admit(&mut self, now: Time, customer: u64, limit: Rate, nodes: usize) -> bool {
        let rate = limit.0 as f64 * (2.0 / nodes.max(2) as f64);
        let most = (rate * BURST_SECONDS).max(1.0);
        if self.buckets.len() >= PRUNE_THRESHOLD && !self.buckets.contains_key(&customer) {
            self.prune_full(now);
        }
        let full = (
            Bucket {
                level: most,
                updated_at: now,
            },
            rate,
        );
        let (bucket, known) = self.buckets.entry(customer).or_insert(full);
        *known = rate;
        bucket.fill(now, rate, most);
        let admitted = bucket.level >= 1.0;
        if admitted {
            bucket.level -= 1.0;
        }
        admitted
    }

    fn prune_full(&mut self, now: Time) {
        self.buckets.retain(|_, (bucket, rate)| {
            let missing = (*rate * BURST_SECONDS).max(1.0) - bucket.level;
            now.since(bucket.updated_at).as_secs_f64() * *rate < missing
        });
    }

    /// Returns the number of tracked customers.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no customer is tracked.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

/// A retry budget in proportion to first attempts, so that failing endpoints do
/// not multiply the load (as in Finagle and the SRE book).
#[derive(Debug)]
pub struct RetryBudget {
    level: f64,
}

impl RetryBudget {
    /// The number of retries that one first attempt adds to the budget.
    pub const SHARE: f64 = 0.1;
    /// The maximum number of retries in the budget.
    pub const CAPACITY: f64 = 10.0;

    /// Adds one first attempt's share to the budget.
    pub fn note_request(&mut self) {
        self.level = (self.level + RetryBudget::SHARE).min(RetryBudget::CAPACITY);
    }

    /// Returns whether the budget covers a retry.
    pub fn has_retry(&self) -> bool {
        self.level >= 1.0
    }

    /// Takes one retry from the budget if it covers one, and returns whether it
    /// did.
    pub fn try_spend(&mut self) -> bool {
        let may = self.level >= 1.0;
        if may {
            self.level -= 1.0;
        }
        may
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            level: RetryBudget::CAPACITY,
        }
    }
}
