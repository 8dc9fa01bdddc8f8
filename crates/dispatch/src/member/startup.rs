//! Who reads the platform while nodes start and have no list of endpoints yet.
//!
//! A whole list from the platform takes ten times the bytes that it takes from a
//! neighbour, and all hosts share the platform's link: were each of 585 nodes that start
//! together to read 2,998 endpoints, of which one read is 1.1 MB, that alone would take a
//! link of 1,000 Mbit/s five seconds, and four times as long with twice the endpoints and
//! nodes. So few read, and the others take the list from them and from each other.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Members;
use super::Role;
use super::cell;

/// How long a node that has heard another listens before it reads itself: a few times the
/// way there and back, in which the nodes that it met tell of others.
const DISCOVERY_PERIOD: Span = Span::from_millis(80);

/// How long after it has heard another a node waits in all before it reads itself, whoever
/// else may: two reads of 1.1 MB over 20 Mbit/s and some transfers. Counted from then, since
/// nodes that were cut off as they started return together.
const MAX_LIST_WAIT: Span = Span::from_millis(1_500);

impl Members {
    /// Who reads the platform, as a node sees it that has no list yet since it started and
    /// can have met others at a time.
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
        let own = cell::score(&self.own_address);
        let before = self.live(now).filter(|(address, member)| {
            let status = &member.status;
            status.data_centre == self.data_centre
                && status.protocol.supports_eras()
                && !status.leaving
                && !status.platform_unreachable
                && cell::score(address) < own
        });
        match before.count() < self.options.platform_readers {
            true => Role::Reader,
            false => Role::Follower,
        }
    }

    /// True where a node is heard that has a list of endpoints.
    fn has_peer_with_list(&self, now: Time) -> bool {
        let mut heard = self.live(now);
        heard.any(|(_, member)| {
            member.status.protocol.supports_eras() && member.status.endpoints.revision > 0
        })
    }
}
