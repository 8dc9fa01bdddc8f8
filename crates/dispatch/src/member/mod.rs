//! Which other nodes there are, from a few stale addresses and from what other
//! nodes say. Used for sharing only: no promise to a caller rests on it.
//!
//! * `cell.rs`: parts of a large fleet, and who reads the platform for them.
//! * `gossip.rs`: to whom a node speaks, and how often.
//! * `owner.rs`: which node owns a customer's quota, and slots of endpoints.
//! * `startup.rs`: who reads the platform while nodes start.
//! * `catch_up.rs`: which node to take newer documents from.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::message::Status;
use crate::quota::Reach;

mod catch_up;
mod cell;
mod gossip;
mod owner;
mod startup;

pub use cell::Cell;
pub use cell::Role;
pub use gossip::Trigger;
pub use owner::Owner;
pub use owner::Scope;

/// Bounds of membership.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Silence after which what a node said no longer counts.
    pub silent_after: Span,
    /// Silence after which a node is forgotten.
    pub forget_after: Span,
    /// How often a silent node is asked for a sign of life.
    pub probe_interval: Span,
    /// Shortest time between two statuses to one node.
    pub min_status_interval: Span,
    /// Statuses that one node sends a second, to all others together.
    pub statuses_per_second: u64,
    /// Longest time between two statuses to one node.
    pub max_status_interval: Span,
    /// Addresses of others in one status to a node that may know few.
    pub members_to_newcomer: usize,
    /// The same to a node that was heard for long: it knows them, and 16 take 96 of the 118
    /// bytes that a status of a node at rest has (test
    /// `a_node_that_knows_the_fleet_is_told_of_few_others`).
    pub members_to_established: usize,
    /// How long a node that was first heard may know few others.
    pub newcomer_for: Span,
    /// Nodes up to which a fleet is one cell.
    pub single_cell_max: usize,
    /// Nodes of one cell in a larger fleet, about.
    pub cell_size: usize,
    /// Statuses that one node sends a second beyond its cell.
    pub remote_statuses_per_second: u64,
    /// The same while a customer presses on its quota.
    pub high_usage_statuses_per_second: u64,
    /// Nodes of one data centre of a larger fleet that read the platform.
    pub platform_readers: usize,
    /// Nodes of one data centre that take part in reading at all: the first of
    /// them that can read do. While the platform is down no more than these try,
    /// where otherwise all would take over from each other.
    pub reader_candidates: usize,
    /// Nodes beyond its cell that a node tells at once of documents that are
    /// new to it. What two of 250 nodes read reaches all within a second, and
    /// without this after 2.1 s (`tests/dispatch/members.rs`, virtual time).
    pub fan_out: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            silent_after: Span::from_millis(1_200),
            forget_after: Span::from_secs(40),
            probe_interval: Span::from_millis(400),
            min_status_interval: Span::from_millis(40),
            statuses_per_second: 200,
            max_status_interval: Span::from_millis(400),
            members_to_newcomer: 16,
            members_to_established: 2,
            newcomer_for: Span::from_secs(5),
            single_cell_max: 16,
            cell_size: 24,
            remote_statuses_per_second: 120,
            high_usage_statuses_per_second: 300,
            platform_readers: 2,
            reader_candidates: 8,
            fan_out: 3,
        }
    }
}

/// Another node.
#[derive(Debug, Clone, Default)]
pub struct Member {
    /// When it was last heard, or none when only others spoke of it.
    pub last_heard: Option<Time>,
    /// When its address was first met.
    pub discovered: Time,
    /// When it was last sent a status.
    pub last_sent: Time,
    /// True while it belongs to this node's cell.
    pub in_cell: bool,
    /// When it was first heard in its life, or again after a silence.
    pub joined: Option<Time>,
    /// When it was heard again in the same life after a silence.
    pub last_returned: Option<Time>,
    /// When it last left a question unanswered.
    pub last_unanswered: Option<Time>,
    /// When it was last sent findings, with what named all that this node and it knew.
    findings_sent: Option<(Time, (u32, u32))>,
    /// What it last said.
    pub status: Status,
}

/// All other nodes.
#[derive(Debug)]
pub struct Members {
    options: Options,
    own_address: SocketAddrV4,
    data_centre: u32,
    seeds: Vec<SocketAddrV4>,
    others: HashMap<SocketAddrV4, Member>,
    cell: Cell,
    /// The nodes of each other cell of the fleet.
    other_cells: Vec<Vec<SocketAddrV4>>,
    /// When another node was first heard.
    first_heard: Option<Time>,
    /// True once this node is stopping.
    pub leaving: bool,
}

/// What a status brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// Nothing: it was old or our own.
    Stale,
    /// A life of a node that was not known, or was silent.
    Joined,
    /// A node that was known said something new.
    Refreshed,
}

impl Members {
    /// Only the seeds are known.
    pub fn new(
        own_address: SocketAddrV4,
        data_centre: u32,
        seeds: &[SocketAddrV4],
        options: Options,
    ) -> Members {
        let mut members = Members {
            options,
            own_address,
            data_centre,
            seeds: Vec::new(),
            others: HashMap::new(),
            cell: cell::SINGLE_CELL,
            other_cells: Vec::new(),
            first_heard: None,
            leaving: false,
        };
        members.set_seeds(seeds);
        members
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.own_address)
            .collect();
    }

    /// Takes in what another node said.
    pub fn record_status(&mut self, now: Time, from: SocketAddrV4, status: Status) -> Reception {
        if from == self.own_address {
            return Reception::Stale;
        }
        for address in &status.members {
            self.discover(now, *address);
        }
        let silent_after = self.silent_after(self.cell.covers_fleet);
        let in_cell = self.cell.covers_fleet;
        let member = self.others.entry(from).or_insert_with(|| Member {
            discovered: now,
            in_cell,
            ..Member::default()
        });
        let same = member.status.incarnation == status.incarnation;
        if same && status.sequence <= member.status.sequence {
            return Reception::Stale;
        }
        let was_heard = member
            .last_heard
            .is_some_and(|last_heard| now.since(last_heard) <= silent_after);
        if same && !was_heard {
            member.last_returned = Some(now);
        }
        let known = same && was_heard;
        if !known {
            member.joined = Some(now);
        }
        member.last_heard = Some(now);
        member.status = status;
        self.first_heard.get_or_insert(now);
        if known {
            Reception::Refreshed
        } else {
            Reception::Joined
        }
    }

    fn discover(&mut self, now: Time, address: SocketAddrV4) {
        let in_cell = self.cell.covers_fleet;
        if address != self.own_address {
            self.others.entry(address).or_insert_with(|| Member {
                discovered: now,
                in_cell,
                ..Member::default()
            });
        }
    }

    /// Forgets nodes that were silent for long, and addresses that never
    /// answered.
    pub fn remove_expired(&mut self, now: Time) {
        let forget_after = self.options.forget_after;
        self.others.retain(|_, member| {
            let last = member.last_heard.unwrap_or(member.discovered);
            now.since(last) <= forget_after
        });
    }

    /// Forgets what everybody said, as after a pause of this process.
    pub fn clear_loads(&mut self) {
        for member in self.others.values_mut() {
            member.status.loads.clear();
            member.status.waiting.clear();
        }
    }

    /// Silence after which what a node said no longer counts: longer beyond
    /// the cell, where nodes are heard less often.
    fn silent_after(&self, in_cell: bool) -> Span {
        match in_cell {
            true => self.options.silent_after,
            false => self
                .options
                .silent_after
                .max(Span(self.remote_interval(false).0 * 3)),
        }
    }

    fn is_live(&self, now: Time, member: &Member) -> bool {
        let silent_after = self.silent_after(member.in_cell);
        member
            .last_heard
            .is_some_and(|last_heard| now.since(last_heard) <= silent_after)
    }

    /// The nodes heard lately, with what they said.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&SocketAddrV4, &Member)> + '_ {
        self.others
            .iter()
            .filter(move |(_, member)| self.is_live(now, member))
    }

    /// How much of the fleet this node can speak for. A node that was cut off
    /// and returns counts as silent for a while: until all have heard each
    /// other again, each of them would take itself for most of the fleet.
    pub fn reach(&self, now: Time) -> Reach {
        let counted = self
            .others
            .values()
            .filter(|member| member.last_heard.is_some());
        let (mut nodes, mut silent) = (1, 0);
        for member in counted {
            let live = self.is_live(now, member);
            if !live && member.status.leaving {
                continue;
            }
            let returns = member
                .last_returned
                .is_some_and(|at| now.since(at) < self.options.silent_after);
            nodes += 1;
            silent += usize::from(!live || returns);
        }
        Reach {
            nodes,
            silent,
            alone: self.first_heard.is_none(),
            one_cell: nodes <= self.options.single_cell_max,
        }
    }

    /// The newest configuration that a node says it has; none where none was heard.
    pub fn newest_configuration_version_opt(&self, now: Time) -> Option<u64> {
        let said = self
            .live(now)
            .map(|(_, member)| member.status.configuration);
        said.max()
    }

    /// The versions of the configuration that the nodes heard lately say they have, the
    /// newest first.
    pub fn configuration_versions(&self, now: Time) -> Vec<(SocketAddrV4, u64)> {
        let said = self.live(now);
        let mut said: Vec<_> = said
            .map(|(address, member)| (*address, member.status.configuration))
            .collect();
        said.sort_by_key(|(address, version)| (Reverse(*version), *address));
        said
    }

    /// True while no other node is known that could be asked.
    pub fn has_no_peers(&self) -> bool {
        self.seeds.is_empty() && self.others.is_empty()
    }

    /// Notes that a node is sent findings; false where it was sent them so lately with
    /// the same known on both sides.
    pub fn record_findings_sent(
        &mut self,
        now: Time,
        address: SocketAddrV4,
        known: (u32, u32),
        every: Span,
    ) -> bool {
        let Some(member) = self.others.get_mut(&address) else {
            return false;
        };
        let lately = |(at, before): (Time, (u32, u32))| before == known && now.since(at) < every;
        if member.findings_sent.is_some_and(lately) {
            return false;
        }
        member.findings_sent = Some((now, known));
        true
    }

    /// True for a node of this one's cell.
    pub fn is_in_cell(&self, address: SocketAddrV4) -> bool {
        self.others
            .get(&address)
            .is_some_and(|member| member.in_cell)
    }

    /// The life of another node, where it was heard lately.
    pub fn incarnation_opt(&self, now: Time, address: SocketAddrV4) -> Option<u64> {
        let member = self.others.get(&address);
        let live = member.filter(|member| self.is_live(now, member));
        live.map(|member| member.status.incarnation)
    }

    /// Requests that wait for a service at another node, as it last said.
    pub fn waiting_at(&self, address: SocketAddrV4, service: u32) -> usize {
        let said = self.others.get(&address).into_iter();
        let waiting = said.flat_map(|member| &member.status.waiting);
        let of_service = waiting.filter(|waiting| waiting.service == service);
        of_service.map(|waiting| usize::from(waiting.count)).sum()
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
