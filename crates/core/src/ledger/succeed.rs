//! Transfer of the unused tickets to one successor on a planned stop.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;

use super::Book;
use super::Ledger;

/// The unused tickets that a node transfers to its successor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estate {
    /// The tickets of each incarnation.
    pub books: Vec<TransferredBook>,
}

/// The unused tickets of one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredBook {
    /// The incarnation that issued the tickets.
    pub incarnation: id::Incarnation,
    /// The number of the first ticket remembered.
    pub first: u64,
    /// The number of tickets from `first` on, used or not.
    pub count: u64,
    /// The number and customer of each unused ticket.
    pub unused: Vec<(u64, u64)>,
}

impl Ledger {
    /// Closes the ledger and returns its unused tickets, or `None` while a keyed
    /// request is in progress. No key can be claimed here afterwards, even if
    /// the successor never receives the tickets.
    pub fn try_hand_over(&mut self) -> Option<Estate> {
        if !self.running.is_empty() || !self.open {
            return None;
        }
        self.open = false;
        let books = self
            .books
            .drain()
            .map(|(incarnation, book)| TransferredBook {
                incarnation,
                first: book.first,
                count: book.unused.len() as u64,
                unused: unused_tickets(&book),
            });
        Some(Estate {
            books: books.collect(),
        })
    }

    /// Takes over the tickets of another node. A book that is already known is
    /// kept unchanged, so a transfer that arrives twice has no further effect.
    pub fn take_over(&mut self, estate: Estate) {
        if !self.open {
            return;
        }
        for transferred in estate.books {
            let incarnation = transferred.incarnation;
            self.books
                .entry(incarnation)
                .or_insert_with(|| restore_book(transferred));
        }
    }
}

fn unused_tickets(book: &Book) -> Vec<(u64, u64)> {
    let numbered = book.unused.iter().zip(book.first..);
    numbered
        .filter_map(|(customer, number)| Some((number, (*customer)?)))
        .collect()
}

fn restore_book(transferred: TransferredBook) -> Book {
    let count = transferred.count.min(super::MAX_TICKETS as u64) as usize;
    let mut unused = std::collections::VecDeque::from(vec![None; count]);
    for (number, customer) in transferred.unused {
        let index = number
            .checked_sub(transferred.first)
            .map(|index| index as usize);
        if let Some(slot) = index.and_then(|index| unused.get_mut(index)) {
            *slot = Some(customer);
        }
    }
    Book {
        first: transferred.first,
        unused,
    }
}
