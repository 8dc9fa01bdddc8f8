//! Endpoints that are cold: what they bear, and how far apart requests go there.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::worker::Worker;

impl Pool {
    /// True while an endpoint is cold and there is a bound on what it bears then.
    pub(super) fn is_cold(&self, now: Time, worker: &Worker) -> bool {
        self.cold.is_some() && worker.cold.is_cold(now)
    }

    /// Slots of an endpoint that may be counted on. A cold one takes its requests
    /// one after the other, and one that names a rate limit runs no more at once than
    /// come within the time of a call.
    pub(super) fn slots_of(&self, now: Time, worker: &Worker) -> u32 {
        let slots = worker.endpoint.slots;
        if self.is_cold(now, worker) {
            return slots.min(1);
        }
        let Some(limit) = worker.rate_limit.limit_opt() else {
            return slots;
        };
        let at_once = limit.per_second() * Span(self.call_us as u64).as_secs_f64();
        slots.min(at_once.ceil() as u32)
    }
}

impl Dispatcher {
    /// The time between two starts of this node at a cold endpoint of a service:
    /// longer than what the endpoint bears by the part of the fleet that is not
    /// heard. Nothing where the service has no bound.
    pub(super) fn cold_interval_opt(&self, now: Time, pool: &Pool) -> Option<Span> {
        let interval = pool.cold?.interval;
        Some(self.members.reach(now).stretch(interval))
    }
}
