//! Completion of requests: each ends exactly once, with one answer.

use woadstage_types::code::Code;
use woadstage_types::code::Outcome;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use super::Action;
use super::Ended;
use super::Node;
use super::Phase;
use super::Refusal;
use super::Waste;
use crate::pool::End;
use crate::trace::Step;

/// How long a keyed call may continue after its caller got a refusal.
const DETACHED_TIMEOUT: Span = Span::from_secs(60);

impl Node {
    /// Handles a disconnected caller.
    pub(super) fn handle_caller_gone(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.caller_waiting = false;
        let keyed = task.key.is_some();
        match &task.phase {
            Phase::Waiting => {
                self.ledger.stop_waiting(request);
                self.end(now, request, Code::CallerLeft);
            }
            Phase::Forwarded => {
                let attempt = task.attempt;
                self.out.push(Action::Cancel { request, attempt });
                self.end(now, request, Code::CallerLeft);
            }
            // Other requests with the same key wait for this answer.
            Phase::Asking { .. } if self.ledger.has_waiting(request) => {}
            Phase::Asking { .. } => {
                self.notify_end(now, request, End::Unused);
                self.not_run(now, request, Refusal::new(Code::CallerGone));
            }
            // A call that must not be repeated continues, so that a repeat of its key
            // finds the answer.
            Phase::Calling { .. } if keyed => {}
            Phase::Calling { .. } => {
                self.cancel_call(now, request, End::Unused, Waste::CallerGone);
                self.end(now, request, Code::CallerLeft);
            }
        }
    }

    /// Handles a request whose deadline has passed.
    pub(super) fn expire_request(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        let (attempt, keyed) = (task.attempt, task.key.is_some());
        match &task.phase {
            Phase::Waiting => {
                self.ledger.stop_waiting(request);
                self.finish(now, request, Refusal::new(Code::AnswerLate));
            }
            Phase::Forwarded => {
                self.out.push(Action::Cancel { request, attempt });
                self.finish(now, request, Refusal::new(Code::AnswerLate));
            }
            Phase::Asking { .. } => {
                self.notify_end(now, request, End::Unused);
                self.not_run(now, request, Refusal::new(Code::TooLate));
            }
            Phase::Calling { .. } if keyed && !task.detached => {
                self.detach(now, request);
            }
            Phase::Calling { .. } if keyed => {
                self.cancel_call(now, request, End::Unused, Waste::DeadlinePassed);
                self.may_have_run(now, request, Code::AnswerLate);
            }
            Phase::Calling { .. } => {
                self.cancel_call(now, request, End::Unused, Waste::DeadlinePassed);
                self.finish(now, request, Refusal::new(Code::AnswerLate));
            }
        }
    }

    /// Refuses a keyed request as late but lets its call continue for a while, so
    /// that a repeat of the key may find the answer.
    fn detach(&mut self, now: Time, request: id::Request) {
        self.answer(request, Refusal::new(Code::AnswerLate));
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.detached = true;
        task.deadline = now + DETACHED_TIMEOUT;
        self.deadlines.insert((task.deadline, request));
    }

    /// Finishes a request that certainly reached no endpoint: its key, if any,
    /// becomes usable again, and all requests waiting for the key are refused too.
    pub(super) fn not_run(&mut self, now: Time, request: id::Request, refusal: Refusal) {
        for other in self.ledger.release_key(request) {
            self.finish(now, other, refusal.clone());
        }
        self.finish(now, request, refusal);
    }

    /// Finishes a request that was sent and whose answer is lost; its key stays used.
    pub(super) fn may_have_run(&mut self, now: Time, request: id::Request, code: Code) {
        for other in self.ledger.record(request, None) {
            self.finish(now, other, Refusal::new(code));
        }
        self.finish(now, request, Refusal::new(code));
    }

    /// Refuses the request and ends it.
    pub(super) fn finish(&mut self, now: Time, request: id::Request, refusal: Refusal) {
        let code = refusal.code;
        self.answer(request, refusal);
        self.end(now, request, code);
    }

    /// Sends the refusal if the caller still waits; the request itself may continue.
    fn answer(&mut self, request: id::Request, mut refusal: Refusal) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        if task.was_sent && refusal.outcome == Outcome::NotRun {
            refusal.outcome = Outcome::Unknown;
        }
        if std::mem::take(&mut task.caller_waiting) {
            self.out.push(Action::Refuse { request, refusal });
        }
    }

    /// Removes a request and reports its result.
    pub(super) fn end(&mut self, now: Time, request: id::Request, code: Code) {
        self.end_with(now, request, code, Tokens(0));
    }

    pub(super) fn end_with(&mut self, now: Time, request: id::Request, code: Code, cached: Tokens) {
        let Some(task) = self.tasks.remove(&request) else {
            return;
        };
        self.deadlines.remove(&(task.deadline, request));
        self.trace.add(now, request, Step::Ended { code });
        self.out.push(Action::Ended(Ended {
            request,
            class: task.class.name.clone(),
            tier: task.class.tier,
            customer: task.customer.name.clone(),
            code,
            latency: now.since(task.arrived_at),
            wait: task.wait,
            first: task.first,
            cached,
        }));
    }
}
