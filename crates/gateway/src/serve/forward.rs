//! Forwarding of a request to another node, whose answer is passed on to the caller.

use std::net::SocketAddrV4;

use woadstage_dispatch::dispatcher::ForwardEnd;
use woadstage_dispatch::job::End;
use woadstage_types::code::Code;
use woadstage_types::id;

use super::exchange::Exchange;
use super::hop;
use super::outgoing;
use super::reply::Reply;
use crate::event::Event;
use crate::upstream::Answer;
use crate::upstream::CallError;
use crate::upstream::Target;

/// A node to forward a request to, and the endpoints that were tried before.
pub struct Forward {
    /// The node.
    pub node: SocketAddrV4,
    /// The number of endpoints that received the request.
    pub sent: u32,
    /// The numbers of endpoints that it was offered to.
    pub tried: Vec<u32>,
    /// The version of the endpoints' software that it is bound to, if it is.
    pub software: Option<id::Software>,
}

impl Exchange {
    /// Forwards the request to another node. Returns an endpoint's answer that it passed on, or
    /// `None` if the request is to be tried elsewhere.
    ///
    /// # Errors
    /// Returns the final reply, of the other node or of this one.
    pub(super) async fn forward(
        &mut self,
        forward: &Forward,
        last_event: Option<&str>,
    ) -> Result<Option<Answer>, Reply> {
        let node = forward.node;
        self.shell.log(&Event::Forwarded {
            request: &self.admitted.request_id,
            node: &node.to_string(),
            after_ms: self.shell.now().since(self.admitted.arrived).0 / 1_000,
        });
        let mut answer = match self.send_to_node(forward, last_event).await {
            Ok(answer) => answer,
            Err(CallError::Body(_)) => return Err(Code::CallerLeft.into()),
            Err(fault) => {
                let (end, forward_end) = match fault {
                    CallError::NotSent(_) => (End::NotSent, ForwardEnd::NotSent),
                    CallError::Lost(_) => (End::Lost, ForwardEnd::Lost),
                    CallError::Withdrawn => (End::NotSent, ForwardEnd::Declined),
                    CallError::Late | CallError::Body(_) => (End::Late, ForwardEnd::Answered),
                };
                let is_retried = self.end_forward(node, forward_end, end, &fault.to_string());
                return match is_retried {
                    true => Ok(None),
                    false => Err(self.to_final_reply(end)),
                };
            }
        };
        let head = answer.response.headers_mut();
        let stated: Option<hop::Answer> = hop::take(head);
        let software = head.remove(hop::SOFTWARE_FIELD);
        let software = software.as_ref().and_then(|value| value.to_str().ok());
        self.stated_software = software.map(id::Software::new);
        let Some(stated) = stated else {
            let detail = "the node did not state who answers";
            return match self.end_forward(node, ForwardEnd::Lost, End::Lost, detail) {
                true => Ok(None),
                false => Err(self.to_final_reply(End::Lost)),
            };
        };
        let Some(reply) = stated.to_reply_opt(node) else {
            return Ok(Some(answer));
        };
        let code = reply.code.to_string();
        if stated.is_declined(reply, self.admitted.configuration_version) {
            return match self.end_forward(node, ForwardEnd::Declined, End::NotSent, &code) {
                true => Ok(None),
                false => Err(self.to_final_reply(End::NotSent)),
            };
        }
        self.end_forward(node, ForwardEnd::Answered, End::Rejected, &code);
        Err(self.to_refusal(reply))
    }

    async fn send_to_node(
        &mut self,
        forward: &Forward,
        last_event: Option<&str>,
    ) -> Result<Answer, CallError> {
        let now = self.shell.now();
        let stated = hop::Request {
            node: self.shell.query(|dispatcher, _| dispatcher.own_address()),
            age_us: now.since(self.admitted.arrived).0,
            since_first_try_us: self.since_first_try.0,
            sent: forward.sent,
            tried: forward.tried.clone(),
            software: forward.software.clone(),
            reads_software: true,
        };
        let names = &self.shell.headers;
        let payload = self.payload.as_mut();
        let request = payload.and_then(|payload| {
            outgoing::build_forwarded(names, &self.head, payload, &stated, last_event)
        });
        let Some(request) = request else {
            return Err(CallError::Lost("the body has gone out already".into()));
        };
        let shell = self.shell.clone();
        let target = Target::Node(forward.node);
        let call = shell
            .upstream
            .call(now, &target, forward.node, request, || shell.may_pass_on());
        let sent = shell.timeout_at(self.admitted.deadline, call).await;
        self.to_caller_fault(sent.unwrap_or(Err(CallError::Late)))
    }

    /// Reports the end of a forwarded request to the dispatcher. Returns whether it is tried again.
    pub(super) fn end_forward(
        &mut self,
        node: SocketAddrV4,
        forward_end: ForwardEnd,
        end: End,
        detail: &str,
    ) -> bool {
        let Some(job) = self.job else {
            return false;
        };
        self.may_have_run |= matches!(end, End::Lost | End::Late);
        let (next, decision) = self.shell.end_forward(job, forward_end);
        self.decision = decision;
        let service = self.admitted.target.as_str();
        self.shell
            .metrics
            .record_forward(service, forward_end.as_str());
        self.shell.log(&Event::ForwardEnded {
            request: &self.admitted.request_id,
            node: &node.to_string(),
            end: forward_end.as_str(),
            next: next.as_str(),
            detail,
            after_ms: self.shell.now().since(self.sent_at).0 / 1_000,
        });
        self.finish_step(next)
    }
}
