//! The end of a request: each ends once, with one answer.

use woadstage_types::code::Code;
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

/// How long a keyed call may go on after its caller was answered.
const LINGER: Span = Span::from_secs(60);

impl Node {
    /// The caller went away.
    pub(super) fn gone(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.caller = false;
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
            // Others with its key wait for the answer.
            Phase::Asking { .. } if self.ledger.has_waiting(request) => {}
            Phase::Asking { .. } => {
                self.tell_done(now, request, End::Unused);
                self.not_run(now, request, Refusal::new(Code::CallerGone));
            }
            // What may not be repeated runs on, so that a repeat of the key
            // finds its answer.
            Phase::Calling { .. } if keyed => {}
            Phase::Calling { .. } => {
                self.abandon(now, request, End::Unused, Waste::CallerGone);
                self.end(now, request, Code::CallerLeft);
            }
        }
    }

    /// The time in which the answer is of use is over.
    pub(super) fn overdue(&mut self, now: Time, request: id::Request) {
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
                self.tell_done(now, request, End::Unused);
                self.not_run(now, request, Refusal::new(Code::TooLate));
            }
            Phase::Calling { .. } if keyed && !task.lingers => {
                self.linger(now, request);
            }
            Phase::Calling { .. } if keyed => {
                self.abandon(now, request, End::Unused, Waste::Late);
                self.may_have_run(now, request, Code::AnswerLate);
            }
            Phase::Calling { .. } => {
                self.abandon(now, request, End::Unused, Waste::Late);
                self.finish(now, request, Refusal::new(Code::AnswerLate));
            }
        }
    }

    /// Answers the caller of a keyed call and lets the call go on for a while,
    /// so that a repeat of the key may find its answer.
    fn linger(&mut self, now: Time, request: id::Request) {
        self.answer(request, Refusal::new(Code::AnswerLate));
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.lingers = true;
        task.deadline = now + LINGER;
        self.deadlines.insert((task.deadline, request));
    }

    /// It is certain that no endpoint was given the request: its key, if it
    /// has one, may be used again, and all who wait for it are told.
    pub(super) fn not_run(&mut self, now: Time, request: id::Request, refusal: Refusal) {
        for other in self.ledger.release_key(request) {
            self.finish(now, other, refusal.clone());
        }
        self.finish(now, request, refusal);
    }

    /// The request was sent and its answer is lost: its key stays used.
    pub(super) fn may_have_run(&mut self, now: Time, request: id::Request, code: Code) {
        for other in self.ledger.record(request, None) {
            self.finish(now, other, Refusal::new(code));
        }
        self.finish(now, request, Refusal::new(code));
    }

    /// Answers and ends.
    pub(super) fn finish(&mut self, now: Time, request: id::Request, refusal: Refusal) {
        let code = refusal.code;
        self.answer(request, refusal);
        self.end(now, request, code);
    }

    /// Answers the caller if it is there; the request may go on without it.
    fn answer(&mut self, request: id::Request, refusal: Refusal) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        if std::mem::take(&mut task.caller) {
            self.out.push(Action::Refuse { request, refusal });
        }
    }

    /// Ends a request.
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
            latency: now.since(task.since),
            wait: task.wait,
            first: task.first,
            cached,
        }));
    }
}
