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
use super::Reading;
use super::cell;

/// How long a node that has heard another listens before it reads itself: a few times the
/// way there and back, in which the nodes that it met tell of others.
const LISTEN_FOR: Span = Span::from_millis(80);

/// How long after it has heard another a node waits in all before it reads itself, whoever
/// else may: two reads of 1.1 MB over 20 Mbit/s and some transfers. Counted from then, since
/// nodes that were cut off as they started return together.
const WAIT_MOST: Span = Span::from_millis(1_500);

impl Members {
    /// Who reads the platform, as a node sees it that has no list yet since it started and
    /// can have met others at a time.
    pub fn first_reading(&self, now: Time, met_at: Time) -> Reading {
        if self.has_nobody_to_ask() {
            return Reading::Alone;
        }
        let Some(first_heard) = self.first_heard else {
            return match now < met_at {
                true => Reading::Resting,
                false => Reading::Alone,
            };
        };
        let heard_for = now.since(first_heard);
        if heard_for >= WAIT_MOST {
            return Reading::Alone;
        }
        if heard_for < LISTEN_FOR || self.has_list_to_give(now) {
            return Reading::Resting;
        }
        let own = cell::score(&self.own);
        let before = self.fresh(now).filter(|(address, member)| {
            let status = &member.status;
            status.data_centre == self.data_centre
                && status.protocol.knows_eras()
                && !status.leaving
                && !status.cut_off
                && cell::score(address) < own
        });
        match before.count() < self.options.readers {
            true => Reading::ForOthers,
            false => Reading::Resting,
        }
    }

    /// True where a node is heard that has a list of endpoints.
    fn has_list_to_give(&self, now: Time) -> bool {
        let mut heard = self.fresh(now);
        heard.any(|(_, member)| {
            member.status.protocol.knows_eras() && member.status.endpoints.revision > 0
        })
    }
}
