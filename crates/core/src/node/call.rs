//! Handling of call events and of the results of forwarded requests.

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use super::Action;
use super::Call;
use super::Node;
use super::Phase;
use super::Refusal;
use super::Waste;
use crate::message::Message;
use crate::pool::End;
use crate::trace::Step;

impl Node {
    pub(super) fn handle_call(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: u32,
        what: Call,
    ) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        if task.attempt != attempt || !matches!(task.phase, Phase::Calling { .. }) {
            return;
        }
        match what {
            Call::FirstByte => self.record_first_byte(now, request),
            Call::Tokens(count) => self.record_tokens(now, request, count),
            Call::Complete {
                prompt,
                cached,
                output,
                recorded,
            } => {
                self.notify_end(
                    now,
                    request,
                    End::Whole {
                        prompt,
                        cached,
                        output,
                    },
                );
                self.complete_call(now, request, cached, recorded);
            }
            Call::Failed {
                sent,
                started,
                leaving,
            } => {
                self.handle_call_failure(now, request, sent, started, leaving);
            }
        }
    }

    fn record_first_byte(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.first.get_or_insert(now.since(task.arrived_at));
        let Phase::Calling {
            holder,
            last_progress,
            ..
        } = &mut task.phase
        else {
            return;
        };
        *last_progress = now;
        let (holder, target) = (holder.clone(), task.target.name.clone());
        self.trace.add(now, request, Step::First);
        self.deliver(now, &holder, Message::First { target, request });
    }

    fn record_tokens(&mut self, now: Time, request: id::Request, count: u64) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        let Phase::Calling {
            endpoint,
            last_progress,
            ..
        } = &mut task.phase
        else {
            return;
        };
        let key = (task.target.name.clone(), endpoint.clone());
        let unreported = self.unreported.entry(key).or_default();
        unreported.tokens += count;
        unreported.busy += now.since(*last_progress);
        *last_progress = now;
    }

    fn complete_call(
        &mut self,
        now: Time,
        request: id::Request,
        cached: Tokens,
        recorded: Option<Size>,
    ) {
        let waiting = self.ledger.record(request, recorded);
        for other in waiting {
            match recorded {
                Some(_) => self.replay(now, other, request),
                None => self.finish(now, other, Refusal::new(Code::AnswerDropped)),
            }
        }
        for dropped in self.ledger.trim_answers() {
            self.out.push(Action::DropAnswer(dropped));
        }
        self.end_with(now, request, Code::Ran, cached);
    }

    fn handle_call_failure(
        &mut self,
        now: Time,
        request: id::Request,
        sent: bool,
        started: bool,
        leaving: bool,
    ) {
        let end = if leaving { End::Leaving } else { End::Failed };
        self.notify_end(now, request, end);
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        let Phase::Calling { endpoint, .. } = &task.phase else {
            return;
        };
        let endpoint = endpoint.clone();
        task.was_sent |= sent;
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            known.leaving |= leaving;
        }
        let may_repeat = !sent || (task.class.repeatable && !started);
        if sent {
            let prompt = task.prompt;
            self.out.push(Action::Wasted(prompt, Waste::EndpointLost));
        }
        if may_repeat && self.retry(now, request, Some(endpoint)) {
            return;
        }
        match (sent, started) {
            (false, _) => self.not_run(now, request, Refusal::new(Code::EndpointRefused)),
            (true, false) => self.may_have_run(now, request, Code::EndpointLost),
            (true, true) => self.may_have_run(now, request, Code::StreamBroken),
        }
    }

    pub(super) fn forward_ended(&mut self, now: Time, request: id::Request) {
        self.end(now, request, Code::Ran);
    }

    pub(super) fn forward_lost(&mut self, now: Time, request: id::Request) {
        let forwarded = self
            .tasks
            .get(&request)
            .is_some_and(|task| matches!(task.phase, Phase::Forwarded));
        if forwarded {
            self.finish(now, request, Refusal::new(Code::OwnerLost));
        }
    }
}
