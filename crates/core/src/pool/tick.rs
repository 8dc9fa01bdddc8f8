//! Changes that only the passing of time causes.

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::End;
use super::Pool;

/// The time after its deadline at which a running request that nobody ended is
/// dropped.
const OVERDUE_GRACE: Span = Span::from_secs(5);

impl Pool {
    /// Refuses waiting requests that can no longer finish in time, drops
    /// overdue running ones, and assigns work to free endpoints.
    pub fn tick(&mut self, now: Time) {
        while let Some(entry) = self.queue.pop_expired(now) {
            self.refuse(entry, Code::TooLate);
        }
        self.drop_overdue(now);
        self.place(now);
    }

    fn drop_overdue(&mut self, now: Time) {
        let overdue: Vec<id::Request> = self
            .in_flight
            .iter()
            .filter(|(_, call)| call.deadline + OVERDUE_GRACE < now)
            .map(|(request, _)| *request)
            .collect();
        for request in overdue {
            self.release(now, request, End::Unused);
        }
    }
}
