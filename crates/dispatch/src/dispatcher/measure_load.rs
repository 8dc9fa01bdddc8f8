//! Records the load that endpoints state, and tells it to the owners of their slots.

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Run;
use crate::job;
use crate::stated_load;
use crate::stated_load::VALID_FOR;

impl Dispatcher {
    /// Records the load that an endpoint stated in the answer to a request.
    pub fn record_stated_load(&mut self, now: Time, id: job::Id, load: stated_load::Load) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.stated_load = Some((now, load));
        let Some(pool) = self.pools.get_mut(&run.job.target) else {
            return;
        };
        let look_ahead = self.options.policy.look_ahead;
        let worker = &mut pool.workers[run.worker];
        worker.stated_load = Some((now, load));
        if let Some(percent) = load.slowness {
            worker.slowness.record(now, percent);
        }
        let mut waiting = pool.queue.iter().take(look_ahead);
        let is_awaited = waiting.any(|(_, job)| {
            let only = job.only_endpoint;
            only.is_none_or(|only| only == worker.number)
        });
        worker.depth.learn(now, load, is_awaited);
        pool.has_variable_capacity = pool.states_present_speed();
    }

    /// Returns the load that an endpoint stated last, and when this node learned it.
    pub fn stated_load_opt(
        &self,
        target: &id::Target,
        endpoint: u32,
    ) -> Option<(Time, stated_load::Load)> {
        self.worker_opt(target, endpoint)?.stated_load
    }

    /// Returns the load to report to the owner of a request's slot, if a part of the policy that
    /// uses it applies to the service. The owner dates a load by the report, so an old one is not
    /// reported, for example at the end of a stream whose head stated it.
    pub(super) fn load_to_report_opt(&self, now: Time, run: &Run) -> Option<stated_load::Load> {
        let (at, load) = run.stated_load?;
        let policy = &self.options.policy;
        let pool = self.pools.get(&run.job.target)?;
        // An owner that runs no request itself learns from reports that capacity varies.
        let mut parts = [
            policy.slot_depth,
            policy.present_speed,
            policy.position_forecast,
            policy.fair_shares,
            policy.bookings,
            policy.redirects,
        ]
        .into_iter();
        let applies = parts.any(|part| part.applies(pool.has_variable_capacity));
        (applies && now.since(at) < VALID_FOR).then_some(load)
    }

    /// Returns the load to report to the owner of a request's slot like
    /// [`Self::load_to_report_opt`], once.
    pub(super) fn take_load_to_report(
        &mut self,
        now: Time,
        id: job::Id,
    ) -> Option<stated_load::Load> {
        let load = self.load_to_report_opt(now, self.runs.get(&id)?);
        self.runs.get_mut(&id)?.stated_load = None;
        load
    }
}

impl Pool {
    /// Whether most endpoints that state their load also state how long work takes there at
    /// present. A single wrong statement must not change the policy of a service.
    fn states_present_speed(&self) -> bool {
        let loads = self.workers.iter().filter_map(|worker| worker.stated_load);
        let (with, without): (Vec<_>, Vec<_>) =
            loads.partition(|(_, load)| load.slowness.is_some());
        with.len() > without.len()
    }
}
