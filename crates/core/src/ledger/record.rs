//! Release of claimed keys and recording of their answers.

use woadstage_types::id;
use woadstage_types::unit::Size;

use super::Key;
use super::Ledger;
use super::State;

impl Ledger {
    /// Releases the key of a request that did not run and will not, so that it
    /// can be claimed again. Returns the requests that waited for its answer.
    pub fn release_key(&mut self, request: id::Request) -> Vec<id::Request> {
        let Some(key) = self.running.remove(&request) else {
            return Vec::new();
        };
        let waiting = match self.entries.remove(&key).map(|entry| entry.state) {
            Some(State::Running(waiting)) => waiting,
            _ => Vec::new(),
        };
        match key {
            Key::Ticket(ticket) => {
                let customer = self.customers.remove(&ticket);
                let book = self.books.get_mut(&ticket.incarnation);
                let slot = book.and_then(|book| {
                    let index = ticket.number.checked_sub(book.first)?;
                    book.unused.get_mut(index as usize)
                });
                if let Some(unused) = slot {
                    *unused = customer;
                }
            }
            Key::Plain(customer, text) => {
                self.plain
                    .retain(|(other, owner)| *other != text || *owner != customer);
            }
        }
        waiting
    }

    /// Records the end of a request, and its answer if that is small enough to
    /// be kept. Returns the requests that waited for the answer.
    pub fn record(&mut self, request: id::Request, answer: Option<Size>) -> Vec<id::Request> {
        let Some(key) = self.running.remove(&request) else {
            return Vec::new();
        };
        if let Key::Ticket(ticket) = &key {
            self.customers.remove(ticket);
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            return Vec::new();
        };
        let held = answer.filter(|size| *size <= self.answers_limit);
        let state = held.map_or(State::Ended, State::Recorded);
        let previous_state = std::mem::replace(&mut entry.state, state);
        match held {
            Some(size) => {
                self.answers_size.0 += size.0;
                self.answers.push_back((key, size));
            }
            None => self.forget_used(&key),
        }
        match previous_state {
            State::Running(waiting) => waiting,
            _ => Vec::new(),
        }
    }

    /// Drops the oldest answers until the rest fit the size limit. Returns the
    /// requests whose answers can be deleted.
    pub fn trim_answers(&mut self) -> Vec<id::Request> {
        let mut dropped = std::mem::take(&mut self.dropped);
        while self.answers_size > self.answers_limit {
            let Some((key, size)) = self.answers.pop_front() else {
                break;
            };
            self.answers_size.0 -= size.0;
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.state = State::Ended;
                dropped.push(entry.request);
            }
            self.forget_used(&key);
        }
        dropped
    }

    /// Removes the entry of a used ticket without an answer, because its book
    /// records the use. A plain key has no book, so its entry stays.
    fn forget_used(&mut self, key: &Key) {
        if matches!(key, Key::Ticket(_)) {
            self.entries.remove(key);
        }
    }

    /// Removes a request from those that wait for an answer.
    pub fn stop_waiting(&mut self, request: id::Request) {
        for entry in self.entries.values_mut() {
            if let State::Running(waiting) = &mut entry.state {
                waiting.retain(|other| *other != request);
            }
        }
    }

    /// Removes the entry of a key, unless its request is in progress.
    pub(super) fn forget_ended(&mut self, key: &Key) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let request = entry.request;
        match entry.state {
            State::Running(_) => return,
            State::Recorded(size) => {
                self.answers_size.0 -= size.0;
                self.answers.retain(|(other, _)| other != key);
                self.dropped.push(request);
            }
            State::Ended => {}
        }
        self.entries.remove(key);
    }
}
