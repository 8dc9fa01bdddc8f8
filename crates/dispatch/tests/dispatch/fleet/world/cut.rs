//! Nodes whose links to all endpoints are lost, and requests that other nodes run for them.

use woadstage_dispatch::dispatcher::ForwardEnd;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::link::Probe;
use woadstage_types::unit::Span;

use super::Event;
use super::Outcome;
use super::World;

/// The time after which a probe fails, or a connection can't be opened.
const CONNECT_TIMEOUT: Span = Span::from_millis(400);

/// The time after which an open connection breaks that carries nothing.
const BREAK_AFTER: Span = Span::from_millis(2_500);

impl World {
    /// Whether a node is cut off from all endpoints.
    pub(super) fn is_cut(&self, node: u16) -> bool {
        self.cut.contains(&node)
    }

    /// Handles a request that a cut node sends: it hangs on an open connection.
    pub(super) fn hang(&mut self, node: u16, id: job::Id) {
        if let Some(outcome) = self.outcomes.get_mut(&(node, id)) {
            outcome.decided += 1;
        }
        let broken = Event::AttemptBroken(node, id, End::Lost);
        self.schedule(self.now + BREAK_AFTER, broken);
    }

    /// Starts the probes that are due at a node.
    pub(super) fn start_probes(&mut self, node: u16) {
        let now = self.now;
        let Some(dispatcher) = self.nodes.get_mut(&node) else {
            return;
        };
        for target in dispatcher.take_probe_targets(now) {
            let (after, probe) =
                match self.is_cut(node) || self.ended.contains(&target.endpoint.name) {
                    true => (CONNECT_TIMEOUT, Probe::Failed),
                    false => (self.shape.latency, Probe::Answered),
                };
            let endpoint = Box::new((*target.endpoint).clone());
            self.schedule(now + after, Event::Probed(node, endpoint, probe));
        }
    }

    pub(super) fn finish_probe(&mut self, node: u16, endpoint: &Endpoint, probe: Probe) {
        let now = self.now;
        if let Some(dispatcher) = self.nodes.get_mut(&node) {
            dispatcher.record_probe(now, endpoint, probe);
            self.apply_decisions(node);
        }
    }

    /// Sends a request to another node, which runs it.
    pub(super) fn forward(&mut self, node: u16, id: job::Id, to: u16) {
        let arrival = Event::ForwardArrives { node, id, to };
        self.schedule(self.now + self.shape.latency, arrival);
    }

    pub(super) fn receive_forwarded(&mut self, node: u16, id: job::Id, to: u16) {
        let job = self.jobs.get(&(node, id)).cloned();
        let Some((dispatcher, job)) = self.nodes.get_mut(&to).zip(job) else {
            self.end_forward(node, id, ForwardEnd::NotSent);
            return;
        };
        let job = Job {
            is_forwarded: true,
            ..job
        };
        let outcome = Outcome {
            decided: 0,
            began: None,
            ..self.outcomes[&(node, id)]
        };
        let there = dispatcher.enter(self.now, job);
        self.forwarded.insert((to, there), (node, id));
        self.outcomes.insert((to, there), outcome);
        self.apply_decisions(to);
    }

    /// Returns the end of a forwarded request to the node that forwarded it. Returns whether the
    /// request was forwarded.
    pub(super) fn return_forwarded(&mut self, to: u16, there: job::Id) -> bool {
        let Some((node, id)) = self.forwarded.remove(&(to, there)) else {
            return false;
        };
        let outcome = self.outcomes.remove(&(to, there));
        if let Some(outcome) = outcome {
            self.outcomes.insert((node, id), outcome);
        }
        self.end_forward(node, id, ForwardEnd::Answered);
        true
    }

    fn end_forward(&mut self, node: u16, id: job::Id, end: ForwardEnd) {
        let now = self.now;
        if let Some(dispatcher) = self.nodes.get_mut(&node) {
            let next = dispatcher.end_forward(now, id, end);
            assert!(end == ForwardEnd::Answered || next == Next::Again);
            self.apply_decisions(node);
        }
    }

    /// Whether an endpoint's answer can't reach a node. The connection breaks later.
    pub(super) fn is_answer_lost(&mut self, node: u16, id: job::Id) -> bool {
        if !self.is_cut(node) {
            return false;
        }
        self.hang(node, id);
        true
    }
}
