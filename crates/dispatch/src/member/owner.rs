//! Which node owns a customer's quota, or the slots of endpoints (rendezvous
//! hashing): when a node goes, only what it owned changes owners.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Member;
use super::Members;
use crate::protocol::Protocol;

/// How long a node that did not answer is passed over.
const UNANSWERED_BACKOFF: Span = Span::from_millis(1_000);

/// Nodes in order of ownership of which one is asked; were all tried in turn, a
/// node that is cut off would hold each request up many times.
const MAX_OWNERS_TRIED: usize = 2;

/// Who owns something, as far as this node can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Local,
    /// Another node.
    Remote(SocketAddrV4),
    /// The nodes that should do not answer.
    Unreachable,
}

/// Among which nodes an owner is looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All nodes.
    Fleet,
    /// The nodes of this node's cell.
    Cell,
    /// All nodes of builds that keep the rate limits which endpoints name.
    RateLimitCapable,
}

impl Members {
    /// The owner of what has a key, among the nodes that were heard lately.
    pub fn owner(&self, now: Time, scope: Scope, key: u64) -> Owner {
        let mut owners = Vec::new();
        for (address, member) in self.live(now) {
            if is_eligible(member) && is_in(scope, member) {
                owners.push((score(key, address), *address, member.last_unanswered));
            }
        }
        // The others look for another owner as soon as they hear that this node stops.
        let hands_over = scope == Scope::RateLimitCapable && self.leaving;
        if !hands_over || owners.is_empty() {
            owners.push((score(key, &self.own_address), self.own_address, None));
        }
        let tried = MAX_OWNERS_TRIED.min(owners.len());
        if owners.len() > tried {
            owners.select_nth_unstable_by(tried, |one, other| other.cmp(one));
            owners.truncate(tried);
        }
        owners.sort_unstable_by(|one, other| other.cmp(one));
        let owner = owners.iter().find(|(_, _, at)| !is_backing_off(now, *at));
        match owner {
            None => Owner::Unreachable,
            Some((_, address, _)) if *address == self.own_address => Owner::Local,
            Some((_, address, _)) => Owner::Remote(*address),
        }
    }

    /// The nodes of the other cells that own what has a key there, in an order
    /// that differs with `turn`.
    pub fn owners_in_other_cells(&self, now: Time, key: u64, turn: u64) -> Vec<SocketAddrV4> {
        let owner_in = |cell: &Vec<SocketAddrV4>| {
            let heard = cell.iter().filter(|address| {
                let member = self.others.get(address);
                let live = member.filter(|member| self.is_live(now, member));
                live.is_some_and(|member| {
                    is_eligible(member) && !is_backing_off(now, member.last_unanswered)
                })
            });
            heard.copied().max_by_key(|address| score(key, address))
        };
        let mut owners: Vec<SocketAddrV4> = self.other_cells.iter().filter_map(owner_in).collect();
        owners.sort_by_key(|address| score(turn, address));
        owners
    }

    /// True where no node that was heard lately goes before this one as the
    /// owner of what has a key.
    pub fn is_preferred_owner(&self, now: Time, key: u64) -> bool {
        let own = score(key, &self.own_address);
        let mut others = self.live(now).filter(|(_, member)| is_eligible(member));
        others.all(|(address, _)| score(key, address) <= own)
    }

    /// True for a node whose build keeps the rate limits that endpoints name.
    pub fn supports_rate_limits(&self, address: SocketAddrV4) -> bool {
        let protocol = self.protocol_opt(address);
        protocol.is_some_and(Protocol::supports_rate_limits)
    }

    /// True for a node whose build knows what else endpoints say of themselves.
    pub fn supports_notices(&self, address: SocketAddrV4) -> bool {
        self.protocol_opt(address)
            .is_some_and(Protocol::supports_notices)
    }

    /// What a node speaks that was heard.
    fn protocol_opt(&self, address: SocketAddrV4) -> Option<Protocol> {
        let member = self.others.get(&address);
        let heard = member.filter(|member| member.last_heard.is_some());
        heard.map(|member| member.status.protocol)
    }

    /// Notes that a node did not answer though it was asked.
    pub fn record_unanswered(&mut self, now: Time, address: SocketAddrV4) {
        if let Some(member) = self.others.get_mut(&address) {
            member.last_unanswered = Some(now);
        }
    }
}

fn is_in(scope: Scope, member: &Member) -> bool {
    match scope {
        Scope::Fleet => true,
        Scope::Cell => member.in_cell,
        Scope::RateLimitCapable => member.status.protocol.supports_rate_limits(),
    }
}

fn is_eligible(member: &Member) -> bool {
    !member.status.leaving
}

fn is_backing_off(now: Time, last_unanswered: Option<Time>) -> bool {
    last_unanswered.is_some_and(|at| now.since(at) < UNANSWERED_BACKOFF)
}

/// A node's place among the owners of what has a key; the highest is first.
fn score(key: u64, address: &SocketAddrV4) -> u64 {
    hash::chain(key, &address.ip().octets())
}
