//! Membership of the fleet, learnt from configured seed addresses, which may be out of date,
//! and from the addresses that other nodes advertise. It is used for sharing state only: no
//! guarantee to a caller depends on it.
//!
//! * `cell.rs`: division of a large fleet into cells, and the nodes that read the platform.
//! * `gossip.rs`: which nodes are sent a status, how often, and which members it advertises.
//! * `owner.rs`: which node owns a customer's quota or the slots of endpoints.
//! * `startup.rs`: which nodes read the platform while nodes start.
//! * `catch_up.rs`: which node to fetch newer documents from.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::map::HashMap;
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

/// Timeouts, rates and sizes of membership.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Silence after which the last status of a node in the same cell is ignored.
    pub silent_after: Span,
    /// Silence after which a node is removed.
    pub forget_after: Span,
    /// The interval at which a silent node is probed with a status.
    pub probe_interval: Span,
    /// The minimum time between two statuses to one node.
    pub min_status_interval: Span,
    /// The rate limit of urgent statuses that one node sends to the other nodes of its cell
    /// together.
    pub statuses_per_second: u64,
    /// The maximum time between two statuses to one node of the cell.
    pub max_status_interval: Span,
    /// The maximum number of addresses in a status to a newcomer, which may know few other
    /// nodes.
    pub members_to_newcomer: usize,
    /// The maximum number of addresses in a status to an established node. It knows the fleet
    /// already, and 16 addresses would take 96 of the 118 bytes of an idle node's status (test
    /// `an_established_node_is_told_of_few_others`).
    pub members_to_established: usize,
    /// How long a node counts as a newcomer after it joined.
    pub newcomer_for: Span,
    /// The maximum number of nodes in a fleet that forms a single cell.
    pub single_cell_max: usize,
    /// The approximate number of nodes per cell in a larger fleet.
    pub cell_size: usize,
    /// The rate limit of statuses that one node sends beyond its cell.
    pub remote_statuses_per_second: u64,
    /// The rate limit of statuses beyond the cell while a customer's usage is high compared
    /// with its quota.
    pub high_usage_statuses_per_second: u64,
    /// The number of nodes per data centre that read the platform for a larger fleet.
    pub platform_readers: usize,
    /// The number of nodes per data centre that are eligible as readers, of which the first
    /// that can reach the platform read it. This bounds the nodes that keep trying while the
    /// platform is down; without it, every node would take over in turn.
    pub reader_candidates: usize,
    /// The number of nodes beyond the cell that are sent a status at once when this node gets
    /// new documents. Without it, documents that two of 250 nodes have read take 2.1 s to reach
    /// all nodes instead of less than one (`tests/dispatch/members.rs`, virtual time).
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

/// Another node of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Member {
    /// When a status was last received from it; none while it is known only from other nodes.
    pub last_heard: Option<Time>,
    /// When its address was first learnt.
    pub discovered: Time,
    /// When it was last sent a status.
    pub last_sent: Time,
    /// Whether it belongs to this node's cell.
    pub in_cell: bool,
    /// When the first status of its current incarnation was received, or the first one after its
    /// last silence.
    pub joined: Option<Time>,
    /// When the first status after the last silence of the same incarnation was received.
    pub last_returned: Option<Time>,
    /// When it last failed to answer a request.
    pub last_unanswered: Option<Time>,
    /// When it was last sent findings, with the digests of the findings that this node and the
    /// other held then.
    findings_sent: Option<(Time, (u32, u32))>,
    /// Its latest status.
    pub status: Status,
}

/// The other nodes of the fleet, as this node knows them.
#[derive(Debug)]
pub struct Members {
    options: Options,
    own_address: SocketAddrV4,
    data_centre: u32,
    seeds: Vec<SocketAddrV4>,
    peers: HashMap<SocketAddrV4, Member>,
    cell: Cell,
    /// The nodes of every other cell of the fleet.
    other_cells: Vec<Vec<SocketAddrV4>>,
    /// When the first status of any other node was received.
    first_heard: Option<Time>,
    /// Whether this node is stopping.
    pub leaving: bool,
}

/// The effect of a received status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// Ignored: it is out of date, or this node sent it itself.
    Stale,
    /// Received from a new incarnation, or from one that had been silent.
    Joined,
    /// Received from an incarnation that is known and live.
    Refreshed,
}

impl Members {
    /// Creates a membership that knows only the seeds.
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
            peers: HashMap::default(),
            cell: cell::SINGLE_CELL,
            other_cells: Vec::new(),
            first_heard: None,
            leaving: false,
        };
        members.set_seeds(seeds);
        members
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.own_address)
            .collect();
    }

    /// Records a status from another node, and the addresses that it advertises.
    pub fn record_status(&mut self, now: Time, from: SocketAddrV4, status: Status) -> Reception {
        if from == self.own_address {
            return Reception::Stale;
        }
        for address in &status.members {
            self.discover(now, *address);
        }
        let silent_after = self.silent_after(self.cell.covers_fleet);
        let in_cell = self.cell.covers_fleet;
        let member = self.peers.entry(from).or_insert_with(|| Member {
            discovered: now,
            in_cell,
            ..Member::default()
        });
        let same_incarnation = member.status.incarnation == status.incarnation;
        if same_incarnation && status.sequence <= member.status.sequence {
            return Reception::Stale;
        }
        let was_heard = member
            .last_heard
            .is_some_and(|last_heard| now.since(last_heard) <= silent_after);
        if same_incarnation && !was_heard {
            member.last_returned = Some(now);
        }
        let known = same_incarnation && was_heard;
        if !known {
            member.joined = Some(now);
            // It may know few other nodes, so that it is answered at once.
            if member.in_cell {
                member.last_sent = Time(0);
            }
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
            self.peers.entry(address).or_insert_with(|| Member {
                discovered: now,
                in_cell,
                ..Member::default()
            });
        }
    }

    /// Removes nodes that have been silent for too long, and addresses that never answered.
    pub fn remove_expired(&mut self, now: Time) {
        let forget_after = self.options.forget_after;
        self.peers.retain(|_, member| {
            let last = member.last_heard.unwrap_or(member.discovered);
            now.since(last) <= forget_after
        });
    }

    /// Clears the loads and queues that other nodes reported, which are out of date after this
    /// process was suspended.
    pub fn clear_loads(&mut self) {
        for member in self.peers.values_mut() {
            member.status.loads.clear();
            member.status.waiting.clear();
        }
    }

    /// Returns the silence after which a status is ignored. It is longer beyond the cell, where
    /// statuses are sent less often.
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

    /// Returns the nodes that sent a status recently, with their latest statuses.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&SocketAddrV4, &Member)> + '_ {
        self.peers
            .iter()
            .filter(move |(_, member)| self.is_live(now, member))
    }

    /// Returns the part of the fleet from which this node receives statuses. A node that returns
    /// after a silence counts as silent for a while: after a partition, each node would
    /// otherwise consider itself most of the fleet until all have exchanged statuses again.
    pub fn reach(&self, now: Time) -> Reach {
        let counted = self
            .peers
            .values()
            .filter(|member| member.last_heard.is_some());
        let (mut nodes, mut silent) = (1, 0);
        for member in counted {
            let live = self.is_live(now, member);
            if !live && member.status.leaving {
                continue;
            }
            let has_just_returned = member
                .last_returned
                .is_some_and(|returned| now.since(returned) < self.options.silent_after);
            nodes += 1;
            silent += usize::from(!live || has_just_returned);
        }
        Reach {
            nodes,
            silent,
            isolated: self.first_heard.is_none(),
            one_cell: nodes <= self.options.single_cell_max,
        }
    }

    /// Returns the newest configuration version that a live node reports, if any node is live.
    pub fn newest_configuration_version_opt(&self, now: Time) -> Option<u64> {
        let versions = self
            .live(now)
            .map(|(_, member)| member.status.configuration);
        versions.max()
    }

    /// Returns the configuration version that each live node reports, newest first.
    pub fn configuration_versions(&self, now: Time) -> Vec<(SocketAddrV4, u64)> {
        let live = self.live(now);
        let mut versions: Vec<_> = live
            .map(|(address, member)| (*address, member.status.configuration))
            .collect();
        versions.sort_by_key(|(address, version)| (Reverse(*version), *address));
        versions
    }

    /// Whether neither a seed nor another node is known.
    pub fn has_no_peers(&self) -> bool {
        self.seeds.is_empty() && self.peers.is_empty()
    }

    /// Records that a node is sent findings. Returns false, and records nothing, if it was sent
    /// findings less than `every` ago with the same digests on both sides, or if the node is
    /// not known.
    pub fn record_findings_sent(
        &mut self,
        now: Time,
        address: SocketAddrV4,
        digests: (u32, u32),
        every: Span,
    ) -> bool {
        let Some(member) = self.peers.get_mut(&address) else {
            return false;
        };
        let recent = |(sent, last): (Time, (u32, u32))| last == digests && now.since(sent) < every;
        if member.findings_sent.is_some_and(recent) {
            return false;
        }
        member.findings_sent = Some((now, digests));
        true
    }

    /// Whether a node belongs to this node's cell.
    pub fn is_in_cell(&self, address: SocketAddrV4) -> bool {
        self.peers
            .get(&address)
            .is_some_and(|member| member.in_cell)
    }

    /// Returns the incarnation of another node, if it is live.
    pub fn incarnation_opt(&self, now: Time, address: SocketAddrV4) -> Option<u64> {
        let member = self.peers.get(&address);
        let live = member.filter(|member| self.is_live(now, member));
        live.map(|member| member.status.incarnation)
    }

    /// Returns how long this node has heard another node's current incarnation.
    pub fn heard_for(&self, now: Time, address: SocketAddrV4) -> Span {
        let joined = self.peers.get(&address).and_then(|member| member.joined);
        joined.map_or(Span::ZERO, |joined| now.since(joined))
    }

    /// Returns the number of requests that wait for a service on another node, by its latest
    /// status.
    pub fn waiting_at(&self, address: SocketAddrV4, service: u32) -> usize {
        let member = self.peers.get(&address).into_iter();
        let waiting = member.flat_map(|member| &member.status.waiting);
        let of_service = waiting.filter(|waiting| waiting.service == service);
        of_service.map(|waiting| usize::from(waiting.count)).sum()
    }

    /// Returns the number of other nodes that are known, live or not.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}
