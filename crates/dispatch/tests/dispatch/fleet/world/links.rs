//! The load of endpoint lists on the links of the platform and the nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The maximum number of lists that a node sends at once.
const MAX_TRANSFERS: u64 = 3;

/// The time after which a node may ask again once its transfer was declined.
pub const DECLINE_PAUSE: Span = Span::from_millis(80);

/// The time of a read beside the transfer: six pages of 4 ms each.
const READ_TIME: Span = Span::from_millis(24);

/// The sizes of a whole list in bytes, and the rates of links in bytes a second.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// The list as sent by the platform.
    pub read: u64,
    /// The list as sent by a node.
    pub list: u64,
    /// The platform's link.
    pub platform: u64,
    /// The link of a node.
    pub node: u64,
}

/// The transfers in progress.
#[derive(Debug)]
pub struct Links {
    rates: Rates,
    /// When the platform's link becomes free.
    free_at: Time,
    transfers: BTreeMap<u16, u64>,
    /// The nodes that are receiving a list.
    pub busy: BTreeSet<u16>,
    /// The number of reads from the platform.
    pub reads: usize,
    /// The number of lists sent from node to node.
    pub given: usize,
}

impl Links {
    /// Creates idle links.
    pub fn new(rates: Rates) -> Links {
        Links {
            rates,
            free_at: Time(0),
            transfers: BTreeMap::new(),
            busy: BTreeSet::new(),
            reads: 0,
            given: 0,
        }
    }

    /// Starts a read and returns when it ends.
    pub fn read(&mut self, now: Time) -> Time {
        self.reads += 1;
        let begun = now.max(self.free_at);
        self.free_at = begun + transfer_time(self.rates.read, self.rates.platform);
        let own = begun + transfer_time(self.rates.read, self.rates.node);
        self.free_at.max(own) + READ_TIME
    }

    /// Starts a transfer from a node and returns when it ends, or `None` if the node already
    /// sends the maximum number of lists.
    pub fn try_start_transfer(&mut self, now: Time, from: u16) -> Option<Time> {
        let transfers = self.transfers.entry(from).or_default();
        if *transfers >= MAX_TRANSFERS {
            return None;
        }
        *transfers += 1;
        self.given += 1;
        Some(now + transfer_time(self.rates.list * *transfers, self.rates.node))
    }

    /// Ends a transfer from a node.
    pub fn end_transfer(&mut self, from: u16) {
        if let Some(transfers) = self.transfers.get_mut(&from) {
            *transfers = transfers.saturating_sub(1);
        }
    }
}

fn transfer_time(bytes: u64, rate: u64) -> Span {
    Span(bytes * 1_000_000 / rate.max(1))
}
