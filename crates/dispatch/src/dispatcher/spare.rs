//! Spare slots that one cell lends to requests of another.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::borrow::LeaseTarget;
use super::lend::RemoteRequest;
use crate::job;
use crate::job::Job;
use crate::lease::Answer;

/// The maximum number of open requests for spare slots per service.
const MAX_OPEN_SPARE_REQUESTS: usize = 32;

/// How long a node that had no spare slot is not asked again.
const DENIAL_BACKOFF: Span = Span::from_millis(200);

/// How long a denial tells that another cell has no spare slots. Longer than it takes to ask again
/// while requests wait, so that the next denial follows before.
const DENIAL_VALIDITY: Span = Span::from_millis(300);

/// How long after a spare slot was granted this cell counts as one that needs more slots than its own,
/// so that its requests don't wait before they ask for another.
const BORROWING_PERIOD: Span = Span::from_secs(1);

/// The fraction of a cell's usable slots that is not lent to other cells, so that the
/// cell's own next requests need not wait.
const RESERVED_FRACTION: f64 = 0.1;

impl Pool {
    /// Whether this cell has lately been granted a spare slot of another.
    fn is_borrowing(&self, now: Time) -> bool {
        let granted_at = self.spare_granted_at;
        granted_at.is_some_and(|at| now.since(at) < BORROWING_PERIOD)
    }
}

impl Dispatcher {
    /// Asks other cells for spare slots at once, if a request waits and this cell needs more slots than
    /// its own.
    pub(super) fn request_more_spare_slots(&mut self, now: Time, target: &id::Target) {
        if self
            .pools
            .get(target)
            .is_some_and(|pool| pool.is_borrowing(now))
        {
            self.request_spare_slots(now, target);
        }
    }

    /// Asks other cells for spare slots, for requests at the head of the queue that have
    /// waited for a while.
    pub(super) fn request_spare_slots(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        if self.members.cell().covers_fleet || pool.shared || pool.queue.is_empty() {
            return;
        }
        let open_requests = self.open_requests.iter();
        let open = open_requests.filter(|(id, open_request)| {
            open_request.job.is_none() && self.targets.get(id) == Some(target)
        });
        let remaining = MAX_OPEN_SPARE_REQUESTS.saturating_sub(open.count());
        let asks_at_once = pool.is_borrowing(now) || pool.usable(now, &self.options.worker) == 0;
        let own_cell_for = self.options.policy.own_cell_for;
        let waiting = pool.queue.iter().take(self.options.policy.look_ahead);
        let seeking = waiting.filter(|(id, job)| {
            let waited = asks_at_once || now.since(job.arrived) >= own_cell_for;
            waited && !self.open_requests.contains_key(id)
        });
        let seeking: Vec<job::Id> = seeking.map(|(id, _)| id).take(remaining).collect();
        if seeking.is_empty() {
            return;
        }
        let key = u64::from(pool.number);
        self.spare_denied_at
            .retain(|_, denied| now.since(*denied) < DENIAL_VALIDITY);
        let owners = self
            .members
            .owners_in_other_cells(now, key, self.next_open_request);
        let owners = owners.into_iter();
        let mut owners: VecDeque<SocketAddrV4> = owners
            .filter(|owner| !self.was_denied(now, *owner, DENIAL_BACKOFF))
            .collect();
        for id in seeking {
            let job = self.pools.get(target).and_then(|pool| pool.queue.get(id));
            let mut candidates = owners.iter();
            let index =
                candidates.position(|owner| job.is_some_and(|job| self.may_run_on(job, *owner)));
            let Some(owner) = index.and_then(|index| owners.remove(index)) else {
                continue;
            };
            let lease_target = LeaseTarget {
                owner,
                endpoint: None,
            };
            self.request_slot(now, id, lease_target, None);
        }
    }

    fn was_denied(&self, now: Time, owner: SocketAddrV4, within: Span) -> bool {
        let denied_at = self.spare_denied_at.get(&owner);
        denied_at.is_some_and(|at| now.since(*at) < within)
    }

    /// Whether a request that waits here is likely to get a spare slot of another cell: one was granted
    /// lately, and not all cells have denied one since. The forecasts know only the slots of this cell.
    pub(super) fn may_get_spare_slot(&self, now: Time, job: &Job) -> bool {
        let Some(pool) = self.pools.get(&job.target) else {
            return false;
        };
        if self.members.cell().covers_fleet || pool.shared || !pool.is_borrowing(now) {
            return false;
        }
        let owners = self
            .members
            .owners_in_other_cells(now, u64::from(pool.number), 0);
        let mut owners = owners.into_iter();
        owners.any(|owner| {
            !self.was_denied(now, owner, DENIAL_VALIDITY) && self.may_run_on(job, owner)
        })
    }

    /// Grants another cell a slot that this cell doesn't need at the moment, or denies the
    /// request.
    pub(super) fn lend_spare_slot(
        &mut self,
        now: Time,
        id: job::Id,
        job: Job,
        remote: RemoteRequest,
    ) {
        let Some(origin) = job.origin else {
            return;
        };
        let pool = self.pools.get(&job.target);
        let choice = pool
            .filter(|pool| self.has_spare_slot(now, pool, &job))
            .and_then(|pool| self.cheapest(now, pool, &job, |_| 0, |_| true));
        let may_grant = !self.leaving && !self.gate.is_closed();
        let Some(choice) = choice.filter(|_| may_grant) else {
            self.send_lease_reply(origin, Answer::Denied);
            return;
        };
        self.remote_requests.insert(origin, remote);
        self.targets.insert(id, job.target.clone());
        self.start(now, id, job, choice);
    }

    fn has_spare_slot(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        let mut ranks = pool.queue.counts();
        if ranks.any(|(rank, _)| rank <= job.rank) {
            return false;
        }
        let usable = pool.usable_slots(now, &self.options.worker);
        let free = self.free_slots(now, pool);
        f64::from(free) > f64::from(usable) * RESERVED_FRACTION
    }
}
