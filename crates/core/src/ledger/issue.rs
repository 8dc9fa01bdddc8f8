//! Issue of tickets.

use super::Key;
use super::Ledger;
use super::MAX_TICKETS;
use super::Ticket;

impl Ledger {
    /// Issues a ticket to a customer, or returns `None` once the ledger was
    /// handed over. If too many tickets are remembered, the oldest is forgotten
    /// and can no longer run.
    pub fn try_issue(&mut self, customer: u64) -> Option<Ticket> {
        if !self.open {
            return None;
        }
        let book = self.books.get_mut(&self.own)?;
        let number = book.first + book.unused.len() as u64;
        book.unused.push_back(Some(customer));
        if book.unused.len() > MAX_TICKETS {
            book.unused.pop_front();
            let forgotten = Ticket {
                incarnation: self.own,
                number: book.first,
            };
            book.first += 1;
            self.forget_ended(&Key::Ticket(forgotten));
        }
        Some(Ticket {
            incarnation: self.own,
            number,
        })
    }
}
