//! Further attempts for requests whose endpoints this node doesn't reach any more. An attempt in
//! progress is given up only once its successor has been assigned to an endpoint or a node.

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Next;
use crate::job;
use crate::job::End;

/// A further attempt for a request, in the place of one that is still in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct Successor {
    /// Identifies the further attempt. Its decision is about this id.
    pub job: job::Id,
    target: id::Target,
    /// When the retry was taken from the budget.
    spent_at: Time,
}

impl Dispatcher {
    /// Submits a further attempt for a request in progress. Returns `None` if the request can't be
    /// sent again now.
    pub fn submit_successor(&mut self, now: Time, id: job::Id) -> Option<Successor> {
        let mut job = self.runs.get(&id)?.job.clone();
        if self.next_attempt(now, &mut job, End::Lost) != Next::Again {
            return None;
        }
        self.next_job += 1;
        let successor = Successor {
            job: job::Id(self.next_job),
            target: job.target.clone(),
            spent_at: now,
        };
        self.submit(now, successor.job, job);
        Some(successor)
    }

    /// Takes back a further attempt of which nothing was sent.
    pub fn cancel_successor(&mut self, now: Time, successor: &Successor) {
        self.budget.refund(successor.spent_at, &successor.target);
        self.abandon(now, successor.job);
    }

    /// Ends an attempt that its successor replaces.
    pub fn give_up(&mut self, now: Time, id: job::Id) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let target = run.job.target.clone();
        self.conclude(now, run, End::Lost);
        self.targets.remove(&id);
        self.place(now, &target);
    }
}
