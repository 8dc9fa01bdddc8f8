//! Confirms that one version of the software serves alone, before a stream that nobody has a record of
//! goes on there.
//!
//! A node that doesn't hear all others may not know of a version that they already use. What it
//! lists after a call to the platform that began since the stream was taken up includes that version.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::take_up::Source;
use super::track_versions::Served;
use crate::job;
use crate::pause::Generation;

/// How long a take-up waits for the confirmation. The platform answers within milliseconds, and callers
/// that are told to retry meet another node.
const MAX_WAIT: Span = Span::from_millis(400);

/// Whether what this node lists was confirmed since a stream was taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// It was not asked for.
    Unasked,
    /// It is waited for since this time, by this call or the next one.
    Awaited(Time, Option<Generation>),
    /// It was.
    Done,
}

impl Dispatcher {
    /// Whether a version that serves alone, as far as is known, does so: no node is missed and all that
    /// were asked have answered, or the platform has confirmed it.
    pub(super) fn is_sole_certain(&self, now: Time, id: job::Id) -> bool {
        let Some(inquiry) = self.inquiries.get(&id) else {
            return false;
        };
        let have_all_answered = inquiry.asked.iter().all(|one| one.answer.is_some());
        let reach = self.members.reach(now);
        // Nodes that are silent for long are forgotten.
        let is_left_alone = reach.nodes == 1 && !reach.isolated;
        let hears_all = have_all_answered && reach.silent == 0 && !is_left_alone;
        hears_all || inquiry.confirmation == Confirmation::Done
    }

    /// Has an inquiry wait for a confirmation, or ends it if that takes too long.
    pub(super) fn await_confirmation(&mut self, now: Time, id: job::Id) {
        let Some(inquiry) = self.inquiries.get_mut(&id) else {
            return;
        };
        match inquiry.confirmation {
            Confirmation::Unasked => {
                inquiry.confirmation = Confirmation::Awaited(now, None);
                self.ask_for_confirmation();
            }
            Confirmation::Awaited(since, _) if now.since(since) < MAX_WAIT => {}
            Confirmation::Awaited(..) | Confirmation::Done => {
                self.end_inquiry(now, id, Source::Unanswered, None, None);
            }
        }
    }

    /// Asks for a call to the platform, unless one is in progress, which may have begun too early.
    fn ask_for_confirmation(&mut self) {
        let inquiries = self.inquiries.values_mut();
        let waiting = inquiries.filter_map(|inquiry| match &mut inquiry.confirmation {
            Confirmation::Awaited(_, call @ None) => Some(call),
            _ => None,
        });
        let mut waiting = waiting.peekable();
        if self.confirming.is_some() || waiting.peek().is_none() {
            return;
        }
        let call = self.gate.next_generation();
        self.confirming = Some(call);
        waiting.for_each(|awaited| *awaited = Some(call));
    }

    /// Ends the inquiries that waited for this call, or for an earlier one.
    pub(super) fn confirm_versions(&mut self, now: Time, call: Generation) {
        if self.confirming.is_none_or(|confirming| confirming > call) {
            return;
        }
        self.confirming = None;
        let inquiries = self.inquiries.iter();
        let confirmed = inquiries.filter(|(_, inquiry)| {
            matches!(inquiry.confirmation, Confirmation::Awaited(_, Some(awaited)) if awaited <= call)
        });
        let confirmed: Vec<job::Id> = confirmed.map(|(id, _)| *id).collect();
        for id in confirmed {
            self.confirm_version(now, id);
        }
        self.ask_for_confirmation();
    }

    fn confirm_version(&mut self, now: Time, id: job::Id) {
        let Some(inquiry) = self.inquiries.get(&id) else {
            return;
        };
        let pool = self.pools.get(&inquiry.job.target);
        let served = pool.map(|pool| self.served(now, pool, inquiry.lifetime));
        if let Some(inquiry) = self.inquiries.get_mut(&id) {
            inquiry.confirmation = Confirmation::Done;
            inquiry.is_mixed |= served == Some(Served::Several);
        }
        self.end_inquiry_without_record(now, id, Source::Unanswered);
    }
}
