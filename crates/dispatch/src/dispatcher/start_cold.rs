//! Cold endpoints: their capacity and the interval between requests to them.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::worker::Worker;

impl Pool {
    /// Whether an endpoint is cold and its service limits starts at cold endpoints.
    pub(super) fn is_cold(&self, now: Time, worker: &Worker) -> bool {
        self.cold.is_some() && worker.cold.is_cold(now)
    }

    /// Returns the number of slots of an endpoint that can be used. A cold endpoint runs
    /// its requests one after the other, and one with a rate limit runs no more at once
    /// than it accepts within the duration of a call.
    pub(super) fn slots_of(&self, now: Time, worker: &Worker) -> u32 {
        let slots = worker.usable_slots();
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
    /// Returns the interval between two requests of this node to a cold endpoint of a
    /// service. It is lengthened in proportion to the part of the fleet that this node
    /// cannot reach. `None` if the service has no limit.
    pub(super) fn cold_interval_opt(&self, now: Time, pool: &Pool) -> Option<Span> {
        let interval = pool.cold?.interval;
        Some(self.members.reach(now).scale_interval(interval))
    }
}
