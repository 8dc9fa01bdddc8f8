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
    pub covers_fleet: bool,
    /// Which cell of the data centre this is.
    pub index: usize,
    /// Cells of the data centre.
    pub count: usize,
}

/// Who reads the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// This node reads for itself, as do all others.
    Standalone,
    /// This node reads for others.
    Reader,
    /// Others of its data centre read for this node.
    Follower,
}

/// The cell of a fleet that is small.
pub(super) const SINGLE_CELL: Cell = Cell {
    covers_fleet: true,
    index: 0,
    count: 1,
};

impl Members {
    /// Arranges the nodes that were heard into cells. Nodes that see different
    /// fleets for a while arrange them differently, which costs balance and
    /// nothing else.
    pub fn assign_cells(&mut self, now: Time) {
        let live: Vec<(SocketAddrV4, u32)> = self
            .live(now)
            .filter(|(_, member)| !member.status.leaving)
            .map(|(address, member)| (*address, member.status.data_centre))
            .collect();
        if live.len() < self.options.single_cell_max {
            self.cell = SINGLE_CELL;
            self.other_cells.clear();
            self.others
                .values_mut()
                .for_each(|member| member.in_cell = true);
            return;
        }
        let mut centres: BTreeMap<u32, Vec<SocketAddrV4>> = BTreeMap::new();
        for (address, centre) in live {
            centres.entry(centre).or_default().push(address);
        }
        let own_centre = centres.entry(self.data_centre).or_default();
        own_centre.push(self.own_address);
        let mut cells: Vec<Vec<SocketAddrV4>> = Vec::new();
        for nodes in centres.into_values() {
            let divided = partition_nodes(nodes, self.options.cell_size);
            if let Some(index) = divided
                .iter()
                .position(|cell| cell.contains(&self.own_address))
            {
                self.cell = Cell {
                    covers_fleet: false,
                    index,
                    count: divided.len(),
                };
            }
            cells.extend(divided);
        }
        for member in self.others.values_mut() {
            member.in_cell = false;
        }
        let (own, others): (Vec<_>, Vec<_>) = cells
            .into_iter()
            .partition(|cell| cell.contains(&self.own_address));
        for address in own.iter().flatten() {
            if let Some(member) = self.others.get_mut(address) {
                member.in_cell = true;
            }
        }
        self.other_cells = others;
    }

    /// Cells of the whole fleet.
    pub fn cell_count(&self) -> usize {
        self.other_cells.len() + 1
    }

    /// Cells of each data centre other than this node's own, by its number.
    pub fn other_cell_counts(&self) -> BTreeMap<u32, usize> {
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
        let heard = member.filter(|member| member.last_heard.is_some());
        heard.map(|member| member.status.data_centre)
    }

    /// The cell of this node.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Who reads the platform, as this node sees it. Only what nodes read that know
    /// eras serves this one. All others count them in as well, so that wherever builds
    /// run side by side some more nodes read, and none too few.
    pub fn role(&self, now: Time) -> Role {
        if self.cell.covers_fleet {
            return Role::Standalone;
        }
        let own = score(&self.own_address);
        let before = self.live(now).filter(|(address, member)| {
            let status = &member.status;
            status.data_centre == self.data_centre
                && status.protocol.supports_eras()
                && !status.leaving
                && score(address) < own
        });
        let (unable, able): (Vec<_>, Vec<_>) =
            before.partition(|(_, member)| member.status.platform_unreachable);
        let is_candidate = unable.len() + able.len() < self.options.reader_candidates;
        match is_candidate && able.len() < self.options.platform_readers {
            true => Role::Reader,
            false => Role::Follower,
        }
    }

    /// The nodes of this cell that were heard lately.
    pub fn cell_members(&self, now: Time) -> impl Iterator<Item = (&SocketAddrV4, &Member)> + '_ {
        self.live(now).filter(|(_, member)| member.in_cell)
    }
}

/// The nodes of one data centre in cells of about `most`.
fn partition_nodes(mut nodes: Vec<SocketAddrV4>, target_size: usize) -> Vec<Vec<SocketAddrV4>> {
    nodes.sort_by_key(|address| (score(address), *address));
    let count = nodes.len().div_ceil(target_size).max(1);
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
