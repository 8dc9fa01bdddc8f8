//! Endpoints that fall over if they have to reject too many requests within a second.

use woadstage_dispatch::job;
use woadstage_dispatch::map::HashMap;
use woadstage_dispatch::tolerance::Tolerance;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Event;
use super::World;

/// The time from the first statement until fewer requests may wait at an endpoint.
const GRACE: Span = Span::from_secs(3);

/// The time over which rejections count.
const WINDOW: Span = Span::from_secs(1);

/// What all endpoints tolerate from a time on.
#[derive(Debug, Clone)]
pub struct Brittle {
    since: Time,
    tolerance: u32,
    /// The number of requests that may wait at an endpoint.
    room: usize,
    rejected: HashMap<id::Endpoint, Vec<Time>>,
    /// When endpoints fell over.
    pub falls: Vec<Time>,
}

impl Brittle {
    /// Makes endpoints brittle from now on.
    pub fn new(now: Time, tolerance: u32, room: usize) -> Brittle {
        Brittle {
            since: now,
            tolerance,
            room,
            rejected: HashMap::default(),
            falls: Vec::new(),
        }
    }

    /// What the endpoints state.
    pub fn tolerance(&self) -> Tolerance {
        self.tolerance.to_string().parse().expect("a tolerance")
    }

    /// The number of requests that were rejected.
    pub fn rejections(&self) -> usize {
        self.rejected.values().map(Vec::len).sum()
    }

    /// Records a rejection. Returns whether the endpoint falls over.
    fn reject(&mut self, now: Time, endpoint: &id::Endpoint) -> bool {
        let rejected = self.rejected.entry(endpoint.clone()).or_default();
        rejected.push(now);
        let recent = rejected.iter().filter(|at| now.since(**at) < WINDOW);
        let falls = recent.count() > self.tolerance as usize;
        if falls {
            self.falls.push(now);
        }
        falls
    }
}

impl World {
    /// Rejects a request if an endpoint has no room for it. Returns whether it did.
    pub(super) fn reject_for_want_of_room(
        &mut self,
        node: u16,
        id: job::Id,
        endpoint: &id::Endpoint,
    ) -> bool {
        let now = self.now;
        let slots = self.shape.slots as usize;
        let Some(brittle) = &mut self.brittle else {
            return false;
        };
        let has_room = self.engines.get(endpoint).is_none_or(|engine| {
            engine.running.len() < slots || engine.waiting.len() < brittle.room
        });
        if now < brittle.since + GRACE || has_room || self.ended.contains(endpoint) {
            return false;
        }
        let falls = brittle.reject(now, endpoint);
        let outcome = self.outcomes.get_mut(&(node, id));
        outcome.expect("the request arrived").decided += 1;
        let heard = now + self.shape.latency;
        self.schedule(heard, Event::Rejected(node, id, endpoint.clone()));
        if falls {
            self.schedule(now, Event::Crash(endpoint.clone(), None));
        }
        true
    }
}
