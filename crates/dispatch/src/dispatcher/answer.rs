//! Handles the answers of slot owners.

use std::net::SocketAddrV4;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Reason;
use super::Refusal;
use crate::job;
use crate::job::End;
use crate::job::Job;
use crate::lease;
use crate::lease::Answer;
use crate::lease::Lease;
use crate::lease::Reply;
use crate::worker::Worker;

/// How long an endpoint isn't used after its owner denied a slot.
const ENDPOINT_DENIAL_BACKOFF: Span = Span::from_millis(200);

/// A granted slot that this node can't use.
struct UnusableSlot {
    /// The outcome reported to the owner.
    end: End,
    /// Whether the request must not be offered to this endpoint again.
    excludes_endpoint: bool,
}

impl Dispatcher {
    /// Handles an owner's answer.
    pub fn receive_lease_reply(&mut self, now: Time, from: SocketAddrV4, reply: Reply) {
        let mut open_requests = self.open_requests.iter();
        let found = open_requests.find(|(_, open_request)| {
            open_request.number == reply.number && open_request.owner == from
        });
        let Some(id) = found.map(|(id, _)| *id) else {
            self.release_unwanted_slot(from, &reply);
            return;
        };
        match reply.answer {
            Answer::Waiting => {
                if let Some(open_request) = self.open_requests.get_mut(&id) {
                    open_request.unanswered = 0;
                }
            }
            Answer::Granted { endpoint, reason } => self.start_in_slot(now, id, endpoint, reason),
            Answer::Refused(refusal) => {
                let owner = Some(from);
                if let Some(job) = self.take_requested(id) {
                    self.refuse(now, id, &job, Refusal { owner, ..refusal });
                }
            }
            Answer::Denied => self.handle_denial(now, id),
            Answer::Redirected { owner, endpoint } => {
                self.follow_redirection(now, id, owner, endpoint);
            }
        }
    }

    /// Returns a granted slot that no request of this node waits for any more.
    fn release_unwanted_slot(&mut self, from: SocketAddrV4, reply: &Reply) {
        let in_use = self.runs.values().any(|run| {
            let lease = run.lease;
            lease.is_some_and(|lease| lease.owner == from && lease.number == reply.number)
        });
        if matches!(reply.answer, Answer::Granted { .. }) && !in_use {
            self.release_slot(from, reply.number, End::Abandoned);
        }
    }

    /// Removes a request that asked an owner for a slot, also from this node's queue.
    fn take_requested(&mut self, id: job::Id) -> Option<Job> {
        let job = self.open_requests.remove(&id)?.job;
        let target = self.targets.get(&id);
        let pool = target.and_then(|target| self.pools.get_mut(target));
        job.or_else(|| pool?.queue.remove(id))
    }

    fn start_in_slot(&mut self, now: Time, id: job::Id, endpoint: u32, reason: Reason) {
        let Some(open_request) = self.open_requests.remove(&id) else {
            return;
        };
        let target = self.targets.get(&id).cloned();
        let pool = target
            .as_ref()
            .and_then(|target| self.pools.get_mut(target));
        let Some((pool, target)) = pool.zip(target) else {
            return;
        };
        let worker = pool.worker_opt(endpoint);
        if self.gate.is_closed() {
            // The slot was granted by what was known before a pause, and may be taken again.
            let job = open_request.job.or_else(|| pool.queue.remove(id));
            self.release_slot(open_request.owner, open_request.number, End::Abandoned);
            if let Some(job) = job {
                self.hold(id, job);
            }
            return;
        }
        if open_request.job.is_none() {
            pool.spare_granted_at = Some(now);
        }
        let job = open_request.job.or_else(|| pool.queue.remove(id));
        let Some(mut job) = job else {
            self.release_slot(open_request.owner, open_request.number, End::Abandoned);
            return;
        };
        let Some(worker) = worker else {
            // The owner's endpoint list is newer than this node's.
            self.release_slot(open_request.owner, open_request.number, End::Abandoned);
            self.push(now, id, job);
            self.place(now, &target);
            return;
        };
        let granted_worker = &self.pools[&target].workers[worker];
        if let Some(unusable) =
            self.unusable_slot_opt(now, open_request.owner, &job, granted_worker)
        {
            if unusable.excludes_endpoint {
                job.history.tried.push(granted_worker.number);
            }
            self.release_slot(open_request.owner, open_request.number, unusable.end);
            self.submit(now, id, job);
            return;
        }
        let incarnation = self.members.incarnation_opt(now, open_request.owner);
        let lease = Lease {
            owner: open_request.owner,
            incarnation: incarnation.unwrap_or(0),
            number: open_request.number,
        };
        self.run(now, id, job, worker, Some(lease), reason);
    }

    /// Returns why this node can't use a granted slot, or `None` if it can.
    fn unusable_slot_opt(
        &self,
        now: Time,
        owner: SocketAddrV4,
        job: &Job,
        worker: &Worker,
    ) -> Option<UnusableSlot> {
        if !worker.is_present() {
            // This node's endpoint list is newer than the owner's.
            return Some(UnusableSlot {
                end: End::NotThere,
                excludes_endpoint: true,
            });
        }
        // The owner may see a different fleet, and it doesn't know in which regions the
        // request may run.
        let forbidden = worker.evacuated || !self.may_run_at(job, worker);
        if forbidden || !self.may_use_slot(owner, worker) {
            return Some(UnusableSlot {
                end: End::Abandoned,
                excludes_endpoint: true,
            });
        }
        // An owner that knows notices grants a different endpoint next time. An owner of an
        // earlier build doesn't know them and would grant the same one again.
        let is_hindered = worker.rest.is_resting(now) || worker.link.is_lost();
        is_hindered.then(|| UnusableSlot {
            end: End::Abandoned,
            excludes_endpoint: !self.members.supports_notices(owner),
        })
    }

    /// Handles a denial: submits the request again, or decides on this node.
    pub(super) fn handle_denial(&mut self, now: Time, id: job::Id) {
        let Some(open_request) = self.open_requests.remove(&id) else {
            return;
        };
        let Some(job) = open_request.job else {
            self.spare_denied_at.insert(open_request.owner, now);
            if let Some(target) = self.targets.get(&id).cloned() {
                self.request_more_spare_slots(now, &target);
            }
            return;
        };
        let pool = self.pools.get_mut(&job.target);
        let worker = pool
            .zip(open_request.endpoint)
            .and_then(|(pool, endpoint)| {
                let index = pool.worker_opt(endpoint)?;
                pool.workers.get_mut(index)
            });
        match worker {
            Some(worker) => {
                worker.backoff_until = worker.backoff_until.max(now + ENDPOINT_DENIAL_BACKOFF);
                self.submit(now, id, job);
            }
            // An owner that another one named says nothing about the slots of this node's cell.
            None if open_request.is_redirected => self.submit(now, id, job),
            None => self.enqueue(now, id, job),
        }
    }

    /// Answers an owner that asks whether a request still holds its slot.
    pub fn answer_lease_check(&mut self, from: SocketAddrV4, check: lease::Check) {
        let runs = self.runs.values().filter_map(|run| run.lease);
        let mut leases = runs.map(|lease| (lease.owner, lease.number));
        let open_requests = self.open_requests.values();
        let mut open_requests =
            open_requests.map(|open_request| (open_request.owner, open_request.number));
        let requested = (from, check.number);
        if leases.any(|lease| lease == requested) || open_requests.any(|open| open == requested) {
            self.send_lease_report(from, check.number, lease::Event::Held);
        } else {
            self.release_slot(from, check.number, End::Abandoned);
        }
    }
}
