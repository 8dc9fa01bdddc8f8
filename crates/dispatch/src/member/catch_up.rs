//! Selection of the node from which newer documents are fetched.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::Members;
use crate::edition::Edition;
use crate::message::Versions;

/// The maximum number of most up-to-date nodes among which one is chosen. If every node asked
/// the single most up-to-date one, a long document would saturate that node's link. A node that
/// does not have the document at all chooses among all nodes that do: if all of 585 nodes that
/// start together asked the same eight, each of which serves three at once, whole lists would
/// take 4 s by calculation.
const MAX_CANDIDATES: usize = 8;

/// A node that has a newer document than this one.
struct Candidate {
    /// The version of its configuration, if newer.
    configuration: Option<u64>,
    /// The edition of its list of endpoints, if newer.
    endpoints: Option<Edition>,
    /// Whether that list states the versions of their software.
    states_software: bool,
    in_cell: bool,
    /// Whether it is in this node's data centre.
    same_data_centre: bool,
    address: SocketAddrV4,
}

impl Members {
    /// Returns a node that has a document newer than `known`, if there is one. The choice
    /// varies with `attempt` if there are several, and even attempts prefer the node's own cell
    /// and data centre.
    ///
    /// Nodes that do not support eras cannot tell whether their list predates a restore of the
    /// platform from an older copy, so their list counts as newer only than one without an era.
    /// Their configuration is never used, as it lacks the region restrictions. Lists with the
    /// versions of the endpoints' software are preferred.
    pub fn newer_peer_opt(&self, now: Time, known: Versions, attempt: u64) -> Option<SocketAddrV4> {
        let candidates = self.live(now).map(|(address, member)| {
            let status = &member.status;
            Candidate {
                configuration: Some(status.configuration)
                    .filter(|new| *new > known.configuration && status.protocol.supports_eras()),
                endpoints: (status.endpoints > known.endpoints).then_some(status.endpoints),
                states_software: status.protocol.supports_software(),
                in_cell: member.in_cell,
                same_data_centre: status.data_centre == self.data_centre,
                address: *address,
            }
        });
        let mut ahead: Vec<_> = candidates
            .filter(|node| node.configuration.is_some() || node.endpoints.is_some())
            .collect();
        let is_list_wanted = ahead.iter().any(|node| node.endpoints.is_some());
        if is_list_wanted && ahead.iter().any(|node| node.states_software) {
            ahead.retain(|node| node.states_software);
        }
        if attempt.is_multiple_of(2) && ahead.iter().any(|node| node.in_cell) {
            ahead.retain(|node| node.in_cell);
        }
        // Traffic within a data centre does not load the links between data centres.
        if attempt.is_multiple_of(2) && ahead.iter().any(|node| node.same_data_centre) {
            ahead.retain(|node| node.same_data_centre);
        }
        // A hash breaks ties differently on each node and at each attempt.
        let seed = hash::chain(attempt, &self.own_address.ip().octets());
        let preference = |node: &Candidate| hash::chain(seed, &node.address.ip().octets());
        ahead.sort_by_key(|node| Reverse((node.configuration, node.endpoints, preference(node))));
        let is_first = |node: &Candidate| {
            let configuration = known.configuration == 0 && node.configuration.is_some();
            configuration || (known.endpoints.revision == 0 && node.endpoints.is_some())
        };
        if !ahead.iter().any(is_first) {
            ahead.truncate(MAX_CANDIDATES);
        }
        let chosen = ahead.iter().max_by_key(|node| preference(node));
        chosen.map(|node| node.address)
    }

    /// Returns the configuration version that another node last reported; 0 for an unknown
    /// node.
    pub fn configuration(&self, address: SocketAddrV4) -> u64 {
        let member = self.peers.get(&address);
        member.map_or(0, |member| member.status.configuration)
    }
}
