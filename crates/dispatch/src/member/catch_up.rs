//! Which node to take newer documents of the platform from.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::Members;
use crate::edition::Edition;
use crate::message::Versions;

/// Nodes furthest ahead among which one is chosen. Were all nodes to ask the
/// very first of them, a long document would fill that one's link. A node that has no
/// such document yet asks any that has: were all 585 that start together to ask the
/// eight furthest ahead, three at once, whole lists would take 4 s (worked out).
const MAX_CANDIDATES: usize = 8;

/// A node that is ahead of this one.
struct Candidate {
    /// The version of its configuration, where that is newer.
    configuration: Option<u64>,
    /// Its list of endpoints, where that is newer.
    endpoints: Option<Edition>,
    in_cell: bool,
    /// True where it is in this node's data centre.
    same_data_centre: bool,
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
    pub fn newer_peer_opt(&self, now: Time, known: Versions, attempt: u64) -> Option<SocketAddrV4> {
        let candidates = self.live(now).map(|(address, member)| {
            let status = &member.status;
            Candidate {
                configuration: Some(status.configuration)
                    .filter(|new| *new > known.configuration && status.protocol.supports_eras()),
                endpoints: (status.endpoints > known.endpoints).then_some(status.endpoints),
                in_cell: member.in_cell,
                same_data_centre: status.data_centre == self.data_centre,
                address: *address,
            }
        });
        let mut ahead: Vec<_> = candidates
            .filter(|one| one.configuration.is_some() || one.endpoints.is_some())
            .collect();
        if attempt.is_multiple_of(2) && ahead.iter().any(|one| one.in_cell) {
            ahead.retain(|one| one.in_cell);
        }
        // What goes within a data centre costs its links nothing.
        if attempt.is_multiple_of(2) && ahead.iter().any(|one| one.same_data_centre) {
            ahead.retain(|one| one.same_data_centre);
        }
        // Among equals each node prefers others, and others at each attempt.
        let seed = hash::chain(attempt, &self.own_address.ip().octets());
        let preference = |one: &Candidate| hash::chain(seed, &one.address.ip().octets());
        ahead.sort_by_key(|one| Reverse((one.configuration, one.endpoints, preference(one))));
        let is_first = |one: &Candidate| {
            let configuration = known.configuration == 0 && one.configuration.is_some();
            configuration || (known.endpoints.revision == 0 && one.endpoints.is_some())
        };
        if !ahead.iter().any(is_first) {
            ahead.truncate(MAX_CANDIDATES);
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
