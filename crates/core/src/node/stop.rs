//! The planned stop: pools and keys move to other nodes, unused tickets go to a
//! successor, and requests in progress finish or, at the end of the time, are refused.

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Node;
use super::Phase;
use super::Refusal;
use super::Stage;
use crate::message::Message;
use crate::pool::End;

/// How long to wait for the successor's confirmation.
const CONFIRM_TIMEOUT: Span = Span::from_secs(1);

/// The state of the handover of unused tickets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Handover {
    /// Not started.
    #[default]
    Pending,
    /// Sent at the given time and not confirmed yet.
    Sent(Time),
    /// Confirmed, timed out or impossible for lack of a successor.
    Finished,
}

impl Handover {
    pub(super) fn confirm(&mut self) {
        *self = Handover::Finished;
    }
}

impl Node {
    pub(super) fn stop(&mut self, now: Time) {
        self.stage = self.stage.max(Stage::Leaving);
        self.send_heartbeats(now);
        self.update_live_nodes(now);
    }

    pub(super) fn close(&mut self, now: Time) {
        self.stage = Stage::Closed;
        self.hand_over(now);
    }

    /// Refuses the requests in progress and gives up the handover, so that the node is drained.
    pub(super) fn abort(&mut self, now: Time) {
        self.stage = Stage::Closed;
        self.handover = Handover::Finished;
        let mut requests: Vec<id::Request> = self.tasks.keys().copied().collect();
        requests.sort();
        for request in requests {
            self.abort_request(now, request);
        }
    }

    fn abort_request(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        if matches!(task.phase, Phase::Asking { .. }) {
            self.notify_end(now, request, End::Unused);
            self.not_run(now, request, Refusal::new(Code::Stopping));
            return;
        }
        self.expire_request(now, request);
        // A keyed call that continued after its caller was answered ends too.
        self.expire_request(now, request);
    }

    /// Hands unused tickets to a successor once no keyed request is in progress.
    pub(super) fn hand_over(&mut self, now: Time) {
        if self.stage != Stage::Closed {
            return;
        }
        match self.handover {
            Handover::Pending => {}
            Handover::Sent(at) if now.since(at) > CONFIRM_TIMEOUT => {
                self.handover = Handover::Finished;
                return;
            }
            Handover::Sent(_) | Handover::Finished => return,
        }
        let own = &self.options.host;
        let Some(successor) = self.live.iter().find(|host| *host != own).cloned() else {
            self.handover = Handover::Finished;
            return;
        };
        let Some(estate) = self.ledger.try_hand_over() else {
            return;
        };
        self.handover = Handover::Sent(now);
        self.send(&successor, Message::Estate(estate));
    }

    /// Whether no request is in progress and the handover is over.
    pub fn is_drained(&self) -> bool {
        let over = self.handover == Handover::Finished;
        self.stage == Stage::Closed && self.tasks.is_empty() && over
    }
}
