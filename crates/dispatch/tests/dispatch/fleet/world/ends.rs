//! Endpoints that end, by themselves or crashed by a request, and their replacements.

use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Job;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::Crash;
use super::Event;
use super::World;

/// The time from an endpoint's end to the start of its replacement.
const REPLACE_AFTER: Span = Span::from_secs(2);

/// How long the platform still lists an endpoint that has ended.
const UNLIST_AFTER: Span = Span::from_millis(3_600);

/// The time after which a caller retries a broken request.
const RETRY_AFTER: Span = Span::from_millis(300);

impl World {
    /// Ends an endpoint after a delay, whatever it runs.
    pub fn end_endpoint(&mut self, after: Span, endpoint: &id::Endpoint) {
        self.schedule(self.now + after, Event::Crash(endpoint.clone(), None));
    }

    /// Ends an endpoint, which closes the connections of all its requests.
    pub(super) fn crash(&mut self, endpoint: &id::Endpoint, under: Option<Fingerprint>) {
        if !self.ended.insert(endpoint.clone()) {
            return;
        }
        let when = self.now;
        if let Some(fingerprint) = under {
            self.crashes.push(Crash { when, fingerprint });
        }
        let engine = self.engines.remove(endpoint).unwrap_or_default();
        let seen = when + self.shape.latency;
        for (node, id) in engine.running.into_iter().chain(engine.waiting) {
            self.schedule(seen, Event::AttemptBroken(node, id, End::Lost));
            let refused = seen + Span(self.shape.latency.0 * 2);
            self.schedule(refused, Event::ConnectionRefused(node, endpoint.clone()));
        }
        self.schedule(when + REPLACE_AFTER, Event::Replace(endpoint.clone()));
        self.schedule(when + UNLIST_AFTER, Event::Unlist(endpoint.clone()));
    }

    /// Starts the replacement of an endpoint under a new name.
    pub(super) fn replace(&mut self, endpoint: &id::Endpoint) {
        let mut list = (*self.list).clone();
        list.revision += 1;
        let old = list.endpoints.iter().find(|one| one.name == *endpoint);
        let Some(old) = old.cloned() else {
            return;
        };
        list.endpoints.push(Endpoint {
            name: id::Endpoint::new(&format!("{endpoint}-again")),
            ..old
        });
        self.publish_to_readers(list);
    }

    /// Handles a broken attempt. If the node does not repeat it, the caller retries once, at
    /// another node.
    pub(super) fn handle_broken(&mut self, node: u16, id: job::Id, end: End) {
        let Some(dispatcher) = self.nodes.get_mut(&node) else {
            return;
        };
        let next = dispatcher.end(self.now, id, end);
        self.apply_decisions(node);
        if next == Next::Again || self.return_forwarded(node, id) {
            return;
        }
        self.outcomes
            .get_mut(&(node, id))
            .expect("the request arrived")
            .broken = true;
        let Some(job) = self.jobs.remove(&(node, id)) else {
            return;
        };
        let first = self.retried.insert(job.fingerprint);
        if first && !self.crashing.contains(&job.fingerprint) {
            let nodes: Vec<u16> = self.nodes.keys().copied().collect();
            let at = job.fingerprint.0 as usize % nodes.len();
            let (deadline, arrived) = (job.deadline, job.arrived);
            self.arrive(RETRY_AFTER, nodes[at], |when| Job {
                arrived: when,
                deadline: when + deadline.since(arrived),
                ..job
            });
        }
    }
}
