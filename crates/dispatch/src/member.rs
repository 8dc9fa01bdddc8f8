//! Which other nodes there are, from a few stale addresses and from what other
//! nodes say. Used for sharing only: no promise to a caller rests on it.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::message::Status;
use crate::quota::Reach;

/// Bounds of membership.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Silence after which what a node said no longer counts.
    pub silent_after: Span,
    /// Silence after which a node is forgotten.
    pub forget_after: Span,
    /// How often a silent node is asked for a sign of life.
    pub probe_every: Span,
    /// Shortest time between two statuses to one node.
    pub status_every: Span,
    /// Statuses that one node sends a second, to all others together.
    pub statuses_per_second: u64,
    /// Longest time between two statuses to one node.
    pub status_at_least_every: Span,
    /// Addresses of others in one status.
    pub told: usize,
    /// Nodes up to which a fleet is one cell.
    pub one_cell: usize,
    /// Nodes of one cell in a larger fleet, about.
    pub cell: usize,
    /// Statuses that one node sends a second beyond its cell.
    pub beyond_per_second: u64,
    /// The same while a customer presses on its quota.
    pub pressed_per_second: u64,
    /// Nodes of one cell of a larger fleet that read the platform.
    pub readers: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            silent_after: Span::from_millis(1_200),
            forget_after: Span::from_secs(40),
            probe_every: Span::from_millis(400),
            status_every: Span::from_millis(40),
            statuses_per_second: 200,
            status_at_least_every: Span::from_millis(400),
            told: 16,
            one_cell: 16,
            cell: 12,
            beyond_per_second: 60,
            pressed_per_second: 300,
            readers: 3,
        }
    }
}

/// Another node.
#[derive(Debug, Clone, Default)]
pub struct Member {
    /// When it was last heard, or none when only others spoke of it.
    pub heard: Option<Time>,
    /// When its address was first met.
    pub met: Time,
    /// When it was last sent a status.
    pub sent: Time,
    /// True while it belongs to this node's cell.
    pub near: bool,
    /// What it last said.
    pub status: Status,
}

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
    /// This node reads for its cell.
    ForOthers,
    /// Others of its cell read for this node.
    Resting,
}

/// All other nodes.
#[derive(Debug)]
pub struct Members {
    options: Options,
    own: SocketAddrV4,
    data_centre: u32,
    seeds: Vec<SocketAddrV4>,
    others: HashMap<SocketAddrV4, Member>,
    cell: Cell,
    met_any: bool,
}

const ONE_CELL: Cell = Cell {
    whole: true,
    index: 0,
    count: 1,
};

/// What a status brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Nothing: it was old or our own.
    Old,
    /// A life of a node that was not known, or was silent.
    Joined,
    /// A node that was known said something new.
    Known,
}

impl Members {
    /// Only the seeds are known.
    pub fn new(
        own: SocketAddrV4,
        data_centre: u32,
        seeds: &[SocketAddrV4],
        options: Options,
    ) -> Members {
        let mut members = Members {
            options,
            own,
            data_centre,
            seeds: Vec::new(),
            others: HashMap::new(),
            cell: ONE_CELL,
            met_any: false,
        };
        members.set_seeds(seeds);
        members
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.own)
            .collect();
    }

    /// Takes in what another node said.
    pub fn hear(&mut self, now: Time, from: SocketAddrV4, status: Status) -> News {
        if from == self.own {
            return News::Old;
        }
        for address in &status.members {
            self.meet(now, *address);
        }
        let silent_after = self.silent_after(self.cell.whole);
        let near = self.cell.whole;
        let member = self.others.entry(from).or_insert_with(|| Member {
            met: now,
            near,
            ..Member::default()
        });
        let same = member.status.incarnation == status.incarnation;
        if same && status.sequence <= member.status.sequence {
            return News::Old;
        }
        let was_heard = member
            .heard
            .is_some_and(|heard| now.since(heard) <= silent_after);
        member.heard = Some(now);
        member.status = status;
        self.met_any = true;
        if same && was_heard {
            News::Known
        } else {
            News::Joined
        }
    }

    fn meet(&mut self, now: Time, address: SocketAddrV4) {
        let near = self.cell.whole;
        if address != self.own {
            self.others.entry(address).or_insert_with(|| Member {
                met: now,
                near,
                ..Member::default()
            });
        }
    }

    /// Forgets nodes that were silent for long, and addresses that never
    /// answered.
    pub fn forget(&mut self, now: Time) {
        let forget_after = self.options.forget_after;
        self.others.retain(|_, member| {
            let last = member.heard.unwrap_or(member.met);
            now.since(last) <= forget_after
        });
    }

    /// Forgets what everybody said, as after a pause of this process.
    pub fn forget_statuses(&mut self) {
        for member in self.others.values_mut() {
            member.status.loads.clear();
            member.status.waiting.clear();
        }
    }

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
        let before = self.near(now).filter(|(address, member)| {
            let able = !member.status.cut_off && !member.status.leaving;
            able && score(address) < own
        });
        match before.count() < self.options.readers {
            true => Reading::ForOthers,
            false => Reading::Resting,
        }
    }

    /// The nodes of this cell that were heard lately.
    pub fn near(&self, now: Time) -> impl Iterator<Item = (&SocketAddrV4, &Member)> + '_ {
        self.fresh(now).filter(|(_, member)| member.near)
    }

    /// Time between two statuses to a node beyond this cell.
    fn beyond_every(&self, pressed: bool) -> Span {
        let per_second = match pressed {
            true => self.options.pressed_per_second,
            false => self.options.beyond_per_second,
        };
        let spread = Span(self.others.len() as u64 * 1_000_000 / per_second.max(1));
        spread.max(self.options.status_every)
    }

    /// Silence after which what a node said no longer counts: longer beyond
    /// the cell, where nodes are heard less often.
    fn silent_after(&self, near: bool) -> Span {
        match near {
            true => self.options.silent_after,
            false => self
                .options
                .silent_after
                .max(Span(self.beyond_every(false).0 * 3)),
        }
    }

    fn is_fresh(&self, now: Time, member: &Member) -> bool {
        let silent_after = self.silent_after(member.near);
        member
            .heard
            .is_some_and(|heard| now.since(heard) <= silent_after)
    }

    /// The nodes heard lately, with what they said.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = (&SocketAddrV4, &Member)> + '_ {
        self.others
            .iter()
            .filter(move |(_, member)| self.is_fresh(now, member))
    }

    /// How much of the fleet this node can speak for.
    pub fn reach(&self, now: Time) -> Reach {
        let counted = self.others.values().filter(|member| member.heard.is_some());
        let (mut nodes, mut silent) = (1, 0);
        for member in counted {
            let fresh = self.is_fresh(now, member);
            if !fresh && member.status.leaving {
                continue;
            }
            nodes += 1;
            silent += usize::from(!fresh);
        }
        Reach {
            nodes,
            silent,
            alone: !self.met_any,
            one_cell: self.cell.whole,
        }
    }

    /// Addresses to tell others of.
    pub fn told(&self, now: Time, turn: u64) -> Vec<SocketAddrV4> {
        let mut known: Vec<SocketAddrV4> = self.fresh(now).map(|(address, _)| *address).collect();
        known.sort();
        if known.len() > self.options.told {
            let start = (turn as usize).wrapping_mul(self.options.told) % known.len();
            known.rotate_left(start);
            known.truncate(self.options.told);
        }
        known
    }

    /// The nodes to send a status now. `urgent` where something changed that
    /// the others of the cell act on, `pressed` where all should hear soon.
    pub fn due(&mut self, now: Time, urgent: bool, pressed: bool) -> Vec<SocketAddrV4> {
        for seed in self.seeds.clone() {
            self.meet(now, seed);
        }
        let (near, beyond) = (self.interval(urgent), self.beyond_every(pressed));
        let silent: (Span, Span) = (self.silent_after(true), self.silent_after(false));
        let probe = self.options.probe_every.max(self.beyond_every(false));
        let mut due = Vec::new();
        for (address, member) in &mut self.others {
            let silent_after = if member.near { silent.0 } else { silent.1 };
            let fresh = member
                .heard
                .is_some_and(|heard| now.since(heard) <= silent_after);
            let wait = match (fresh, member.near) {
                (true, true) => near,
                (true, false) => beyond,
                (false, _) => probe,
            };
            if member.sent == Time(0) || now.since(member.sent) >= wait {
                member.sent = now;
                due.push(*address);
            }
        }
        due.sort();
        due
    }

    /// The time between two statuses to one node of this cell: so long that all
    /// of them together cost the same in a cell of any size.
    pub fn interval(&self, urgent: bool) -> Span {
        if !urgent {
            return self.options.status_at_least_every;
        }
        let per_second = self.options.statuses_per_second.max(1);
        let near = self.others.values().filter(|member| member.near).count();
        let spread = Span(near as u64 * 1_000_000 / per_second);
        spread.max(self.options.status_every)
    }

    /// The node with the newest configuration or list of endpoints, if it is
    /// ahead of the given ones.
    pub fn ahead_opt(&self, now: Time, configuration: u64, endpoints: u64) -> Option<SocketAddrV4> {
        let ahead = |status: &Status| {
            let newer = status.configuration.saturating_sub(configuration);
            let later = status.endpoints.saturating_sub(endpoints);
            (newer, later)
        };
        let candidates = self
            .fresh(now)
            .map(|(address, member)| (ahead(&member.status), *address));
        let best = candidates.max()?;
        (best.0 != (0, 0)).then_some(best.1)
    }

    /// Other nodes that were heard or spoken of.
    pub fn len(&self) -> usize {
        self.others.len()
    }

    /// True while no other node is known.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }
}

/// A node's place among others, the same for all who ask.
fn score(address: &SocketAddrV4) -> u64 {
    hash::of(&address.ip().octets())
}
