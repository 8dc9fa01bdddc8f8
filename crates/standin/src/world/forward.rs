//! Answers on their way to callers, and requests passed from node to node.

use woadstage_core::node::Event;
use woadstage_core::pool::Peer;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::Answer;
use super::World;

impl World {
    /// An answer leaves a node: to the caller, or back to the node that
    /// passed the request on.
    pub(super) fn answer(&mut self, node: usize, request: id::Request, answer: Answer) {
        let run = self.hosts[node].incarnation;
        let Some(from) = self.forwards.remove(&(run, request)) else {
            // Passed on and then given up by the node that passed it on: what
            // is said here reaches nobody.
            if self
                .asked
                .get(&request)
                .is_some_and(|asked| asked.node == node)
            {
                self.deliver(request, answer);
            }
            return;
        };
        let Some(back) = self.host(&from.host) else {
            return;
        };
        let at = self.now + self.options.hop;
        self.at(at, move |world| {
            if !world.is_current(back, from.incarnation) || world.is_cut(node, back) {
                return;
            }
            // A passing-on that was stopped takes no answer in any more.
            if world.passing.remove(&(from.incarnation, request)) {
                world.deliver(request, answer);
                world.tell(back, Event::ForwardEnded(request));
            }
        });
    }

    pub(super) fn deliver(&mut self, request: id::Request, answer: Answer) {
        let now = self.now;
        if let Some(asked) = self.asked.get_mut(&request) {
            asked.answers.push((now, answer));
        }
    }

    pub(super) fn forward(&mut self, node: usize, request: id::Request, to: &id::Host, left: Span) {
        let host = &self.hosts[node];
        let from = Peer {
            host: host.name.clone(),
            incarnation: host.incarnation,
        };
        let Some(to) = self.host(to) else { return };
        let Some(mut arrival) = self.arrivals.get(&request).cloned() else {
            return;
        };
        arrival.timeout = Some(left);
        arrival.from = Some(from.host.clone());
        let run = self.hosts[to].incarnation;
        self.passing.insert((from.incarnation, request));
        if self.is_cut(node, to) || self.hosts[to].node.is_none() {
            self.lose_forward(from, request, self.options.silence);
            return;
        }
        self.forwards.insert((run, request), from);
        let at = self.now + self.options.hop;
        let event = Event::Arrive(arrival);
        self.tell_at(at, to, run, event);
    }

    pub(super) fn lose_forward(&mut self, from: Peer, request: id::Request, after: Span) {
        let Some(node) = self.host(&from.host) else {
            return;
        };
        let at = self.now + after;
        let event = Event::ForwardLost(request);
        let incarnation = from.incarnation;
        self.tell_at(at, node, incarnation, event);
    }

    /// Requests passed to a run that died are lost to those who passed them.
    pub(super) fn lose_forwards(&mut self, _: usize, run: id::Incarnation, after: Span) {
        for request in self.passed(|at, _| at == run) {
            if let Some(from) = self.forwards.remove(&(run, request)) {
                self.lose_forward(from, request, after);
            }
        }
    }

    /// Requests passed between two hosts that are cut off now: both lose them.
    pub(super) fn lose_forwards_between(
        &mut self,
        at: usize,
        run: id::Incarnation,
        other: usize,
        after: Span,
    ) {
        let peer = self.hosts[other].incarnation;
        for request in self.passed(|to, from| to == run && from == peer) {
            let Some(from) = self.forwards.remove(&(run, request)) else {
                continue;
            };
            self.lose_forward(from, request, after);
            let when = self.now + after;
            let event = Event::CallerGone(request);
            self.tell_at(when, at, run, event);
        }
    }

    pub(super) fn passed(
        &self,
        chosen: impl Fn(id::Incarnation, id::Incarnation) -> bool,
    ) -> Vec<id::Request> {
        let all = self
            .forwards
            .iter()
            .filter(|((to, _), from)| chosen(*to, from.incarnation));
        let mut requests: Vec<id::Request> = all.map(|((_, request), _)| *request).collect();
        requests.sort();
        requests
    }
}
