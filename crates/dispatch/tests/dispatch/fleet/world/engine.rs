//! Simulated endpoints and the requests that run and wait there.

use std::collections::VecDeque;

use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::stated_load;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::Event;
use super::World;
use crate::support::MODEL;

/// The time to the first event of an answer.
const FIRST_EVENT_AFTER: Span = Span::from_millis(20);

/// The time after which a crashing request ends the endpoint that runs it.
const CRASH_AFTER: Span = Span::from_millis(70);

/// The requests of one endpoint.
#[derive(Debug, Default)]
pub struct Engine {
    /// The requests that run.
    pub running: Vec<(u16, job::Id)>,
    /// The requests that wait, the oldest first.
    pub waiting: VecDeque<(u16, job::Id)>,
}

impl World {
    /// Runs a request at an endpoint, or queues it if all slots are taken.
    pub(super) fn start_run(&mut self, node: u16, id: job::Id, endpoint: &id::Endpoint) {
        let outcome = self
            .outcomes
            .get_mut(&(node, id))
            .expect("the request arrived");
        outcome.decided += 1;
        if self.ended.contains(endpoint) {
            let refused = self.now + self.shape.latency;
            self.schedule(refused, Event::AttemptBroken(node, id, End::NotSent));
            return;
        }
        let fingerprint = outcome.fingerprint;
        let arrivals = self.arrivals.entry(endpoint.clone()).or_default();
        arrivals.push(self.now);
        if self.crashing.contains(&fingerprint) {
            self.crash_arrivals.push((self.now, node, fingerprint));
        }
        let engine = self.engines.entry(endpoint.clone()).or_default();
        if engine.running.len() >= self.shape.slots as usize {
            outcome.queued = true;
            engine.waiting.push_back((node, id));
            return;
        }
        outcome.began = Some(self.now);
        engine.running.push((node, id));
        if self.crashing.contains(&fingerprint) {
            let crash = Event::Crash(endpoint.clone(), Some(fingerprint));
            self.schedule(self.now + CRASH_AFTER, crash);
        }
        // Call times vary from half to one and a half times the configured time.
        let spread = hash::chain(id.0, &node.to_le_bytes()) % self.shape.call_time.0;
        let call = Span(self.shape.call_time.0 / 2 + spread);
        let end_of = |work| match self.shape.slow {
            Some(slow) => slow.end_of(endpoint, self.now, work),
            None => self.now + work,
        };
        let (first, end) = (end_of(FIRST_EVENT_AFTER), end_of(call));
        self.schedule(first, Event::FirstOutput(node, id, endpoint.clone()));
        self.schedule(end, Event::Finish(node, id, endpoint.clone()));
    }

    /// Completes a request and starts the next that waits.
    pub(super) fn finish_run(&mut self, node: u16, id: job::Id, endpoint: &id::Endpoint) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let Some(at) = engine.running.iter().position(|one| *one == (node, id)) else {
            return;
        };
        engine.running.remove(at);
        let outcome = self
            .outcomes
            .get_mut(&(node, id))
            .expect("the request arrived");
        outcome.whole = true;
        outcome.completed = Some(self.now);
        // The head of a stream states a load, not its end.
        let load = self
            .stated_load_opt(endpoint)
            .filter(|_| self.shape.service != MODEL);
        match self.shape.endpoint_latency {
            Span::ZERO => self.end_answered(node, id, load),
            latency => self.schedule(self.now + latency, Event::Answered(node, id, load)),
        }
        let engine = self.engines.get_mut(endpoint).expect("the engine runs");
        let Some((node, id)) = engine.waiting.pop_front() else {
            return;
        };
        let decided = self.outcomes[&(node, id)].decided;
        self.start_run(node, id, endpoint);
        // Its arrival and decision were counted before it waited here.
        self.arrivals
            .get_mut(endpoint)
            .expect("the request arrived")
            .pop();
        if self
            .crashing
            .contains(&self.outcomes[&(node, id)].fingerprint)
        {
            self.crash_arrivals.pop();
        }
        self.outcomes
            .get_mut(&(node, id))
            .expect("the request arrived")
            .decided = decided;
    }

    /// Counts the requests that run and that wait at endpoints.
    pub fn at_endpoints(&self) -> (usize, usize) {
        let engines = self.engines.values();
        engines.fold((0, 0), |(running, waiting), engine| {
            (
                running + engine.running.len(),
                waiting + engine.waiting.len(),
            )
        })
    }

    /// Reports the whole answer of a request to its node.
    pub(super) fn end_answered(&mut self, node: u16, id: job::Id, load: Option<stated_load::Load>) {
        if self.is_answer_lost(node, id) {
            return;
        }
        if let Some(dispatcher) = self.nodes.get_mut(&node) {
            if let Some(load) = load {
                dispatcher.record_stated_load(self.now, id, load);
            }
            dispatcher.end(self.now, id, End::Whole);
            self.apply_decisions(node);
            self.return_forwarded(node, id);
        }
    }

    /// Returns the load that an endpoint states in the head of a stream.
    pub(super) fn load_of_stream_opt(&self, endpoint: &id::Endpoint) -> Option<stated_load::Load> {
        let load = self.stated_load_opt(endpoint)?;
        (self.shape.service == MODEL).then_some(stated_load::Load {
            running: load.running - 1,
            ..load
        })
    }

    /// Returns the load that an endpoint states, with a request that is about to end there.
    fn stated_load_opt(&self, endpoint: &id::Endpoint) -> Option<stated_load::Load> {
        let engine = self
            .engines
            .get(endpoint)
            .filter(|_| self.shape.states_load)?;
        let slow = self.shape.slow;
        let slowness = slow.map(|slow| slow.percent_at(endpoint, self.now));
        let slowness = slowness.unwrap_or(stated_load::USUAL_SLOWNESS);
        Some(stated_load::Load {
            running: engine.running.len() as u16 + 1,
            waiting: engine.waiting.len() as u16,
            slots: self.shape.slots as u16,
            slowness: Some(slowness),
        })
    }
}
