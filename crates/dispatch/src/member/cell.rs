//! Division of a large fleet into cells, and the role of each node in reading the platform.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::Member;
use super::Members;

/// A group of nodes that together use a share of the endpoints. A small fleet is a single cell;
/// in a larger one each data centre has several, so that the messages that a node sends and
/// receives do not grow with the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cell {
    /// Whether this cell is the whole fleet.
    pub covers_fleet: bool,
    /// The index of this cell in its data centre.
    pub index: usize,
    /// The number of cells in the data centre.
    pub count: usize,
}

/// The role of a node in reading the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the platform for itself, as every other node does.
    Standalone,
    /// Reads the platform on behalf of other nodes.
    Reader,
    /// Leaves reading to other nodes of its data centre.
    Follower,
}

/// The cell of a small fleet.
pub(super) const SINGLE_CELL: Cell = Cell {
    covers_fleet: true,
    index: 0,
    count: 1,
};

impl Members {
    /// Assigns the live nodes to cells. Nodes that see different sets of live nodes for a while
    /// assign them differently, which affects only the balance of load.
    pub fn assign_cells(&mut self, now: Time) {
        let live: Vec<(SocketAddrV4, u32)> = self
            .live(now)
            .filter(|(_, member)| !member.status.leaving)
            .map(|(address, member)| (*address, member.status.data_centre))
            .collect();
        if live.len() < self.options.single_cell_max {
            self.cell = SINGLE_CELL;
            self.other_cells.clear();
            self.peers
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
        for member in self.peers.values_mut() {
            member.in_cell = false;
        }
        let (own, other_cells): (Vec<_>, Vec<_>) = cells
            .into_iter()
            .partition(|cell| cell.contains(&self.own_address));
        for address in own.iter().flatten() {
            if let Some(member) = self.peers.get_mut(address) {
                member.in_cell = true;
            }
        }
        self.other_cells = other_cells;
    }

    /// Returns the number of cells in the fleet.
    pub fn cell_count(&self) -> usize {
        self.other_cells.len() + 1
    }

    /// Returns the number of cells per data centre, by the data centre's number, without this
    /// node's own cell.
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

    /// Returns the number of another node's data centre, if a status of the node was received.
    pub fn data_centre_opt(&self, address: SocketAddrV4) -> Option<u32> {
        let member = self.peers.get(&address);
        let heard = member.filter(|member| member.last_heard.is_some());
        heard.map(|member| member.status.data_centre)
    }

    /// Returns the cell of this node.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Returns this node's role in reading the platform. Only nodes whose lists carry
    /// versions of software count as readers, because this node cannot use documents read by older
    /// builds. Older builds count
    /// every node, so a fleet of mixed builds has more readers than needed rather than too few.
    pub fn role(&self, now: Time) -> Role {
        if self.cell.covers_fleet {
            return Role::Standalone;
        }
        let own_score = score(&self.own_address);
        let preceding = self.live(now).filter(|(address, member)| {
            let status = &member.status;
            status.data_centre == self.data_centre
                && status.protocol.supports_software()
                && !status.leaving
                && score(address) < own_score
        });
        let (unable, able): (Vec<_>, Vec<_>) =
            preceding.partition(|(_, member)| member.status.platform_unreachable);
        let is_candidate = unable.len() + able.len() < self.options.reader_candidates;
        match is_candidate && able.len() < self.options.platform_readers {
            true => Role::Reader,
            false => Role::Follower,
        }
    }

    /// Returns the live nodes of this node's cell.
    pub fn cell_members(&self, now: Time) -> impl Iterator<Item = (&SocketAddrV4, &Member)> + '_ {
        self.live(now).filter(|(_, member)| member.in_cell)
    }
}

/// Divides the nodes of one data centre into cells of at most `target_size` nodes each.
fn partition_nodes(mut nodes: Vec<SocketAddrV4>, target_size: usize) -> Vec<Vec<SocketAddrV4>> {
    nodes.sort_by_key(|address| (score(address), *address));
    let count = nodes.len().div_ceil(target_size).max(1);
    let mut cells = vec![Vec::new(); count];
    for (position, address) in nodes.into_iter().enumerate() {
        cells[position % count].push(address);
    }
    cells
}

/// Returns a hash by which every node orders the nodes in the same way.
pub(super) fn score(address: &SocketAddrV4) -> u64 {
    hash::of(&address.ip().octets())
}
