//! Slots that one cell has to spare for requests of another.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::borrow::Asked;
use super::lend::Remote;
use crate::job;
use crate::job::Job;
use crate::lease::Answer;

/// Open questions of one service for slots of other cells.
const SPARE_MOST: usize = 8;

/// How long a cell that had no slot to spare is not asked again.
const DENIED_FOR: Span = Span::from_millis(200);

/// The part of a cell's usable slots that is not given to other cells, so that
/// the cell's own next requests need not wait.
const KEPT_PART: f64 = 0.1;

impl Dispatcher {
    /// Asks other cells for slots to spare, for requests at the head of the
    /// queue that found none in this cell for a while.
    pub(super) fn seek_spare(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target) else {
            return;
        };
        if self.members.cell().covers_fleet || pool.shared || pool.queue.is_empty() {
            return;
        }
        let questions = self.questions.iter();
        let open = questions
            .filter(|(id, question)| question.job.is_none() && self.places.get(id) == Some(target));
        let most = SPARE_MOST.saturating_sub(open.count());
        let without = pool.usable(now, &self.options.worker) == 0;
        let own_cell_for = self.options.policy.own_cell_for;
        let waiting = pool.queue.iter().take(self.options.policy.look_ahead);
        let seeking = waiting.filter(|(id, job)| {
            let waited = without || now.since(job.arrived) >= own_cell_for;
            waited && !self.questions.contains_key(id)
        });
        let seeking: Vec<job::Id> = seeking.map(|(id, _)| id).take(most).collect();
        if seeking.is_empty() {
            return;
        }
        let key = u64::from(pool.number);
        self.denied
            .retain(|_, denied| now.since(*denied) < DENIED_FOR);
        let owners = self
            .members
            .owners_in_other_cells(now, key, self.next_question);
        let owners = owners.into_iter();
        let mut owners: VecDeque<SocketAddrV4> = owners
            .filter(|owner| !self.denied.contains_key(owner))
            .collect();
        for id in seeking {
            let job = self.pools.get(target).and_then(|pool| pool.queue.get(id));
            let mut near = owners.iter();
            let at = near.position(|owner| job.is_some_and(|job| self.may_run_near(job, *owner)));
            let Some(owner) = at.and_then(|at| owners.remove(at)) else {
                continue;
            };
            let asked = Asked {
                owner,
                endpoint: None,
            };
            self.ask(now, id, asked, None);
        }
    }

    /// Gives another cell a slot that this one does not need now.
    pub(super) fn lend_spare(&mut self, now: Time, id: job::Id, job: Job, remote: Remote) {
        let Some(origin) = job.origin else {
            return;
        };
        let pool = self.pools.get(&job.target);
        let choice = pool
            .filter(|pool| self.has_spare(now, pool, &job))
            .and_then(|pool| self.cheapest(now, pool, &job, 0, |_| true));
        let Some(choice) = choice.filter(|_| !self.leaving) else {
            self.reply(origin, Answer::Denied);
            return;
        };
        self.remote.insert(origin, remote);
        self.places.insert(id, job.target.clone());
        self.start(now, id, job, choice);
    }

    fn has_spare(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        let mut ranks = pool.queue.counts();
        if ranks.any(|(rank, _)| rank <= job.rank) {
            return false;
        }
        let usable = pool.usable_slots(now, &self.options.worker);
        let free = self.free_slots(now, pool);
        f64::from(free) > f64::from(usable) * KEPT_PART
    }
}
