//! Holds requests after a pause of this node, until it has confirmed what it knows.

use woadstage_types::unit::Time;

use super::Cause;
use super::Dispatcher;
use super::Next;
use crate::job;
use crate::job::End;
use crate::job::Job;
use crate::pause;
use crate::pause::Generation;
use crate::pause::Opened;

impl Dispatcher {
    /// Observes that this node runs. After a pause it holds all requests.
    pub fn observe(&mut self, now: Time) {
        let pause = self.gate.observe(now, !self.platform_unreachable);
        let Some(pause) = pause else {
            return;
        };
        self.lateness.distrust(now);
        self.pause_changes.push(pause::Change::Closed(pause));
        // A node that has just started knows nothing that could be out of date.
        let is_new = self.list.revision == 0;
        if let Some(generation) = self.gate.generation_opt().filter(|_| is_new) {
            self.confirm(now, generation);
        }
    }

    /// Whether requests are held.
    pub fn is_holding(&self) -> bool {
        self.gate.is_closed()
    }

    /// Identifies the call to the platform by which this node has to confirm what it knows, if it has
    /// to.
    pub fn unconfirmed_opt(&self) -> Option<Generation> {
        self.gate.generation_opt().max(self.confirming)
    }

    /// Records that everything that was published and sent to this node until this call began is in
    /// force here.
    pub fn confirm(&mut self, now: Time, generation: Generation) {
        if let Some(closed_for) = self.gate.confirm(now, generation) {
            let opened = pause::Change::Opened(Opened::Confirmed, closed_for);
            self.release_held(now, opened);
        }
        self.confirm_versions(now, generation);
    }

    /// Releases held requests if what this node knows can't be confirmed in time.
    pub(super) fn expire_hold(&mut self, now: Time) {
        if let Some(closed_for) = self.gate.expire(now) {
            let opened = pause::Change::Opened(Opened::Unconfirmed, closed_for);
            self.release_held(now, opened);
        }
    }

    fn release_held(&mut self, now: Time, opened: pause::Change) {
        self.pause_changes.push(opened);
        for (id, job) in std::mem::take(&mut self.held_jobs) {
            self.submit(now, id, job);
        }
        self.place_all(now);
    }

    /// Holds a request that is to be submitted.
    pub(super) fn hold(&mut self, id: job::Id, job: Job) {
        self.targets.insert(id, job.target.clone());
        self.held_jobs.push((id, job));
    }

    /// Takes the changes of the hold since the last call.
    pub fn take_pause_changes(&mut self) -> Vec<pause::Change> {
        std::mem::take(&mut self.pause_changes)
    }

    /// Whether a request that was started may still be sent to its endpoint. It may have left, or the
    /// node stood still, between the decision and the moment at which the request can be written.
    pub fn may_send(&self, id: job::Id) -> bool {
        let run = self.runs.get(&id);
        let worker = run.and_then(|run| self.pools.get(&run.job.target)?.workers.get(run.worker));
        !self.gate.is_closed() && worker.is_some_and(|worker| worker.is_open())
    }

    /// Takes back a started request of which nothing was sent, and submits it again.
    pub fn withdraw(&mut self, now: Time, id: job::Id) -> Next {
        let Some(run) = self.runs.remove(&id) else {
            self.abandon(now, id);
            return Next::Over;
        };
        self.urgent |= run.lease.is_none();
        let target = run.job.target.clone();
        let mut job = self.finish_attempt(now, run, End::Abandoned);
        // The endpoint was not offered the request.
        job.history.tried.pop();
        let next = match job.deadline.since(now) <= self.options.policy.least_left {
            true => Next::Final(Cause::Time),
            false => Next::Again,
        };
        match next {
            Next::Again => self.submit(now, id, job),
            _ => {
                self.targets.remove(&id);
            }
        }
        self.place(now, &target);
        next
    }
}
