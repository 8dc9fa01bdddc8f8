//! Ownership of a customer's quota and of the slots of endpoints, by rendezvous hashing: when a
//! node leaves, only what it owned gets new owners.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Member;
use super::Members;
use crate::binding::Keeper;
use crate::edition::Edition;
use crate::map::HashSet;
use crate::protocol::Protocol;

/// How long a node that failed to answer is skipped as an owner.
const UNANSWERED_BACKOFF: Span = Span::from_millis(1_000);

/// The number of nodes, in order of preference, that are considered as owners. If every node
/// were considered, a partitioned node would delay each request by one timeout per node.
const MAX_OWNERS_TRIED: usize = 2;

/// All slots of a service, in percent.
const ALL_PERCENT: u8 = 100;

/// The owner of a resource, as seen by this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Local,
    /// Another node.
    Remote(SocketAddrV4),
    /// None of the preferred nodes answers.
    Unreachable,
}

/// The set of nodes among which an owner is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All nodes.
    Fleet,
    /// The nodes of this node's cell.
    Cell,
    /// All nodes whose build knows what this protocol added.
    Knowing(Protocol),
}

impl Members {
    /// Returns the owner of a key among this node and the live nodes in scope.
    pub fn owner(&self, now: Time, scope: Scope, key: u64) -> Owner {
        let mut owners = Vec::new();
        for (address, member) in self.live(now) {
            if is_eligible(member) && is_in(scope, member) {
                owners.push((score(key, address), *address, member.last_unanswered));
            }
        }
        // Other nodes select another owner once a status reports that this node is stopping.
        let hands_over = matches!(scope, Scope::Knowing(_)) && self.leaving;
        if !hands_over || owners.is_empty() {
            owners.push((score(key, &self.own_address), self.own_address, None));
        }
        let count = MAX_OWNERS_TRIED.min(owners.len());
        if owners.len() > count {
            owners.select_nth_unstable_by(count, |left, right| right.cmp(left));
            owners.truncate(count);
        }
        owners.sort_unstable_by(|left, right| right.cmp(left));
        let owner = owners
            .iter()
            .find(|(_, _, last_unanswered)| !is_backing_off(now, *last_unanswered));
        match owner {
            None => Owner::Unreachable,
            Some((_, address, _)) if *address == self.own_address => Owner::Local,
            Some((_, address, _)) => Owner::Remote(*address),
        }
    }

    /// Returns the owner of a key in each other cell, in an order that varies with `turn`.
    pub fn owners_in_other_cells(&self, now: Time, key: u64, turn: u64) -> Vec<SocketAddrV4> {
        let owner_in = |cell: &Vec<SocketAddrV4>| {
            let available = cell.iter().filter(|address| {
                let member = self.peers.get(address);
                let live = member.filter(|member| self.is_live(now, member));
                live.is_some_and(|member| {
                    is_eligible(member) && !is_backing_off(now, member.last_unanswered)
                })
            });
            available.copied().max_by_key(|address| score(key, address))
        };
        let mut owners: Vec<SocketAddrV4> = self.other_cells.iter().filter_map(owner_in).collect();
        owners.sort_by_key(|address| score(turn, address));
        owners
    }

    /// Whether no live node is preferred to this one as the owner of a key.
    pub fn is_preferred_owner(&self, now: Time, key: u64) -> bool {
        let own = score(key, &self.own_address);
        let mut peers = self.live(now).filter(|(_, member)| is_eligible(member));
        peers.all(|(address, _)| score(key, address) <= own)
    }

    /// Whether a node's build enforces the rate limits that endpoints state.
    pub fn supports_rate_limits(&self, address: SocketAddrV4) -> bool {
        let protocol = self.protocol_opt(address);
        protocol.is_some_and(Protocol::supports_rate_limits)
    }

    /// Whether a node's build reads the notices that endpoints send in answers.
    pub fn supports_notices(&self, address: SocketAddrV4) -> bool {
        self.protocol_opt(address)
            .is_some_and(Protocol::supports_notices)
    }

    /// Whether a node's build reads queue reports, bookings and redirections of slot owners.
    pub fn supports_shared_admission(&self, address: SocketAddrV4) -> bool {
        let protocol = self.protocol_opt(address);
        protocol.is_some_and(Protocol::supports_shared_admission)
    }

    /// Whether a node's build binds streams to the version of the software that began them.
    pub fn supports_software(&self, address: SocketAddrV4) -> bool {
        let protocol = self.protocol_opt(address);
        protocol.is_some_and(Protocol::supports_software)
    }

    /// Whether another node is heard that has run for at least this long. Nodes state how long they have
    /// run only soon after they started.
    pub fn has_longer_running(&self, now: Time, span: Span) -> bool {
        let mut live = self.live(now);
        live.any(|(_, member)| {
            let status = &member.status;
            let uptime = status.uptime;
            status.protocol.supports_forwarding() && uptime.is_none_or(|uptime| uptime >= span)
        })
    }

    /// Whether a node's build settles doubts about the starts of endpoints.
    pub fn settles_doubts(&self, address: SocketAddrV4) -> bool {
        let protocol = self.protocol_opt(address);
        protocol.is_some_and(Protocol::settles_doubts)
    }

    /// Returns the nodes that keep which version began a stream with this key: those that a hash
    /// prefers, from as many data centres as there are. Fewer are the first of more.
    pub fn keepers(&self, now: Time, key: u64, count: usize) -> Vec<Keeper> {
        let live = self.live(now).filter(|(_, member)| {
            is_eligible(member) && member.status.protocol.supports_software()
        });
        let mut ranked: Vec<(u64, SocketAddrV4, &Member)> = live
            .map(|(address, member)| (score(key, address), *address, member))
            .collect();
        ranked.sort_unstable_by_key(|(score, address, _)| Reverse((*score, *address)));
        let mut centres = HashSet::default();
        let (first, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, _, member)| centres.insert(member.status.data_centre));
        let chosen = first.into_iter().chain(others).take(count);
        let keepers = chosen.map(|(_, node, member)| Keeper {
            node,
            incarnation: member.status.incarnation,
        });
        keepers.collect()
    }

    /// Whether a keeper still runs, and stays.
    pub fn is_keeper(&self, now: Time, keeper: &Keeper) -> bool {
        let member = self.peers.get(&keeper.node);
        let member = member.filter(|member| self.is_live(now, member) && is_eligible(member));
        member.is_some_and(|member| member.status.incarnation == keeper.incarnation)
    }

    /// Whether a live node states that it can't reach the platform.
    pub fn is_platform_unreachable(&self, now: Time) -> bool {
        let mut live = self.live(now);
        live.any(|(_, member)| member.status.platform_unreachable)
    }

    /// Whether a live node has a newer list of endpoints.
    pub fn has_newer_list(&self, now: Time, edition: Edition) -> bool {
        let mut live = self.live(now);
        live.any(|(_, member)| member.status.endpoints > edition)
    }

    /// Whether a node states that it doesn't reach most of the endpoints of a service.
    pub fn has_lost_links(&self, address: SocketAddrV4, service: u32) -> bool {
        let member = self.peers.get(&address);
        member.is_some_and(|member| lost_percent(member, service) * 2 > ALL_PERCENT)
    }

    /// Returns the nodes to which requests for a service may be forwarded: live ones that stay,
    /// answer, and state that they lack at most half as much of it as this node, which lacks
    /// `own_percent` of it.
    pub fn forwarding_nodes(
        &self,
        now: Time,
        service: u32,
        own_percent: u8,
    ) -> impl Iterator<Item = (SocketAddrV4, &Member)> + '_ {
        let live = self.live(now).filter(move |(_, member)| {
            is_eligible(member)
                && member.status.protocol.supports_forwarding()
                && !is_backing_off(now, member.last_unanswered)
                && lost_percent(member, service) * 2 <= own_percent
        });
        live.map(|(address, member)| (*address, member))
    }

    /// Returns the protocol of a node, if a status of the node was received.
    fn protocol_opt(&self, address: SocketAddrV4) -> Option<Protocol> {
        let member = self.peers.get(&address);
        let heard = member.filter(|member| member.last_heard.is_some());
        heard.map(|member| member.status.protocol)
    }

    /// Records that a node failed to answer a request.
    pub fn record_unanswered(&mut self, now: Time, address: SocketAddrV4) {
        if let Some(member) = self.peers.get_mut(&address) {
            member.last_unanswered = Some(now);
        }
    }
}

fn is_in(scope: Scope, member: &Member) -> bool {
    match scope {
        Scope::Fleet => true,
        Scope::Cell => member.in_cell,
        Scope::Knowing(protocol) => member.status.protocol >= protocol,
    }
}

/// Returns the part of a service's slots that a node states it can't use, in percent.
fn lost_percent(member: &Member, service: u32) -> u8 {
    let mut lost_links = member.status.lost_links.iter();
    let lost = lost_links.find(|lost| lost.service == service);
    lost.map_or(0, |lost| lost.percent.min(ALL_PERCENT))
}

fn is_eligible(member: &Member) -> bool {
    !member.status.leaving
}

fn is_backing_off(now: Time, last_unanswered: Option<Time>) -> bool {
    last_unanswered.is_some_and(|unanswered| now.since(unanswered) < UNANSWERED_BACKOFF)
}

/// Returns the rendezvous score of a node for a key; the highest is preferred.
fn score(key: u64, address: &SocketAddrV4) -> u64 {
    hash::chain(key, &address.ip().octets())
}
