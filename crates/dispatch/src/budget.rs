//! Retry budget. All nodes together may retry a ratio of the incoming requests plus a
//! fixed number in each window. Each node only uses the ratio of its own requests and an
//! equal part of the fixed number, so the total bound holds during any network partition
//! (after the retry budget of Finagle).

use std::collections::VecDeque;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::map::HashMap;

/// Bounds on retries, over all nodes together.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The number of retries allowed for each request.
    pub ratio: f64,
    /// The number of further retries allowed in each window.
    pub extra: f64,
    /// The time window.
    pub window: Span,
    /// The fraction of both bounds that is used, because the windows of other nodes are
    /// not aligned.
    pub safety_factor: f64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            ratio: 0.2,
            extra: 10.0,
            window: Span::from_secs(10),
            safety_factor: 0.8,
        }
    }
}

/// The request and retry times of one service within the window.
#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl Counts {
    fn expire(&mut self, before: Time) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < before) {
                times.pop_front();
            }
        }
    }
}

/// The retry budget of one node.
#[derive(Debug)]
pub struct Budget {
    options: Options,
    services: HashMap<id::Target, Counts>,
}

impl Budget {
    /// Creates a budget without any requests or retries.
    pub fn new(options: Options) -> Budget {
        Budget {
            options,
            services: HashMap::default(),
        }
    }

    /// Counts an incoming request of a service.
    pub fn record_request(&mut self, now: Time, target: &id::Target) {
        let window = self.options.window;
        let counts = self.services.entry(target.clone()).or_default();
        counts.expire(now - window);
        counts.requests.push_back(now);
    }

    /// Returns the number of retries that a node may make now if `nodes` share the
    /// budget.
    pub fn remaining(&self, now: Time, target: &id::Target, nodes: usize) -> u64 {
        let Some(counts) = self.services.get(target) else {
            return 0;
        };
        let start = now - self.options.window;
        let recent = |times: &VecDeque<Time>| {
            times
                .iter()
                .rev()
                .take_while(|time| **time >= start)
                .count()
        };
        let from_ratio = self.options.ratio * recent(&counts.requests) as f64;
        let from_extra = self.options.extra / nodes.max(1) as f64;
        let allowed = ((from_ratio + from_extra) * self.options.safety_factor) as u64;
        allowed.saturating_sub(recent(&counts.repeats) as u64)
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn try_spend(&mut self, now: Time, target: &id::Target, nodes: usize) -> bool {
        if self.remaining(now, target, nodes) == 0 {
            return false;
        }
        let counts = self.services.entry(target.clone()).or_default();
        counts.repeats.push_back(now);
        true
    }

    /// Returns a retry that was taken from the budget at `spent_at` and not made.
    pub fn refund(&mut self, spent_at: Time, target: &id::Target) {
        let Some(counts) = self.services.get_mut(target) else {
            return;
        };
        if let Ok(index) = counts.repeats.binary_search(&spent_at) {
            counts.repeats.remove(index);
        }
    }
}
