//! The platform's link and those of nodes, as far as lists of endpoints fill them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// Lists that a node gives at once.
const MAX_TRANSFERS: u64 = 3;

/// How long a node rests that was declined.
pub const DECLINE_PAUSE: Span = Span::from_millis(80);

/// How long the platform takes for one read beside the bytes: six pages of 4 ms.
const READ_TIME: Span = Span::from_millis(24);

/// What a whole list costs and what links carry, in bytes and bytes a second.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// The list as the platform gives it.
    pub read: u64,
    /// The same from a node.
    pub list: u64,
    /// The platform's link.
    pub platform: u64,
    /// The link of a node.
    pub node: u64,
}

/// Lists on their way.
#[derive(Debug)]
pub struct Links {
    rates: Rates,
    /// When the platform's link is free.
    free_at: Time,
    transfers: BTreeMap<u16, u64>,
    /// Nodes that read or take a list.
    pub busy: BTreeSet<u16>,
    /// Reads of the platform.
    pub reads: usize,
    /// Lists that went from node to node.
    pub given: usize,
}

impl Links {
    /// Nothing is on its way.
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

    /// When a read that begins now is over.
    pub fn read(&mut self, now: Time) -> Time {
        self.reads += 1;
        let begun = now.max(self.free_at);
        self.free_at = begun + transfer_time(self.rates.read, self.rates.platform);
        let own = begun + transfer_time(self.rates.read, self.rates.node);
        self.free_at.max(own) + READ_TIME
    }

    /// When a node has given a list; none where it gives to enough others.
    pub fn try_start_transfer(&mut self, now: Time, from: u16) -> Option<Time> {
        let transfers = self.transfers.entry(from).or_default();
        if *transfers >= MAX_TRANSFERS {
            return None;
        }
        *transfers += 1;
        self.given += 1;
        Some(now + transfer_time(self.rates.list * *transfers, self.rates.node))
    }

    /// A node has given a list.
    pub fn end_transfer(&mut self, from: u16) {
        if let Some(transfers) = self.transfers.get_mut(&from) {
            *transfers = transfers.saturating_sub(1);
        }
    }
}

fn transfer_time(bytes: u64, rate: u64) -> Span {
    Span(bytes * 1_000_000 / rate.max(1))
}
