//! Processing of what endpoints state about themselves in the heads of answers.

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Run;
use crate::job;
use crate::lease;
use crate::notice::Announcement;
use crate::notice::Change;
use crate::notice::Condition;
use crate::notice::Field;
use crate::notice::Notice;
use crate::notice::Update;
use crate::worker::Worker;

impl Dispatcher {
    /// Applies the notice in the head of a request's answer to the endpoint that runs the
    /// request. Returns what changed.
    pub fn apply_notice(&mut self, now: Time, id: job::Id, notice: &Notice) -> Vec<Change> {
        let cold = notice
            .cold_for
            .and_then(|cold_for| self.record_cold(now, id, cold_for));
        let limit = match notice.rate_limit {
            Field::Unknown => None,
            Field::Absent => self.record_rate_limit(now, id, None),
            Field::Given(limit) => self.record_rate_limit(now, id, Some(limit)),
        };
        let tolerance = match notice.tolerance {
            Field::Unknown => None,
            Field::Absent => self.record_tolerance(now, id, None),
            Field::Given(tolerance) => self.record_tolerance(now, id, Some(tolerance)),
        };
        let leaving = notice.leaving.then(|| self.record_leaving(id)).flatten();
        let rest = notice.rest.and_then(|rest| self.record_rest(now, id, rest));
        let changes = cold.into_iter().chain(limit).chain(tolerance);
        changes.chain(leaving).chain(rest).collect()
    }

    /// Returns a running request and the endpoint that runs it.
    pub(super) fn run_and_worker_mut(&mut self, id: job::Id) -> Option<(&Run, &mut Worker)> {
        let run = self.runs.get(&id)?;
        let pool = self.pools.get_mut(&run.job.target)?;
        Some((run, &mut pool.workers[run.worker]))
    }

    /// Records that an endpoint is leaving. This is announced immediately, because each
    /// other node would otherwise learn it only from a request that it sends there.
    fn record_leaving(&mut self, id: job::Id) -> Option<Change> {
        let (_, worker) = self.run_and_worker_mut(id)?;
        worker.leaving = true;
        let number = worker.number;
        let new = self.leaving_endpoints.insert(number);
        self.urgent |= new;
        self.has_news |= new;
        new.then_some(Change::Leaving)
    }

    /// Records endpoint notices that another node announced.
    pub(super) fn receive_announcements(&mut self, now: Time, announcements: &[Announcement]) {
        for announcement in announcements {
            match announcement.condition {
                Condition::Leaving => self.receive_leaving(announcement.endpoint),
                Condition::Rest { left_ms } => {
                    let until = now + Span::from_millis(u64::from(left_ms));
                    let received = self
                        .received_rests
                        .entry(announcement.endpoint)
                        .or_default();
                    *received = until.max(*received);
                }
            }
        }
    }

    fn receive_leaving(&mut self, endpoint: u32) {
        if !self.leaving_endpoints.insert(endpoint) {
            return;
        }
        let workers = self.pools.values_mut().flat_map(|pool| &mut pool.workers);
        for worker in workers.filter(|worker| worker.number == endpoint) {
            worker.leaving = true;
            self.endpoint_updates
                .push(Update::new(worker, Change::Leaving));
        }
    }

    /// Returns what endpoints stated and the platform's lists do not contain, ordered by
    /// endpoint.
    pub(super) fn announcements(&self, now: Time) -> Vec<Announcement> {
        let workers = self.pools.values().flat_map(|pool| &pool.workers);
        let open = workers.filter(|worker| worker.listed && !worker.endpoint.leaving);
        let mut announcements: Vec<Announcement> = open
            .filter_map(|worker| to_announcement_opt(now, worker))
            .collect();
        announcements.sort_by_key(|announcement| announcement.endpoint);
        announcements
    }

    /// Records that an endpoint rejected a request and asked this node to send nothing for
    /// a while.
    fn record_rest(&mut self, now: Time, id: job::Id, rest: Span) -> Option<Change> {
        let incarnation = self.options.incarnation;
        let (_, worker) = self.run_and_worker_mut(id)?;
        let drawn = hash::chain(incarnation, &worker.number.to_le_bytes());
        if !worker.rest.extend(now, rest, drawn) {
            return None;
        }
        self.urgent = true;
        Some(Change::Rest { duration: rest })
    }

    /// Applies the rests announced since the last tick, reports those that have ended, and
    /// drops outdated assumptions on tolerances.
    pub(super) fn update_rests(&mut self, now: Time) {
        let received = std::mem::take(&mut self.received_rests);
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            if let Some(until) = received.get(&worker.number) {
                worker.rest.extend_remote(*until);
            }
            worker.tolerance.expire_assumption(now);
            if worker.rest.take_end(now) {
                self.endpoint_updates
                    .push(Update::new(worker, Change::Rested));
            }
        }
    }

    /// Records that an endpoint stated in an answer that it is cold.
    pub(super) fn record_cold(&mut self, now: Time, id: job::Id, cold_for: Span) -> Option<Change> {
        let (run, worker) = self.run_and_worker_mut(id)?;
        let lease = run.lease;
        let was_cold = worker.cold.is_cold(now);
        worker.cold.extend(now, cold_for);
        if let Some(lease) = lease {
            self.send_lease_report(lease.owner, lease.number, lease::Event::Cold { cold_for });
        }
        (!was_cold).then_some(Change::Cold { duration: cold_for })
    }
}

/// Returns the announcement of what an endpoint stated to this node, if there is anything
/// to announce.
fn to_announcement_opt(now: Time, worker: &Worker) -> Option<Announcement> {
    let remaining = worker.rest.left(now);
    let condition = match worker.leaving {
        true => Condition::Leaving,
        false if remaining == Span::ZERO => return None,
        false => Condition::Rest {
            left_ms: u32::try_from(remaining.0 / 1_000).unwrap_or(u32::MAX),
        },
    };
    Some(Announcement {
        endpoint: worker.number,
        condition,
    })
}
