//! Which node to take newer documents of the platform from.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::Members;
use crate::edition::Edition;
use crate::message::Known;

/// Nodes furthest ahead among which one is chosen. Were all nodes to ask the
/// very first of them, a long document would fill that one's link. A node that has no
/// such document yet asks any that has: were all 585 that start together to ask the
/// eight furthest ahead, three at once, whole lists would take 4 s (worked out).
const CHOSEN_FROM: usize = 8;

/// A node that is ahead of this one.
struct Candidate {
    /// The version of its configuration, where that is newer.
    newer: Option<u64>,
    /// Its list of endpoints, where that is newer.
    later: Option<Edition>,
    near: bool,
    /// True where it is in this node's data centre.
    own_centre: bool,
    address: SocketAddrV4,
}

impl Members {
    /// A node that has something newer than `known`, if there is one; another
    /// for each `attempt`, where there are several. Nodes of the own cell are
    /// asked first.
    ///
    /// Nodes that know no eras cannot say whether a list is from before the platform
    /// came back with an older copy, so theirs is newer only than one without an era;
    /// and a configuration that they give says nothing of regions.
    pub fn ahead_opt(&self, now: Time, known: Known, attempt: u64) -> Option<SocketAddrV4> {
        let candidates = self.fresh(now).map(|(address, member)| {
            let status = &member.status;
            Candidate {
                newer: Some(status.configuration)
                    .filter(|newer| *newer > known.configuration && status.protocol.knows_eras()),
                later: (status.endpoints > known.endpoints).then_some(status.endpoints),
                near: member.near,
                own_centre: status.data_centre == self.data_centre,
                address: *address,
            }
        });
        let mut ahead: Vec<_> = candidates
            .filter(|one| one.newer.is_some() || one.later.is_some())
            .collect();
        if attempt.is_multiple_of(2) && ahead.iter().any(|one| one.near) {
            ahead.retain(|one| one.near);
        }
        // What goes within a data centre costs its links nothing.
        if attempt.is_multiple_of(2) && ahead.iter().any(|one| one.own_centre) {
            ahead.retain(|one| one.own_centre);
        }
        // Among equals each node prefers others, and others at each attempt.
        let seed = hash::chain(attempt, &self.own.ip().octets());
        let preference = |one: &Candidate| hash::chain(seed, &one.address.ip().octets());
        ahead.sort_by_key(|one| Reverse((one.newer, one.later, preference(one))));
        let is_first = |one: &Candidate| {
            let configuration = known.configuration == 0 && one.newer.is_some();
            configuration || (known.endpoints.revision == 0 && one.later.is_some())
        };
        if !ahead.iter().any(is_first) {
            ahead.truncate(CHOSEN_FROM);
        }
        let chosen = ahead.iter().max_by_key(|one| preference(one));
        chosen.map(|one| one.address)
    }

    /// The version of the configuration that another node last said it had.
    pub fn configuration(&self, address: SocketAddrV4) -> u64 {
        let member = self.others.get(&address);
        member.map_or(0, |member| member.status.configuration)
    }
}
