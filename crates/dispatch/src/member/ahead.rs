//! Which node to take newer documents of the platform from.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::Members;
use crate::endpoint::Edition;
use crate::message::Known;

/// Nodes furthest ahead among which one is chosen. Were all nodes to ask the
/// very first of them, a long document would fill that one's link.
const CHOSEN_FROM: usize = 8;

/// A node that may be ahead of this one.
struct Candidate {
    newer: bool,
    later: Option<Edition>,
    near: bool,
    address: SocketAddrV4,
}

impl Members {
    /// A node that has something newer than `known`, if there is one; another
    /// for each `attempt`, where there are several. Nodes of the own cell are
    /// asked first.
    pub fn ahead_opt(&self, now: Time, known: Known, attempt: u64) -> Option<SocketAddrV4> {
        let candidates = self.fresh(now).map(|(address, member)| {
            let status = &member.status;
            Candidate {
                newer: status.configuration > known.configuration,
                later: (status.endpoints > known.endpoints).then_some(status.endpoints),
                near: member.near,
                address: *address,
            }
        });
        let mut ahead: Vec<_> = candidates
            .filter(|one| one.newer || one.later.is_some())
            .collect();
        ahead.sort_unstable_by_key(|one| Reverse((one.newer, one.later, one.address)));
        ahead.truncate(CHOSEN_FROM);
        if attempt.is_multiple_of(2) && ahead.iter().any(|one| one.near) {
            ahead.retain(|one| one.near);
        }
        let seed = hash::chain(attempt, &self.own.ip().octets());
        let chosen = ahead
            .iter()
            .max_by_key(|one| hash::chain(seed, &one.address.ip().octets()));
        chosen.map(|one| one.address)
    }
}
