//! Which node owns a customer's quota.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Members;

/// How long a node that did not answer is passed over.
const PASSED_OVER_FOR: Span = Span::from_millis(1_000);

/// Nodes in order of ownership of which one is asked; were all tried in turn, a
/// node that is cut off would hold each request up many times.
const TRIED: usize = 2;

/// Who owns a customer's quota, as far as this node can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Own,
    /// Another node.
    Other(SocketAddrV4),
    /// The nodes that should do not answer.
    Unheard,
}

impl Members {
    /// The owner of the quota of the customer with a number (rendezvous hashing
    /// over all nodes that were heard lately): when a node goes, only its
    /// customers change owners.
    pub fn owner(&self, now: Time, customer: u64) -> Owner {
        let score = |address: &SocketAddrV4| score(customer, address);
        let others = self.fresh(now).filter(|(_, member)| !member.status.leaving);
        let others = others.map(|(address, member)| (score(address), *address, member.unanswered));
        let mut owners: Vec<_> = others.collect();
        owners.push((score(&self.own), self.own, None));
        owners.sort_unstable_by(|one, other| other.cmp(one));
        owners.truncate(TRIED);
        let passed_over = |at: &Option<Time>| at.is_some_and(|at| now.since(at) < PASSED_OVER_FOR);
        let owner = owners.iter().find(|(_, _, at)| !passed_over(at));
        match owner {
            None => Owner::Unheard,
            Some((_, address, _)) if *address == self.own => Owner::Own,
            Some((_, address, _)) => Owner::Other(*address),
        }
    }

    /// True where no node that was heard lately goes before this one as the
    /// owner of a customer's quota.
    pub fn is_first_owner(&self, now: Time, customer: u64) -> bool {
        let own = score(customer, &self.own);
        let mut others = self.fresh(now).filter(|(_, member)| !member.status.leaving);
        others.all(|(address, _)| score(customer, address) <= own)
    }

    /// Notes that a node did not answer though it was asked.
    pub fn note_unanswered(&mut self, now: Time, address: SocketAddrV4) {
        if let Some(member) = self.others.get_mut(&address) {
            member.unanswered = Some(now);
        }
    }
}

/// A node's place among the owners of a customer's quota; the highest is first.
fn score(customer: u64, address: &SocketAddrV4) -> u64 {
    hash::chain(customer, &address.ip().octets())
}
