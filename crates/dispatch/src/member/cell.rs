//! Cells: parts of a large fleet that share their part of the endpoints.

use std::collections::BTreeMap;
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
            self.other_cells.clear();
            self.others
                .values_mut()
                .for_each(|member| member.near = true);
            return;
        }
        let mut centres: BTreeMap<u32, Vec<SocketAddrV4>> = BTreeMap::new();
        for (address, centre) in heard {
            centres.entry(centre).or_default().push(address);
        }
        let own_centre = centres.entry(self.data_centre).or_default();
        own_centre.push(self.own);
        let mut cells: Vec<Vec<SocketAddrV4>> = Vec::new();
        for nodes in centres.into_values() {
            let divided = divide(nodes, self.options.cell);
            if let Some(index) = divided.iter().position(|cell| cell.contains(&self.own)) {
                self.cell = Cell {
                    whole: false,
                    index,
                    count: divided.len(),
                };
            }
            cells.extend(divided);
        }
        for member in self.others.values_mut() {
            member.near = false;
        }
        let (own, others): (Vec<_>, Vec<_>) =
            cells.into_iter().partition(|cell| cell.contains(&self.own));
        for address in own.iter().flatten() {
            if let Some(member) = self.others.get_mut(address) {
                member.near = true;
            }
        }
        self.other_cells = others;
    }

    /// Cells of the whole fleet.
    pub fn cells(&self) -> usize {
        self.other_cells.len() + 1
    }

    /// Cells of each data centre other than this node's own, by its number.
    pub fn cells_by_data_centre(&self) -> BTreeMap<u32, usize> {
        let mut cells = BTreeMap::new();
        for cell in &self.other_cells {
            let mut centres = cell.iter().filter_map(|node| self.data_centre_opt(*node));
            if let Some(centre) = centres.next() {
                *cells.entry(centre).or_default() += 1;
            }
        }
        cells
    }

    /// The number of another node's data centre, where it was ever heard.
    pub fn data_centre_opt(&self, address: SocketAddrV4) -> Option<u32> {
        let member = self.others.get(&address);
        let heard = member.filter(|member| member.heard.is_some());
        heard.map(|member| member.status.data_centre)
    }

    /// The cell of this node.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Who reads the platform, as this node sees it. Only what nodes read that know
    /// eras serves this one. All others count them in as well, so that wherever builds
    /// run side by side some more nodes read, and none too few.
    pub fn reading(&self, now: Time) -> Reading {
        if self.cell.whole {
            return Reading::Alone;
        }
        let own = score(&self.own);
        let before = self.fresh(now).filter(|(address, member)| {
            let status = &member.status;
            status.data_centre == self.data_centre
                && status.protocol.knows_eras()
                && !status.leaving
                && score(address) < own
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

/// The nodes of one data centre in cells of about `most`.
fn divide(mut nodes: Vec<SocketAddrV4>, most: usize) -> Vec<Vec<SocketAddrV4>> {
    nodes.sort_by_key(|address| (score(address), *address));
    let count = nodes.len().div_ceil(most).max(1);
    let mut cells = vec![Vec::new(); count];
    for (place, address) in nodes.into_iter().enumerate() {
        cells[place % count].push(address);
    }
    cells
}

/// A node's place among others, the same for all who ask.
pub(super) fn score(address: &SocketAddrV4) -> u64 {
    hash::of(&address.ip().octets())
}
