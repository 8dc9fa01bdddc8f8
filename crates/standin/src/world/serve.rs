//! What endpoints do with calls, and what the nodes are told of it.

use woadstage_core::node::Call;
use woadstage_core::node::Event;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use super::Answer;
use super::CallId;
use super::Kind;
use super::World;
use super::item::Item;
use crate::engine::Job;
use crate::engine::Outcome;

/// Tokens are told in lots, as the shell does.
const TELL_EVERY: Span = Span::from_millis(50);

/// Size of a recorded answer.
const ANSWER_SIZE: Size = Size(512);

/// A call that reaches an endpoint.
pub(super) struct Reach {
    pub(super) node: usize,
    pub(super) endpoint: usize,
    pub(super) call: CallId,
    pub(super) tier: u8,
    pub(super) priority: bool,
    pub(super) key: Option<String>,
    pub(super) record: bool,
}

/// A call in progress.
#[derive(Debug, Clone)]
pub(super) struct CallState {
    pub(super) node: usize,
    pub(super) endpoint: usize,
    pub(super) job: u64,
    pub(super) answer: String,
    pub(super) record: bool,
    pub(super) started: bool,
    pub(super) untold: u64,
    pub(super) told: Time,
}

impl World {
    /// A call reaches an endpoint, whatever became of its sender.
    pub(super) fn reach(&mut self, reach: Reach) {
        let Reach {
            node,
            endpoint,
            call,
            tier,
            priority,
            key,
            record,
        } = reach;
        let Some(work) = self.work.get(&call.request).cloned() else {
            return;
        };
        let at = &mut self.endpoints[endpoint];
        if at.down {
            let what = Call::REFUSED;
            self.tell_call(node, call, what);
            return;
        }
        *self.executed.entry(call.request).or_default() += 1;
        self.begun.entry(call.request).or_insert(self.now);
        if at.leaving {
            at.late_work += 1;
            let what = Call::LEAVING;
            self.tell_call(node, call, what);
            return;
        }
        let mut state = CallState {
            node,
            endpoint,
            job: 0,
            answer: work.what.clone(),
            record,
            started: false,
            untold: 0,
            told: self.now,
        };
        match &mut at.kind {
            Kind::Engine(engine) => {
                at.next += 1;
                state.job = at.next;
                at.jobs.insert(at.next, call);
                engine.submit(Job {
                    id: at.next,
                    priority: if priority { tier } else { 0 },
                    prompt: work.prompt.max(1),
                    output: work.output.max(1),
                    blocks: work.blocks,
                });
                self.calls.insert(call, state);
                self.begin_step(endpoint);
            }
            Kind::Service(time) => {
                let time = *time;
                at.running += 1;
                let known = key.as_ref().and_then(|key| at.keys.get(key)).cloned();
                match known.filter(|_| at.checks) {
                    Some(first) => state.answer = first,
                    None => {
                        *self.runs.entry(work.what.clone()).or_default() += 1;
                        if let Some(key) = key {
                            at.keys.insert(key, work.what);
                        }
                    }
                }
                self.calls.insert(call, state);
                let done = self.now + time;
                self.push(done, Item::Served { endpoint, call });
            }
        }
    }

    pub(super) fn begin_step(&mut self, endpoint: usize) {
        let at = &mut self.endpoints[endpoint];
        let Kind::Engine(engine) = &mut at.kind else {
            return;
        };
        if at.stepping || engine.is_idle() || at.mute {
            return;
        }
        let (time, outcomes) = engine.step();
        at.stepping = true;
        at.pending = outcomes;
        let done = self.now + time;
        self.push(done, Item::Step { endpoint });
    }

    pub(super) fn end_step(&mut self, endpoint: usize) {
        let outcomes = std::mem::take(&mut self.endpoints[endpoint].pending);
        self.endpoints[endpoint].stepping = false;
        for outcome in outcomes {
            let (Outcome::Token { id } | Outcome::Done { id, .. }) = outcome;
            let Some(call) = self.endpoints[endpoint].jobs.get(&id).copied() else {
                continue;
            };
            match outcome {
                Outcome::Token { .. } => self.token(call),
                Outcome::Done {
                    cached, computed, ..
                } => {
                    self.endpoints[endpoint].jobs.remove(&id);
                    self.done(call, cached, computed);
                }
            }
        }
        self.begin_step(endpoint);
    }

    pub(super) fn token(&mut self, call: CallId) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        let node = state.node;
        if !state.started {
            state.started = true;
            state.told = now;
            self.first_byte(call);
            self.tell_call(node, call, Call::FirstByte);
            return;
        }
        state.untold += 1;
        if now.since(state.told) >= TELL_EVERY {
            state.told = now;
            let count = std::mem::take(&mut state.untold);
            self.tell_call(node, call, Call::Tokens(count));
        }
    }

    pub(super) fn first_byte(&mut self, call: CallId) {
        let at = self.now + self.options.endpoint_hop;
        if let Some(asked) = self.asked.get_mut(&call.request) {
            asked.first.get_or_insert(at);
        }
    }

    pub(super) fn done(&mut self, call: CallId, cached: u64, computed: u64) {
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        let Some(work) = self.work.get(&call.request).cloned() else {
            return;
        };
        if state.untold > 0 {
            self.tell_call(state.node, call, Call::Tokens(state.untold));
        }
        let whole = Call::Complete {
            prompt: Tokens(work.prompt),
            cached: Tokens(cached),
            output: Tokens(work.output),
            recorded: state.record.then_some(ANSWER_SIZE),
        };
        self.cached += cached;
        let late = self
            .asked
            .get(&call.request)
            .is_none_or(|asked| asked.deadline < self.now);
        if late || !self.is_current(state.node, call.incarnation) {
            self.wasted += computed;
        }
        self.give_whole(state, call, whole);
    }

    pub(super) fn served(&mut self, endpoint: usize, call: CallId) {
        if self.endpoints[endpoint].mute {
            let later = self.now + Span::from_millis(20);
            self.push(later, Item::Served { endpoint, call });
            return;
        }
        self.endpoints[endpoint].running -= 1;
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        if self.endpoints[endpoint].breaks {
            let what = Call::LOST;
            self.tell_call(state.node, call, what);
            return;
        }
        let whole = Call::Complete {
            prompt: Tokens(0),
            cached: Tokens(0),
            output: Tokens(1),
            recorded: state.record.then_some(ANSWER_SIZE),
        };
        self.give_whole(state, call, whole);
    }

    /// The whole answer travels to the node, which passes it on.
    pub(super) fn give_whole(&mut self, state: CallState, call: CallId, whole: Call) {
        let CallState {
            node,
            answer,
            record,
            ..
        } = state;
        let at = self.now + self.options.endpoint_hop;
        self.at(at, move |world| {
            if !world.is_current(node, call.incarnation) {
                return;
            }
            if record {
                world
                    .recorded
                    .insert((call.incarnation, call.request), answer.clone());
            }
            if !world.closed.contains(&(call.incarnation, call.request)) {
                world.answer(node, call.request, Answer::Whole { what: answer });
            }
            let CallId {
                request, attempt, ..
            } = call;
            world.tell(
                node,
                Event::Call {
                    request,
                    attempt,
                    what: whole,
                },
            );
        });
    }

    pub(super) fn tell_call(&mut self, node: usize, call: CallId, what: Call) {
        let CallId {
            request,
            attempt,
            incarnation,
        } = call;
        let event = Event::Call {
            request,
            attempt,
            what,
        };
        let at = self.now + self.options.endpoint_hop;
        self.tell_at(at, node, incarnation, event);
    }

    /// A cancelled call's connection closes at the endpoint.
    pub(super) fn leave(&mut self, endpoint: usize, call: CallId) {
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        let at = &mut self.endpoints[endpoint];
        if let Kind::Engine(engine) = &mut at.kind {
            self.wasted += engine.cancel(state.job);
            at.jobs.remove(&state.job);
        }
    }

    /// All calls of a run that died: their connections close.
    pub(super) fn lose_calls(&mut self, incarnation: id::Incarnation) {
        let mut lost: Vec<(CallId, usize)> = self
            .calls
            .iter()
            .filter(|(call, _)| call.incarnation == incarnation)
            .map(|(call, state)| (*call, state.endpoint))
            .collect();
        lost.sort();
        for (call, endpoint) in lost {
            if matches!(self.endpoints[endpoint].kind, Kind::Engine(_)) {
                let at = self.now + self.options.endpoint_hop;
                self.push(at, Item::Leave { endpoint, call });
            }
        }
    }
}
