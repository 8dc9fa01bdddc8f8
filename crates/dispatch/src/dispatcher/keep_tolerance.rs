//! How many rejections endpoints tolerate, by their answers: recording and announcing it.

use std::net::SocketAddrV4;

use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::job;
use crate::notice::Change;
use crate::notice::Update;
use crate::tolerance::Announcement;
use crate::tolerance::Tolerance;

impl Dispatcher {
    /// Records the tolerance stated in the head of an answer, or that it states none. Returns the
    /// change, if there is one.
    pub(super) fn record_tolerance(
        &mut self,
        now: Time,
        id: job::Id,
        tolerance: Option<Tolerance>,
    ) -> Option<Change> {
        let (run, worker) = self.run_and_worker_mut(id)?;
        let started = run.started;
        let before = worker.tolerance.tolerance_opt();
        if !worker.tolerance.record_answer(now, started, tolerance) {
            return None;
        }
        self.urgent = true;
        self.has_news = true;
        Some(Change::Tolerance {
            before,
            after: tolerance,
        })
    }

    /// Applies the tolerances and rejections that another node announced.
    pub(super) fn receive_tolerances(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        announcements: &[Announcement],
    ) {
        for announcement in announcements {
            let number = announcement.statement.endpoint;
            let workers = self.pools.values_mut().flat_map(|pool| &mut pool.workers);
            for worker in workers.filter(|worker| worker.number == number) {
                let before = worker.tolerance.tolerance_opt();
                let is_changed = worker
                    .tolerance
                    .record_announcement(now, from, *announcement);
                if is_changed {
                    let after = worker.tolerance.tolerance_opt();
                    let change = Change::Tolerance { before, after };
                    self.endpoint_updates.push(Update::new(worker, change));
                }
            }
        }
    }

    /// Returns the tolerances to announce, ordered by endpoint.
    pub(super) fn tolerances_to_announce(&self, now: Time) -> Vec<Announcement> {
        let workers = self.pools.values().flat_map(|pool| &pool.workers);
        let listed = workers.filter(|worker| worker.listed);
        let announcements =
            listed.filter_map(|worker| worker.tolerance.to_announcement_opt(now, worker.number));
        let mut announcements: Vec<Announcement> = announcements.collect();
        announcements.sort_by_key(|announcement| announcement.statement.endpoint);
        announcements
    }
}
