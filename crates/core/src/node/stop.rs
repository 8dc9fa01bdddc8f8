//! The planned stop: ownership moves, unused tickets go to a successor, what
//! is in progress ends in peace.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Node;
use super::Stage;
use crate::message::Message;

/// How long a successor may take to confirm.
const CONFIRM_WITHIN: Span = Span::from_secs(1);

/// The handing over of unused tickets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Handover {
    /// Not begun.
    #[default]
    Held,
    /// Given away, not yet confirmed.
    Given(Time),
    /// Over, one way or the other.
    Over,
}

impl Handover {
    pub(super) fn taken(&mut self) {
        *self = Handover::Over;
    }
}

impl Node {
    pub(super) fn stop(&mut self, now: Time) {
        self.stage = self.stage.max(Stage::Leaving);
        self.beat_all(now);
        self.view(now);
    }

    pub(super) fn close(&mut self, now: Time) {
        self.stage = Stage::Closed;
        self.hand_over(now);
    }

    /// Gives unused tickets away once no keyed request is in progress.
    pub(super) fn hand_over(&mut self, now: Time) {
        if self.stage != Stage::Closed {
            return;
        }
        match self.estate {
            Handover::Held => {}
            Handover::Given(at) if now.since(at) > CONFIRM_WITHIN => {
                self.estate = Handover::Over;
                return;
            }
            Handover::Given(_) | Handover::Over => return,
        }
        let own = &self.options.host;
        let Some(successor) = self.live.iter().find(|host| *host != own).cloned() else {
            self.estate = Handover::Over;
            return;
        };
        let Some(estate) = self.ledger.try_hand_over() else {
            return;
        };
        self.estate = Handover::Given(now);
        self.send(&successor, Message::Estate(estate));
    }

    /// True once nothing is in progress and the tickets are given away.
    pub fn is_drained(&self) -> bool {
        let over = self.estate == Handover::Over;
        self.stage == Stage::Closed && self.tasks.is_empty() && over
    }
}
