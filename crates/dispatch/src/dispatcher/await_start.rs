//! Take-ups that wait until doubts about the starts of endpoints are settled.

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::take_up::Source;
use crate::job;

/// How long a take-up waits until a doubt about the start of an endpoint is settled. Callers take a
/// stream that is silent for longer for dead.
const MAX_SETTLING_WAIT: Span = Span::from_millis(2_300);

/// How often it is looked whether the doubt is settled.
const SETTLING_INTERVAL: Span = Span::from_millis(100);

impl Dispatcher {
    /// Returns when the first doubt about an open endpoint is settled that is listed with this version,
    /// or any, at which an inquiry's request may run.
    pub(super) fn first_settled_at_opt(
        &self,
        id: job::Id,
        software: Option<&id::Software>,
    ) -> Option<Time> {
        let inquiry = self.inquiries.get(&id)?;
        let pool = self.pools.get(&inquiry.job.target)?;
        let workers = pool.workers.iter();
        let doubted = workers.filter(|worker| {
            let listed = worker.endpoint.software.as_ref();
            worker.is_open() && (software.is_none() || listed == software)
        });
        let settled_at =
            doubted.filter_map(|worker| worker.start.settled_at_opt(self.platform_lost_at));
        settled_at.min()
    }

    /// Has an inquiry wait until a doubt is settled, or ends it if that takes too long.
    pub(super) fn wait_until_settled(&mut self, now: Time, id: job::Id, settled_at: Time) {
        let Some(inquiry) = self.inquiries.get_mut(&id) else {
            return;
        };
        inquiry.settled_at = Some(settled_at);
        if settled_at.since(inquiry.began) <= MAX_SETTLING_WAIT {
            inquiry.repeats_at = Some(now + SETTLING_INTERVAL);
            return;
        }
        self.end_inquiry(now, id, Source::Doubted, None, None);
    }

    /// Returns when an endpoint of this version can be used, if the starts of all that are open are in
    /// doubt and that takes no longer than an inquiry may wait.
    pub(super) fn needed_start_settled_at_opt(
        &self,
        now: Time,
        id: job::Id,
        software: Option<&id::Software>,
    ) -> Option<Time> {
        let inquiry = self.inquiries.get(&id)?;
        let software = software?;
        let pool = self.pools.get(&inquiry.job.target)?;
        let mut workers = pool.workers.iter();
        let has_certain =
            workers.any(|worker| worker.is_open() && worker.software_opt() == Some(software));
        let settled_at = self.first_settled_at_opt(id, Some(software))?;
        let is_in_time = settled_at.since(inquiry.began) <= MAX_SETTLING_WAIT;
        (!has_certain && is_in_time && settled_at > now).then_some(settled_at)
    }

    /// Repeats inquiries that wait for a doubt to be settled.
    pub(super) fn repeat_waiting_inquiries(&mut self, now: Time) {
        let waiting = self.inquiries.iter();
        let waiting = waiting.filter(|(_, inquiry)| inquiry.repeats_at.is_some_and(|at| now >= at));
        let waiting: Vec<job::Id> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            if let Some(inquiry) = self.inquiries.get_mut(&id) {
                inquiry.repeats_at = None;
            }
            self.inquire(now, id);
        }
    }
}
