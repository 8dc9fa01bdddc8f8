//! Endpoints name in their answers how many requests a second they take.

use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::job;
use crate::rate_limit::Limit;

/// An endpoint named another limit than before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The limit before; none where there was none.
    pub before: Option<Limit>,
    /// The limit now; none where there is none any more.
    pub after: Option<Limit>,
}

impl Dispatcher {
    /// Takes the limit that the head of an answer names, or that it names none. Gives
    /// the change that this brought, if any.
    pub fn note_rate_limit(
        &mut self,
        now: Time,
        id: job::Id,
        limit: Option<Limit>,
    ) -> Option<Change> {
        let run = self.runs.get(&id)?;
        let pool = self.pools.get_mut(&run.job.target)?;
        let state = &mut pool.workers[run.worker].rate_limit;
        let before = state.limit_opt();
        let changed = state.note_answer(now, run.started, limit);
        changed.then_some(Change {
            before,
            after: limit,
        })
    }
}
