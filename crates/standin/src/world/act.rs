//! Carries out what cores want done, as a shell would.

use rand::RngExt;
use woadstage_core::message::Message;
use woadstage_core::node::Action;
use woadstage_core::node::Event;
use woadstage_core::node::Refusal;
use woadstage_core::pool::Peer;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::Answer;
use super::CallId;
use super::World;
use super::item::Item;
use super::item::Mail;
use super::serve::Reach;

impl World {
    pub(super) fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, &to, message),
            Action::Call { .. } => self.call(node, action),
            Action::Cancel { request, attempt } => self.cancel(node, request, attempt),
            Action::Refuse { request, refusal } => self.refuse(node, request, refusal),
            Action::Forward { request, to, left } => self.forward(node, request, &to, left),
            Action::Replay { request, of } => {
                let run = self.hosts[node].incarnation;
                match self.recorded.get(&(run, of)).cloned() {
                    Some(what) => self.answer(node, request, Answer::Whole { what }),
                    None => self.refuse(node, request, Refusal::new(Code::AnswerDropped)),
                }
            }
            Action::DropAnswer(request) => {
                let run = self.hosts[node].incarnation;
                self.recorded.remove(&(run, request));
            }
            Action::Ended(ended) => {
                let run = self.hosts[node].incarnation;
                if !self.forwards.contains_key(&(run, ended.request)) {
                    self.ended.push(ended);
                }
            }
            Action::Wasted(..) | Action::Config { .. } => {}
        }
    }

    pub(super) fn send(&mut self, node: usize, to: &id::Host, message: Message) {
        let Some(to) = self.host(to) else { return };
        self.messages += 1;
        let host = &self.hosts[node];
        let from = Peer {
            host: host.name.clone(),
            incarnation: host.incarnation,
        };
        let incarnation = self.hosts[to].incarnation;
        if self.is_cut(node, to) || self.rng.random_range(0..1_000) < self.options.lost {
            return;
        }
        let doubled = self.rng.random_range(0..1_000) < self.options.doubled;
        for _ in 0..=usize::from(doubled) {
            let late = Span(self.rng.random_range(0..=self.options.jitter.0));
            let at = self.now + self.options.hop + late;
            let mail = Box::new(Mail {
                from: from.clone(),
                message: message.clone(),
            });
            self.push(
                at,
                Item::Mail {
                    node: to,
                    incarnation,
                    mail,
                },
            );
        }
    }

    pub(super) fn call(&mut self, node: usize, action: Action) {
        let Action::Call {
            request,
            attempt,
            endpoint,
            tier,
            priority,
            key,
            record,
            ..
        } = action
        else {
            return;
        };
        self.called += 1;
        let incarnation = self.hosts[node].incarnation;
        let call = CallId {
            request,
            attempt,
            incarnation,
        };
        let Some(endpoint) = self
            .endpoints
            .iter()
            .position(|known| known.name == endpoint)
        else {
            return;
        };
        let reach = Reach {
            node,
            endpoint,
            call,
            tier,
            priority,
            key,
            record,
        };
        let at = self.now + self.options.endpoint_hop;
        self.push(at, Item::Reach(Box::new(reach)));
    }

    /// Calls an endpoint for a noted request without any core.
    pub fn call_directly(&mut self, node: usize, request: id::Request, endpoint: usize, tier: u8) {
        self.called += 1;
        let incarnation = self.hosts[node].incarnation;
        let call = CallId {
            request,
            attempt: 1,
            incarnation,
        };
        let priority = true;
        let reach = Reach {
            node,
            endpoint,
            call,
            tier,
            priority,
            key: None,
            record: false,
        };
        let at = self.now + self.options.endpoint_hop;
        self.push(at, Item::Reach(Box::new(reach)));
    }

    /// Closes a direct call.
    pub fn hang_up(&mut self, node: usize, request: id::Request) {
        self.cancel(node, request, 1);
    }

    pub(super) fn cancel(&mut self, node: usize, request: id::Request, attempt: u32) {
        let incarnation = self.hosts[node].incarnation;
        let call = CallId {
            request,
            attempt,
            incarnation,
        };
        // An answer that is on its way back reaches nobody.
        self.passing.remove(&(incarnation, request));
        // A request that was passed on: the other node sees the stream end.
        let passed = self
            .forwards
            .iter()
            .find(|((_, id), from)| *id == request && from.incarnation == incarnation);
        if let Some(((run, _), _)) = passed {
            let run = *run;
            self.forwards.remove(&(run, request));
            if let Some(to) = self.hosts.iter().position(|host| host.incarnation == run) {
                let at = self.now + self.options.hop;
                let event = Event::CallerGone(request);
                self.tell_at(at, to, run, event);
            }
        }
        if let Some(state) = self.calls.get(&call) {
            let endpoint = state.endpoint;
            let at = self.now + self.options.endpoint_hop;
            self.push(at, Item::Leave { endpoint, call });
        }
    }

    pub(super) fn refuse(&mut self, node: usize, request: id::Request, refusal: Refusal) {
        let run = self.hosts[node].incarnation;
        self.closed.insert((run, request));
        let started = self
            .asked
            .get(&request)
            .is_some_and(|asked| asked.first.is_some());
        let answer = match started {
            true => Answer::Broken(refusal),
            false => Answer::Refused(refusal),
        };
        self.answer(node, request, answer);
    }
}
