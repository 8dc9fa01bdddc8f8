//! Selection of the nodes that read the platform while nodes start without a list of endpoints.
//!
//! A whole list takes ten times as many bytes from the platform as from another node, and all
//! hosts share the platform's link. One read of 2,998 endpoints is 1.1 MB: if each of 585 nodes
//! that start together read it, the reads alone would occupy a link of 1,000 Mbit/s for five
//! seconds, and four times as long with twice the endpoints and nodes. So only a few nodes read
//! the platform, and the others fetch the list from them and from each other.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Members;
use super::Role;
use super::cell;

/// How long a node that received a first status waits before it reads the platform itself: a few
/// round trips, in which it learns of other nodes from the first ones it meets.
const DISCOVERY_PERIOD: Span = Span::from_millis(80);

/// The time after the first status was received at which a node reads the platform itself in any
/// case: enough for two reads of 1.1 MB over 20 Mbit/s and some transfers. It counts from the
/// first status rather than from the start, because nodes that start partitioned return
/// together.
const MAX_LIST_WAIT: Span = Span::from_millis(1_500);

impl Members {
    /// Returns the role in reading the platform of a node that has had no list of endpoints
    /// since its start, and that can have discovered other nodes by `discovery_ends_at`.
    pub fn startup_role(&self, now: Time, discovery_ends_at: Time) -> Role {
        if self.has_no_peers() {
            return Role::Standalone;
        }
        let Some(first_heard) = self.first_heard else {
            return match now < discovery_ends_at {
                true => Role::Follower,
                false => Role::Standalone,
            };
        };
        let heard_for = now.since(first_heard);
        if heard_for >= MAX_LIST_WAIT {
            return Role::Standalone;
        }
        if heard_for < DISCOVERY_PERIOD || self.has_peer_with_list(now) {
            return Role::Follower;
        }
        let own_score = cell::score(&self.own_address);
        let preceding = self.live(now).filter(|(address, member)| {
            let status = &member.status;
            status.data_centre == self.data_centre
                && status.protocol.supports_software()
                && !status.leaving
                && !status.platform_unreachable
                && cell::score(address) < own_score
        });
        match preceding.count() < self.options.platform_readers {
            true => Role::Reader,
            false => Role::Follower,
        }
    }

    /// Whether a live node has a list of endpoints.
    fn has_peer_with_list(&self, now: Time) -> bool {
        let mut live = self.live(now);
        live.any(|(_, member)| {
            member.status.protocol.supports_eras() && member.status.endpoints.revision > 0
        })
    }
}
