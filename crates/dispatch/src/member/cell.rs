//! Cells: parts of a large fleet that share their part of the endpoints.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::Member;
use super::Members;

/// A part of a fleet that shares its part of the endpoints. Small fleets are
/// one cell; in larger ones each data centre has several, so that what a node
/// hears and sends stays the same however large the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cell {
    /// True where the whole fleet is this one cell.
    pub whole: bool,
    /// Which cell of the data centre this is.
    pub index: usize,
    /// Cells of the data centre.
    pub count: usize,
}

/// Who reads the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// This node reads for itself, as do all others.
    Alone,
    /// This node reads for others.
    ForOthers,
    /// Others of its data centre read for this node.
    Resting,
}

/// The cell of a fleet that is small.
pub(super) const ONE_CELL: Cell = Cell {
    whole: true,
    index: 0,
    count: 1,
};

impl Members {
    /// Arranges the nodes that were heard into cells. Nodes that see different
    /// fleets for a while arrange them differently, which costs balance and
    /// nothing else.
    pub fn arrange(&mut self, now: Time) {
        let heard: Vec<(SocketAddrV4, u32)> = self
            .fresh(now)
            .filter(|(_, member)| !member.status.leaving)
            .map(|(address, member)| (*address, member.status.data_centre))
            .collect();
        if heard.len() < self.options.one_cell {
            self.cell = ONE_CELL;
            self.others
                .values_mut()
                .for_each(|member| member.near = true);
            return;
        }
        let in_centre = heard
            .iter()
            .filter(|(_, centre)| *centre == self.data_centre);
        let mut all: Vec<SocketAddrV4> = in_centre.map(|(address, _)| *address).collect();
        all.push(self.own);
        all.sort_by_key(|address| (score(address), *address));
        let count = all.len().div_ceil(self.options.cell).max(1);
        let place = all.iter().position(|address| *address == self.own);
        let index = place.unwrap_or(0) % count;
        self.cell = Cell {
            whole: false,
            index,
            count,
        };
        self.others
            .values_mut()
            .for_each(|member| member.near = false);
        for (place, address) in all.iter().enumerate() {
            if let Some(member) = self.others.get_mut(address) {
                member.near = place % count == index;
            }
        }
    }

    /// The cell of this node.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Who reads the platform, as this node sees it.
    pub fn reading(&self, now: Time) -> Reading {
        if self.cell.whole {
            return Reading::Alone;
        }
        let own = score(&self.own);
        let before = self.fresh(now).filter(|(address, member)| {
            let status = &member.status;
            status.data_centre == self.data_centre && !status.leaving && score(address) < own
        });
        let (cut_off, able): (Vec<_>, Vec<_>) =
            before.partition(|(_, member)| member.status.cut_off);
        let is_candidate = cut_off.len() + able.len() < self.options.reader_candidates;
        match is_candidate && able.len() < self.options.readers {
            true => Reading::ForOthers,
            false => Reading::Resting,
        }
    }

    /// The nodes of this cell that were heard lately.
    pub fn near(&self, now: Time) -> impl Iterator<Item = (&SocketAddrV4, &Member)> + '_ {
        self.fresh(now).filter(|(_, member)| member.near)
    }
}

/// A node's place among others, the same for all who ask.
fn score(address: &SocketAddrV4) -> u64 {
    hash::of(&address.ip().octets())
}
