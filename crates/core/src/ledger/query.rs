//! Queries of a ledger.

use woadstage_types::id;

use super::Ledger;
use super::State;

impl Ledger {
    /// Whether this node may run tickets of the incarnation.
    pub fn serves(&self, incarnation: id::Incarnation) -> bool {
        self.books.contains_key(&incarnation)
    }

    /// Returns the sorted incarnations whose tickets this node may run.
    pub fn incarnations(&self) -> Vec<id::Incarnation> {
        let mut all: Vec<id::Incarnation> = self.books.keys().copied().collect();
        all.sort();
        all
    }

    /// Whether the request is in progress and holds a key.
    pub fn is_running(&self, request: id::Request) -> bool {
        self.running.contains_key(&request)
    }

    /// Whether other requests wait for the answer to the request's key.
    pub fn has_waiting(&self, request: id::Request) -> bool {
        let entry = self
            .running
            .get(&request)
            .and_then(|key| self.entries.get(key));
        let state = entry.map(|entry| &entry.state);
        matches!(state, Some(State::Running(waiting)) if !waiting.is_empty())
    }

    /// Returns the number of keyed requests in progress.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of keys with an entry.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key has an entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether keys can be claimed: false once the tickets were handed over.
    pub fn is_open(&self) -> bool {
        self.open
    }
}
