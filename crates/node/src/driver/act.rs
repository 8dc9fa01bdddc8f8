//! Executes the actions that the core requests.

use std::sync::atomic::Ordering;

use spdlog::info;
use spdlog::warn;
use woadstage_core::node::Action;
use woadstage_core::node::Call;
use woadstage_core::node::Event;
use woadstage_core::node::Refusal;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::Driver;
use super::Input;
use super::Reply;
use crate::endpoints;
use crate::peers;

impl Driver {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.peers.send(&to, message),
            Action::Call { request, .. } => self.call(request, action),
            Action::Cancel { request, .. } => self.cancel(request),
            Action::Refuse { request, refusal } => self.refuse(request, refusal),
            Action::Forward { request, to, left } => self.forward(request, &to, left),
            Action::Replay { request, of } => self.replay(request, of),
            Action::DropAnswer(request) => {
                self.answers.remove(&request);
            }
            Action::Ended(ended) => {
                self.metrics.record_ended(&ended);
                self.pending.remove(&ended.request);
            }
            Action::Wasted(tokens, why) => self.metrics.record_wasted(tokens, why),
            Action::Config { revision, refused } => self.log_config(revision, refused),
        }
    }

    fn log_config(&mut self, revision: u64, refused: Option<woadstage_types::code::Code>) {
        match refused {
            None => {
                info!("config: Configuration applied.", kv: { revision });
                self.metrics.revision.set(revision as i64);
            }
            Some(code) => {
                let code = code.to_string();
                warn!("config: Configuration rejected.", kv: { revision, code: });
            }
        }
    }

    fn call(&mut self, request: id::Request, action: Action) {
        let Action::Call {
            attempt,
            address,
            tier,
            priority,
            key,
            record,
            ..
        } = action
        else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        if Driver::is_started(pending) {
            // Part of an earlier attempt's answer has been sent meanwhile; the
            // answer of another attempt must not follow it.
            let what = Call::BROKEN;
            let input = Input::Call {
                request,
                attempt,
                what,
                answer: None,
            };
            self.handle.send(input);
            return;
        }
        let call = endpoints::Call {
            request,
            attempt,
            address,
            priority: priority.then_some(tier),
            key,
            work: pending.work.clone(),
            reply: pending.reply.clone(),
            started: pending.started.clone(),
            record: if record { self.answer_limit } else { 0 },
            handle: self.handle.clone(),
        };
        let client = self.endpoints.clone();
        let task = tokio::spawn(endpoints::run(client, call));
        pending.task = Some(task.abort_handle());
    }

    fn cancel(&mut self, request: id::Request) {
        let task = self
            .pending
            .get_mut(&request)
            .and_then(|pending| pending.task.take());
        if let Some(task) = task {
            task.abort();
        }
    }

    fn refuse(&mut self, request: id::Request, refusal: Refusal) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let (code, outcome) = (refusal.code.to_string(), refusal.outcome.to_string());
        let id = request.to_string();
        info!("request: Request refused.", kv: { request = id, code:, outcome: });
        let reply = match Driver::is_started(pending) {
            true => Reply::Broken(refusal),
            false => Reply::Refuse(refusal),
        };
        pending.started.store(true, Ordering::Relaxed);
        let sender = pending.reply.clone();
        // The window may be full because the caller reads slowly.
        tokio::spawn(async move {
            let _ = sender.send(reply).await;
        });
        if let Some(pending) = self.pending.get(&request)
            && pending.task.is_none()
        {
            self.pending.remove(&request);
        }
    }

    fn forward(&mut self, request: id::Request, to: &id::Host, left: Span) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(mut arrival) = pending.arrival.take() else {
            return;
        };
        arrival.timeout = Some(left);
        arrival.from = Some(self.peers.own_host().clone());
        let Some(connection) = self.peers.connection_opt(to) else {
            self.handle.send(Input::Event(Event::ForwardLost(request)));
            return;
        };
        let forward = peers::Forward {
            arrival,
            work: pending.work.clone(),
            reply: pending.reply.clone(),
            started: pending.started.clone(),
            handle: self.handle.clone(),
        };
        let task = tokio::spawn(peers::forward(connection, forward));
        pending.task = Some(task.abort_handle());
    }

    fn replay(&mut self, request: id::Request, of: id::Request) {
        let (Some(pending), Some(answer)) = (self.pending.get(&request), self.answers.get(&of))
        else {
            self.refuse(
                request,
                Refusal::new(woadstage_types::code::Code::AnswerDropped),
            );
            return;
        };
        let (sender, answer) = (pending.reply.clone(), answer.clone());
        tokio::spawn(async move {
            for reply in [
                Reply::Head(answer.head),
                Reply::Data(answer.body),
                Reply::End,
            ] {
                if sender.send(reply).await.is_err() {
                    return;
                }
            }
        });
    }
}
