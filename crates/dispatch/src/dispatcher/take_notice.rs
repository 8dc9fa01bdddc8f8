//! What endpoints say of themselves in the heads of answers.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::job;
use crate::lease;
use crate::notice::Change;
use crate::notice::Field;
use crate::notice::Notice;

impl Dispatcher {
    /// Takes what the head of the answer to a request says of the endpoint that runs it.
    /// Gives what is believed of the endpoint otherwise than before.
    pub fn take_notice(&mut self, now: Time, id: job::Id, notice: &Notice) -> Vec<Change> {
        let cold = notice
            .cold_for
            .and_then(|cold_for| self.note_cold(now, id, cold_for));
        let limit = match notice.rate_limit {
            Field::Unknown => None,
            Field::Absent => self.note_rate_limit(now, id, None),
            Field::Given(limit) => self.note_rate_limit(now, id, Some(limit)),
        };
        cold.into_iter().chain(limit).collect()
    }

    /// An endpoint said in an answer that it is cold for so long.
    pub(super) fn note_cold(&mut self, now: Time, id: job::Id, cold_for: Span) -> Option<Change> {
        let run = self.runs.get(&id)?;
        let pool = self.pools.get_mut(&run.job.target)?;
        let state = &mut pool.workers[run.worker].cold;
        let was_cold = state.is_cold(now);
        state.extend(now, cold_for);
        let lease = run.lease;
        if let Some(lease) = lease {
            self.report(lease.owner, lease.number, lease::Event::Cold { cold_for });
        }
        (!was_cold).then_some(Change::Cold { lasts: cold_for })
    }
}
