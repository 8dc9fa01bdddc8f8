//! Endpoints that said in an answer that they leave.
//!
//! Nothing but another start takes that back: no list that still says that they are ready,
//! and no time without a word. So it is kept apart from what lists say, by the number of
//! the endpoint's start, also while no list has the endpoint.

use std::collections::HashSet;
use std::collections::VecDeque;

/// Starts of endpoints that are remembered: more than are replaced in the time in which an
/// older list may come back.
const MAX_STARTS: usize = 8_192;

/// The numbers of starts that leave.
#[derive(Debug, Default)]
pub struct Registry {
    numbers: HashSet<u32>,
    /// The same, oldest first.
    order: VecDeque<u32>,
}

impl Registry {
    /// Notes that an endpoint leaves. True where that was not known.
    pub fn insert(&mut self, endpoint: u32) -> bool {
        if !self.numbers.insert(endpoint) {
            return false;
        }
        self.order.push_back(endpoint);
        if self.order.len() > MAX_STARTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.numbers.remove(&oldest);
        }
        true
    }

    /// True where an endpoint said that it leaves.
    pub fn contains(&self, endpoint: u32) -> bool {
        self.numbers.contains(&endpoint)
    }
}
