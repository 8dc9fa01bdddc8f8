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
const PASSED_OVER_FOR: Span = Span::from_millis(1_000);

/// Nodes in order of ownership of which one is asked; were all tried in turn, a
/// node that is cut off would hold each request up many times.
const TRIED: usize = 2;

/// Who owns something, as far as this node can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Own,
    /// Another node.
    Other(SocketAddrV4),
    /// The nodes that should do not answer.
    Unheard,
}

/// Among which nodes an owner is looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All nodes.
    Fleet,
    /// The nodes of this node's cell.
    Cell,
    /// All nodes of builds that keep the rate limits which endpoints name.
    Keepers,
}

impl Members {
    /// The owner of what has a key, among the nodes that were heard lately.
    pub fn owner(&self, now: Time, scope: Scope, key: u64) -> Owner {
        let mut owners = Vec::new();
        for (address, member) in self.fresh(now) {
            if may_own(member) && is_in(scope, member) {
                owners.push((score(key, address), *address, member.unanswered));
            }
        }
        // The others look for another owner as soon as they hear that this node stops.
        let hands_over = scope == Scope::Keepers && self.leaving;
        if !hands_over || owners.is_empty() {
            owners.push((score(key, &self.own), self.own, None));
        }
        let tried = TRIED.min(owners.len());
        if owners.len() > tried {
            owners.select_nth_unstable_by(tried, |one, other| other.cmp(one));
            owners.truncate(tried);
        }
        owners.sort_unstable_by(|one, other| other.cmp(one));
        let owner = owners.iter().find(|(_, _, at)| !is_passed_over(now, *at));
        match owner {
            None => Owner::Unheard,
            Some((_, address, _)) if *address == self.own => Owner::Own,
            Some((_, address, _)) => Owner::Other(*address),
        }
    }

    /// The nodes of the other cells that own what has a key there, in an order
    /// that differs with `turn`.
    pub fn other_owners(&self, now: Time, key: u64, turn: u64) -> Vec<SocketAddrV4> {
        let owner_in = |cell: &Vec<SocketAddrV4>| {
            let heard = cell.iter().filter(|address| {
                let member = self.others.get(address);
                let fresh = member.filter(|member| self.is_fresh(now, member));
                fresh.is_some_and(|member| {
                    may_own(member) && !is_passed_over(now, member.unanswered)
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
    pub fn is_first_owner(&self, now: Time, key: u64) -> bool {
        let own = score(key, &self.own);
        let mut others = self.fresh(now).filter(|(_, member)| may_own(member));
        others.all(|(address, _)| score(key, address) <= own)
    }

    /// True for a node whose build keeps the rate limits that endpoints name.
    pub fn keeps_rate_limits(&self, address: SocketAddrV4) -> bool {
        let protocol = self.protocol_opt(address);
        protocol.is_some_and(Protocol::keeps_rate_limits)
    }

    /// True for a node whose build knows what else endpoints say of themselves.
    pub fn knows_notices(&self, address: SocketAddrV4) -> bool {
        self.protocol_opt(address)
            .is_some_and(Protocol::knows_notices)
    }

    /// What a node speaks that was heard.
    fn protocol_opt(&self, address: SocketAddrV4) -> Option<Protocol> {
        let member = self.others.get(&address);
        let heard = member.filter(|member| member.heard.is_some());
        heard.map(|member| member.status.protocol)
    }

    /// Notes that a node did not answer though it was asked.
    pub fn note_unanswered(&mut self, now: Time, address: SocketAddrV4) {
        if let Some(member) = self.others.get_mut(&address) {
            member.unanswered = Some(now);
        }
    }
}

fn is_in(scope: Scope, member: &Member) -> bool {
    match scope {
        Scope::Fleet => true,
        Scope::Cell => member.near,
        Scope::Keepers => member.status.protocol.keeps_rate_limits(),
    }
}

fn may_own(member: &Member) -> bool {
    !member.status.leaving
}

fn is_passed_over(now: Time, unanswered: Option<Time>) -> bool {
    unanswered.is_some_and(|at| now.since(at) < PASSED_OVER_FOR)
}

/// A node's place among the owners of what has a key; the highest is first.
fn score(key: u64, address: &SocketAddrV4) -> u64 {
    hash::chain(key, &address.ip().octets())
}
