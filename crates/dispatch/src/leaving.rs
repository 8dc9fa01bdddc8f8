//! Endpoints that stated in an answer that they are leaving.
//!
//! Only a new start of the endpoint revokes such a statement; neither a list that still shows it as
//! ready nor the passing of time does. The statement is therefore kept separately from
//! the lists, by the number of the endpoint's start, even while no list contains the
//! endpoint.

use std::collections::VecDeque;

use crate::map::HashSet;

/// The maximum number of starts kept: more than are replaced within the time in which an
/// older list may reappear.
const MAX_STARTS: usize = 8_192;

/// The numbers of the starts that are leaving.
#[derive(Debug, Default)]
pub struct Registry {
    numbers: HashSet<u32>,
    /// The same numbers, oldest first.
    order: VecDeque<u32>,
}

impl Registry {
    /// Records that an endpoint is leaving. Returns true if that was not known.
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

    /// Whether an endpoint stated that it is leaving.
    pub fn contains(&self, endpoint: u32) -> bool {
        self.numbers.contains(&endpoint)
    }
}
