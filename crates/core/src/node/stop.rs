//! The planned stop: pools and keys move to other nodes, unused tickets go to a
//! successor, and requests in progress finish.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Node;
use super::Stage;
use crate::message::Message;

/// How long to wait for the successor's confirmation.
const CONFIRM_WITHIN: Span = Span::from_secs(1);

/// The state of the handover of unused tickets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Handover {
    /// Not started.
    #[default]
    Held,
    /// Sent at the given time and not confirmed yet.
    Given(Time),
    /// Confirmed, timed out or impossible for lack of a successor.
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

    /// Hands unused tickets to a successor once no keyed request is in progress.
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
        let Some(estate) = self.ledger.try_give() else {
            return;
        };
        self.estate = Handover::Given(now);
        self.send(&successor, Message::Estate(estate));
    }

    /// Whether no request is in progress and the handover is over.
    pub fn is_drained(&self) -> bool {
        let over = self.estate == Handover::Over;
        self.stage == Stage::Closed && self.tasks.is_empty() && over
    }
}
