//! Membership and liveness of the other nodes, from the platform's list, which
//! may be stale, and from heartbeats. It serves efficiency only: no guarantee
//! depends on its accuracy.

use std::collections::HashMap;

use woadstage_config::hosts;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::message::Heartbeat;
use crate::pool::Peer;

/// The number of heartbeat intervals without a heartbeat after which a node is
/// no longer considered live.
const MAX_MISSED_HEARTBEATS: u64 = 5;

/// The number of nodes of a data centre that read the platform for the others.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// The known state of another node.
#[derive(Debug, Clone)]
pub struct Member {
    /// The incarnation of the last heartbeat or connection.
    pub incarnation: id::Incarnation,
    /// The last heartbeat.
    pub heartbeat: Heartbeat,
    /// When the last heartbeat arrived.
    pub last_heard: Time,
    /// Whether a connection to the node is open.
    pub connected: bool,
    /// The data centre in the last host list that named the node.
    pub data_centre: Option<id::DataCentre>,
}

/// The other nodes and the host list.
#[derive(Debug)]
pub struct Members {
    own: id::Host,
    own_data_centre: id::DataCentre,
    /// Other nodes by name.
    pub peers: HashMap<id::Host, Member>,
    heartbeat_interval: Span,
    /// The entry hosts that the list marks as live, without this node.
    pub listed: Vec<id::Host>,
    data_centres: HashMap<id::Host, id::DataCentre>,
}

impl Members {
    /// Creates a membership without other nodes.
    pub fn new(
        own: id::Host,
        own_data_centre: id::DataCentre,
        heartbeat_interval: Span,
    ) -> Members {
        Members {
            own,
            own_data_centre,
            peers: HashMap::new(),
            heartbeat_interval,
            listed: Vec::new(),
            data_centres: HashMap::new(),
        }
    }

    /// Applies a host list.
    pub fn set_list(&mut self, list: &hosts::List) {
        let entry = list
            .hosts
            .iter()
            .filter(|host| host.role == hosts::Role::Entry);
        self.listed.clear();
        self.data_centres.clear();
        for host in entry {
            let name = id::Host::new(&host.name);
            self.data_centres
                .insert(name.clone(), host.data_centre.clone());
            if let Some(member) = self.peers.get_mut(&name) {
                member.data_centre = Some(host.data_centre.clone());
            }
            if host.state == hosts::State::Live && name != self.own {
                self.listed.push(name);
            }
        }
        // Hosts are replaced every day: a node that is neither listed nor
        // connected will not return.
        let data_centres = &self.data_centres;
        self.peers
            .retain(|name, member| member.connected || data_centres.contains_key(name));
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Time, from: &Peer, heartbeat: Heartbeat) {
        let member = self.member(from);
        member.incarnation = from.incarnation;
        member.heartbeat = heartbeat;
        member.last_heard = now;
    }

    /// Records that a connection was opened.
    pub fn set_connected(&mut self, peer: &Peer) {
        let member = self.member(peer);
        member.incarnation = peer.incarnation;
        member.connected = true;
    }

    /// Records that a connection was lost.
    pub fn set_disconnected(&mut self, host: &id::Host) {
        if let Some(member) = self.peers.get_mut(host) {
            member.connected = false;
        }
    }

    fn member(&mut self, peer: &Peer) -> &mut Member {
        let centre = self.data_centres.get(&peer.host).cloned();
        self.peers
            .entry(peer.host.clone())
            .or_insert_with(|| Member {
                incarnation: peer.incarnation,
                heartbeat: Heartbeat::default(),
                last_heard: Time(0),
                connected: false,
                data_centre: centre,
            })
    }

    fn is_live(&self, now: Time, member: &Member) -> bool {
        let is_recent =
            now.since(member.last_heard).0 <= self.heartbeat_interval.0 * MAX_MISSED_HEARTBEATS;
        // A new node without a configuration and a host list cannot manage a pool.
        let is_configured = member.heartbeat.revision > 0 && member.heartbeat.hosts_index > 0;
        member.connected && is_recent && is_configured && !member.heartbeat.leaving
    }

    /// Whether messages to the host are likely to arrive.
    pub fn is_reachable(&self, now: Time, host: &id::Host) -> bool {
        let is_recent = |m: &Member| {
            now.since(m.last_heard).0 <= self.heartbeat_interval.0 * MAX_MISSED_HEARTBEATS
        };
        self.peers
            .get(host)
            .is_some_and(|member| member.connected && is_recent(member))
    }

    /// Whether the node's own reads of the platform confirm its host list.
    pub fn confirms_hosts(&self, host: &id::Host) -> bool {
        self.peers
            .get(host)
            .is_some_and(|member| member.heartbeat.hosts_confirmed)
    }

    /// Whether a reachable node's own reads confirm a host list with at least
    /// the given index.
    pub fn any_confirms_hosts(&self, now: Time, index: u64) -> bool {
        self.peers.iter().any(|(host, member)| {
            let heartbeat = &member.heartbeat;
            heartbeat.hosts_confirmed
                && heartbeat.hosts_index >= index
                && self.is_reachable(now, host)
        })
    }

    /// Returns a node with its last known incarnation.
    pub fn peer_opt(&self, host: &id::Host) -> Option<Peer> {
        let incarnation = self.peers.get(host)?.incarnation;
        Some(Peer {
            host: host.clone(),
            incarnation,
        })
    }

    /// Returns the sorted names of the live nodes. This node is included unless
    /// it is `leaving` and others are live.
    pub fn live(&self, now: Time, leaving: bool) -> Vec<id::Host> {
        let peers = self
            .peers
            .iter()
            .filter(|(_, member)| self.is_live(now, member));
        let mut names: Vec<id::Host> = peers.map(|(name, _)| name.clone()).collect();
        if !leaving || names.is_empty() {
            names.push(self.own.clone());
        }
        names.sort();
        names
    }

    /// Returns a connected node that may run the tickets of an incarnation.
    pub fn serving_opt(&self, incarnation: id::Incarnation) -> Option<&id::Host> {
        let serves = |member: &Member| {
            member.incarnation == incarnation || member.heartbeat.serves.contains(&incarnation)
        };
        let found = self
            .peers
            .iter()
            .find(|(_, member)| member.connected && serves(member));
        found.map(|(name, _)| name)
    }

    /// Whether this node reads the platform itself: it has one of the highest
    /// hashes of the live nodes of its data centre. A node that sees no other
    /// live node there always does.
    pub fn is_watcher(&self, now: Time) -> bool {
        let nearby = self.peers.iter().filter(|(_, member)| {
            self.is_live(now, member) && member.data_centre.as_ref() == Some(&self.own_data_centre)
        });
        let score = |name: &id::Host| hash::chain(WATCH_SEED, name.as_str().as_bytes());
        let own = score(&self.own);
        nearby.filter(|(name, _)| score(name) > own).count() < WATCHERS_PER_DATA_CENTRE
    }
}

const WATCH_SEED: u64 = 0x7761_7463_6865_7273;
