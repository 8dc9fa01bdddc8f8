//! The exchange for one request of a caller: attempts at endpoints until there is an answer.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use hyper::Response;
use hyper::StatusCode;
use hyper::http::request::Parts;
use tokio::sync::oneshot;
use woadstage_body::ending::Ending;
use woadstage_body::framing::Framing;
use woadstage_dispatch::binding::Binding;
use woadstage_dispatch::dispatcher::Admission;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::ForwardEnd;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::dispatcher::Reason;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::History;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::quarantine::Features;
use woadstage_types::code::Code;
use woadstage_types::code::Outcome;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::admit::Admitted;
use super::body_memory::Reservation;
use super::charge;
use super::charge::ChargedBy;
use super::classify;
use super::classify::Disposition;
use super::closing;
use super::fingerprint;
use super::forward::Forward;
use super::hop;
use super::outgoing;
use super::outgoing::Attempt;
use super::parse_notice;
use super::parse_notice::Parsed;
use super::payload::Payload;
use super::record;
use super::record::Context;
use super::reply::Reply;
use super::successor;
use super::successor::Placed;
use crate::connections::stream::Switch;
use crate::event::Event;
use crate::headers::text;
use crate::shell::Shell;
use crate::upstream::Answer;
use crate::upstream::Body;
use crate::upstream::CallError;
use crate::upstream::Target;
use crate::upstream::probe;

/// A request in progress. Dropping it before it is finished means that the caller left.
pub struct Exchange {
    /// The state shared by all tasks.
    pub shell: Rc<Shell>,
    /// The admitted request.
    pub admitted: Admitted,
    /// When the request was last sent.
    pub sent_at: Time,
    /// The endpoint that the request was last sent to.
    pub endpoint: Option<Arc<Endpoint>>,
    /// What shared admission did to the request, as known at the last decision about it.
    pub admission: Admission,
    /// The node that the request was last forwarded to, if it was.
    pub forwarded_to: Option<SocketAddrV4>,
    /// The version of the software that answers, as that node stated it.
    pub(super) stated_software: Option<id::Software>,
    /// What the node that forwarded the request states about it, if one did.
    pub hop: Option<hop::Request>,
    /// Counts the request among those that other nodes forwarded to this one.
    pub in_progress: Option<hop::InProgress>,
    /// The memory that the fields of its head take, if they are many.
    fields: Option<Reservation>,
    /// Resets the connection over which the request arrived.
    pub(super) reset: Option<Switch>,
    pub(super) head: Parts,
    pub(super) payload: Option<Payload>,
    /// What the request has in common with others, once it is submitted.
    features: Option<Features>,
    pub(super) since_first_try: Span,
    pub(super) job: Option<job::Id>,
    pub(super) decision: Option<oneshot::Receiver<Decision>>,
    /// The attempt that replaces the present one, the call of which is closed.
    successor: Option<Placed>,
    units: u64,
    charged_by: ChargedBy,
    pub(super) may_have_run: bool,
    /// How the body of the answer to the present attempt ended, once it has.
    pub(super) body_end: Option<BodyEnd>,
    is_finished: bool,
}

/// How the body of an answer ended.
#[derive(Debug, Clone)]
pub struct BodyEnd {
    /// What marks its end.
    pub framing: Framing,
    /// How it ended.
    pub ending: Ending,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(job) = self.job.take() else {
            return;
        };
        self.shell
            .command(|dispatcher, now| dispatcher.abandon(now, job));
        if !self.is_finished {
            let after = self.shell.now().since(self.admitted.arrived);
            self.shell.log(&Event::Left {
                request: &self.admitted.request_id,
                after_ms: after.0 / 1_000,
            });
        }
    }
}

impl Exchange {
    /// Creates an exchange for an admitted request, without its body.
    pub fn new(shell: Rc<Shell>, admitted: Admitted, head: Parts) -> Exchange {
        Exchange {
            units: admitted.units(&shell.headers, &head),
            sent_at: admitted.arrived,
            shell,
            admitted,
            head,
            endpoint: None,
            admission: Admission::default(),
            forwarded_to: None,
            stated_software: None,
            hop: None,
            in_progress: None,
            fields: None,
            reset: None,
            payload: None,
            features: None,
            since_first_try: Span::ZERO,
            job: None,
            decision: None,
            successor: None,
            charged_by: ChargedBy::Nobody,
            may_have_run: false,
            body_end: None,
            is_finished: false,
        }
    }

    /// Sets the body, as far as it was read, and the memory that the fields of the head take.
    pub fn set_content(&mut self, fields: Option<Reservation>, payload: Payload) {
        self.fields = fields;
        self.payload = Some(payload);
    }

    /// Charges the customer's quota and submits the request to the dispatcher.
    ///
    /// # Errors
    /// Returns the reply to a request that exceeds its customer's quota.
    pub async fn submit(&mut self) -> Result<(), Reply> {
        let shell = self.shell.clone();
        self.charged_by = match self.hop {
            Some(_) => ChargedBy::Forwarder,
            None => charge::charge(&shell, &self.admitted, self.units).await?,
        };
        let caller_timeout = self.admitted.caller_deadline.since(self.admitted.arrived);
        let timeout = self.admitted.route.timeout;
        let since_first_try = match &self.hop {
            Some(hop) => Span(hop.since_first_try_us),
            None => shell.command(|dispatcher, now| {
                dispatcher.since_first_try(now, caller_timeout, timeout)
            }),
        };
        self.since_first_try = since_first_try;
        let fingerprint = fingerprint::of(&self.admitted, &self.head, self.payload.as_ref());
        let job = self
            .admitted
            .to_job(&shell.headers, &self.head, fingerprint, since_first_try);
        let job = match &self.hop {
            Some(hop) => Job {
                is_forwarded: true,
                binding: match &hop.software {
                    Some(software) => Binding::Software(software.clone()),
                    None => job.binding,
                },
                history: History {
                    sent: hop.sent,
                    tried: hop.tried.clone(),
                    ..History::default()
                },
                ..job
            },
            None => job,
        };
        shell.log(&Event::Accepted {
            request: &self.admitted.request_id,
            fingerprint: &fingerprint.to_string(),
            route: &self.admitted.route.name,
            service: self.admitted.target.as_str(),
            customer: self.admitted.customer_name(),
            priority: job.rank.priority,
            urgency: job.rank.urgency,
            left_ms: self.admitted.deadline.since(self.admitted.arrived).0 / 1_000,
            objective_ms: job.objective.0 / 1_000,
            pause_limit_ms: self.admitted.route.pause.unwrap_or(Span::ZERO).0 / 1_000,
            returning: job.is_caller_retry(),
            prompt: job.prompt.tokens,
            output: job.prompt.output,
            parts: &record::part_names(job.prompt.part_ids()),
            resumes: text(&self.head.headers, &shell.headers.resumes).unwrap_or_default(),
            last_event: text(&self.head.headers, &shell.headers.last_event).unwrap_or_default(),
            quota: &self.charged_by.to_string(),
            forwarded_by: &record::node_name(self.forwarder_opt()),
            configuration: self.admitted.configuration_version,
        });
        self.features = Some(Features::of(&job));
        let (job, decision) = shell.enter(job);
        self.job = Some(job);
        self.decision = Some(decision);
        Ok(())
    }

    /// Sends the request to one endpoint after another, or forwards it to other nodes, until there
    /// is an answer for the caller.
    ///
    /// # Errors
    /// Returns the final reply that this node generates if there is no such answer.
    pub async fn run(&mut self, last_event: Option<&str>) -> Result<Answer, Reply> {
        loop {
            let endpoint = match self.wait_for_destination().await? {
                Destination::Endpoint(endpoint) => endpoint,
                Destination::Node(forward) => match self.forward(&forward, last_event).await? {
                    Some(answer) => return Ok(answer),
                    None => continue,
                },
            };
            let sent = self.send(&endpoint, last_event).await;
            let (end, detail) = match sent {
                Ok(answer) => match self.classify(&answer) {
                    Disposition::Forward => return Ok(answer),
                    Disposition::Retry(end) => {
                        let detail = self.to_detail(&answer);
                        // Without a retry, the endpoint's error may be the answer.
                        if end == End::Fault && !self.end_attempt(end, &detail) {
                            return self.forward_fault(answer);
                        }
                        if end == End::Fault {
                            continue;
                        }
                        (end, detail)
                    }
                },
                Err(CallError::Withdrawn) if self.withdraw_attempt() => continue,
                Err(CallError::Withdrawn) => return Err(self.to_final_reply(End::NotSent)),
                // The endpoint has received the beginning. The attempt ends as if the caller had left.
                Err(CallError::Body(_)) => return Err(Code::CallerLeft.into()),
                // The endpoint isn't late: this node ends before its answer.
                Err(CallError::Late) if self.shell.must_have_answered() => {
                    (End::Abandoned, CallError::Late.to_string())
                }
                Err(fault) => (to_end(&fault), fault.to_string()),
            };
            if !self.end_attempt(end, &detail) {
                return Err(self.to_final_reply(end));
            }
        }
    }

    /// Waits for the dispatcher to choose an endpoint, or a node to forward the request to.
    async fn wait_for_destination(&mut self) -> Result<Destination, Reply> {
        let Some(decision) = self.decision.take() else {
            return Err(Code::EndpointLost.into());
        };
        self.forwarded_to = None;
        if !self.shell.may_pass_on() {
            return Err(self.to_stop_refusal());
        }
        match self
            .shell
            .timeout_at(self.admitted.deadline, decision)
            .await
        {
            Ok(Ok(Decision::Start {
                endpoint,
                reason,
                owner,
                admission,
                ..
            })) => {
                self.admission = admission;
                self.record_take_up();
                self.record_sent(&endpoint, reason, owner);
                Ok(Destination::Endpoint(endpoint))
            }
            Ok(Ok(Decision::Forward {
                node,
                sent,
                tried,
                software,
                ..
            })) => {
                self.record_take_up();
                self.sent_at = self.shell.now();
                self.endpoint = None;
                self.forwarded_to = Some(node);
                Ok(Destination::Node(Forward {
                    node,
                    sent,
                    tried,
                    software,
                }))
            }
            Ok(Ok(Decision::Refuse {
                refusal, admission, ..
            })) => {
                self.admission = admission;
                self.record_take_up();
                Err(self.to_refusal(refusal.into()))
            }
            Err(_) if self.shell.must_have_answered() => Err(self.to_stop_refusal()),
            Ok(Err(_)) | Err(_) => {
                let admission = |job| {
                    self.shell
                        .query(|dispatcher, _| dispatcher.undecided_admission(job))
                };
                self.admission = self.job.map(admission).unwrap_or_default();
                Err(self.to_refusal(Code::TooLate.into()))
            }
        }
    }

    /// Returns the node that forwarded the request; `None` if a caller sent it.
    pub fn forwarder_opt(&self) -> Option<SocketAddrV4> {
        self.hop.as_ref().map(|hop| hop.node)
    }

    /// Returns the process at the other end of the connection in use, and the maximum number of idle
    /// connections to it.
    pub fn connection_target_opt(&self) -> Option<(Target, usize)> {
        if let Some(node) = self.forwarded_to {
            return Some((Target::Node(node), MAX_IDLE_TO_NODE));
        }
        let endpoint = self.endpoint.as_ref()?;
        let max_idle = self
            .shell
            .query(|dispatcher, now| dispatcher.max_idle_connections(now, &endpoint.service));
        Some((Target::Endpoint(endpoint.to_instance()), max_idle))
    }

    /// Returns the reply to a request that is not passed on, since this node is stopping.
    fn to_stop_refusal(&self) -> Reply {
        self.to_refusal(closing::to_refusal(&self.shell, &self.admitted))
    }

    /// Returns the refusal, or `EndpointLost` if an earlier attempt may have run. Logs a barred
    /// request.
    pub(super) fn to_refusal(&self, reply: Reply) -> Reply {
        if self.may_have_run {
            return Code::EndpointLost.into();
        }
        if !matches!(reply.code, Code::Barred | Code::PartBarred) {
            return reply;
        }
        let bar = self.features.as_ref().and_then(|features| {
            self.shell
                .query(|dispatcher, now| dispatcher.bar_opt(now, features))
        });
        let Some(bar) = bar else {
            return reply;
        };
        record::barred(&self.shell, &self.admitted, &bar);
        Reply {
            part: bar.part_ids.first().copied(),
            ..reply
        }
    }

    fn record_sent(
        &mut self,
        endpoint: &Arc<Endpoint>,
        reason: Reason,
        owner: Option<SocketAddrV4>,
    ) {
        self.sent_at = self.shell.now();
        self.endpoint = Some(endpoint.clone());
        let admission = self.admission;
        record::sent(
            &self.shell,
            &self.admitted,
            endpoint,
            reason,
            owner,
            admission,
        );
    }

    async fn send(
        &mut self,
        endpoint: &Endpoint,
        last_event: Option<&str>,
    ) -> Result<Answer, CallError> {
        let Some(job) = self.job.filter(|job| self.shell.may_send(*job)) else {
            return Err(CallError::Withdrawn);
        };
        let attempt = Attempt {
            endpoint,
            time_left: self.admitted.caller_deadline.since(self.shell.now()),
            last_event,
        };
        let names = &self.shell.headers;
        let request = self.payload.as_mut().and_then(|payload| {
            outgoing::build(names, &self.admitted, &self.head, payload, &attempt)
        });
        let Some(request) = request else {
            return Err(CallError::Lost("the body has gone out already".into()));
        };
        let shell = self.shell.clone();
        let target = Target::Endpoint(endpoint.to_instance());
        // A streamed body that was taken for this call can't be sent elsewhere.
        let can_resend = self.payload.as_ref().is_some_and(Payload::can_send);
        let may_send = || shell.may_pass_on() && (!can_resend || shell.may_send(job));
        let call = shell
            .upstream
            .call(shell.now(), &target, endpoint.address, request, may_send);
        let can_move = self.admitted.route.may_repeat() && can_resend;
        let call = async {
            tokio::select! {
                biased;
                sent = call => Ok(sent),
                placed = successor::wait(&shell, endpoint, job), if can_move => Err(placed),
            }
        };
        match shell.timeout_at(self.admitted.deadline, call).await {
            Ok(Ok(sent)) => self.to_caller_fault(sent),
            Ok(Err(placed)) => {
                self.successor = Some(placed);
                Err(CallError::Lost("link lost".into()))
            }
            Err(_) => self.to_caller_fault(Err(CallError::Late)),
        }
    }

    /// Attributes a failed call to the caller if the rest of its body was faulty.
    pub(super) fn to_caller_fault(
        &self,
        sent: Result<Answer, CallError>,
    ) -> Result<Answer, CallError> {
        let fault = self.payload.as_ref().and_then(Payload::fault_opt);
        match (sent, fault) {
            (Err(CallError::Lost(_) | CallError::NotSent(_)), Some(code)) => {
                Err(CallError::Body(code))
            }
            (sent, _) => sent,
        }
    }

    fn classify(&self, answer: &Answer) -> Disposition {
        if let Some(job) = self.job {
            self.shell
                .command(|dispatcher, now| dispatcher.record_answering(now, job));
        }
        let response = &answer.response;
        let names = &self.shell.headers;
        let disposition = classify::classify(
            names,
            &self.admitted.request_id,
            response.status(),
            response.headers(),
        );
        let parsed = parse_notice::parse(names, response.status(), response.headers(), disposition);
        self.apply_notice(parsed);
        disposition
    }

    /// Returns the status of an answer and, for a 503, the rest that the endpoint asks for.
    fn to_detail(&self, answer: &Answer) -> String {
        let status = answer.response.status();
        let rest = text(answer.response.headers(), &self.shell.headers.rest);
        let rest = rest.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        match rest {
            Some(rest) => format!("{}, rest {rest}", status.as_u16()),
            None => status.as_u16().to_string(),
        }
    }

    /// Applies what an answer reports about its endpoint.
    fn apply_notice(&self, parsed: Parsed) {
        for invalid_field in &parsed.invalid_fields {
            record::invalid_field(&self.shell, invalid_field);
        }
        let Some((job, endpoint)) = self.job.zip(self.endpoint.as_ref()) else {
            return;
        };
        let apply = |dispatcher: &mut Dispatcher, now| parsed.apply(dispatcher, now, job);
        for change in self.shell.command(apply) {
            let request = &self.admitted.request_id;
            let endpoint = endpoint.name.as_str();
            self.shell.record_endpoint_change(request, endpoint, change);
        }
    }

    /// Forwards an endpoint's error to the caller. An error whose status implies that the
    /// request did not run becomes [`Code::EndpointFault`], since it may have run.
    fn forward_fault(&self, answer: Answer) -> Result<Answer, Reply> {
        if classify::implies_not_run(answer.response.status()) {
            return Err(Code::EndpointFault.into());
        }
        Ok(answer)
    }

    /// Reports the end of an attempt to the dispatcher. Returns whether the request is
    /// retried.
    pub fn end_attempt(&mut self, end: End, detail: &str) -> bool {
        let Some(job) = self.job else {
            return false;
        };
        if let Some(node) = self.forwarded_to {
            let forward_end = match end {
                End::Lost => ForwardEnd::Lost,
                _ => ForwardEnd::Answered,
            };
            return self.end_forward(node, forward_end, end, detail);
        }
        self.may_have_run |= !end.is_not_run();
        let next = match self.successor.take() {
            Some(placed) => self.move_on(job, placed),
            None => {
                let (next, decision) = self.shell.end(job, end);
                self.decision = decision;
                next
            }
        };
        if let Some(endpoint) = self.endpoint.as_ref().filter(|_| end == End::Lost) {
            probe::start_after_loss(&self.shell, endpoint);
        }
        let endpoint = self.endpoint.as_deref();
        self.shell
            .metrics
            .record_attempt(self.admitted.target.as_str(), end.as_str());
        let body_end = self.body_end.take();
        let body_end = body_end.as_ref();
        self.shell.log(&Event::Attempt {
            request: &self.admitted.request_id,
            endpoint: endpoint.map_or("", |endpoint| endpoint.name.as_str()),
            software: endpoint.map_or("", record::software_name),
            end: end.as_str(),
            next: next.as_str(),
            detail,
            framing: body_end.map_or("", |body_end| body_end.framing.as_str()),
            body: body_end.map_or("", |body_end| body_end.ending.as_str()),
            after_ms: self.shell.now().since(self.sent_at).0 / 1_000,
        });
        self.finish_step(next)
    }

    /// Goes on with the attempt that replaces the present one.
    fn move_on(&mut self, replaced: job::Id, placed: Placed) -> Next {
        self.job = placed.successor.supersede(replaced);
        let (sender, decision) = oneshot::channel();
        // Fails only if the receiver was dropped.
        let _ = sender.send(placed.decision);
        self.decision = Some(decision);
        Next::Again
    }

    /// Takes back an attempt of which nothing was sent. Returns whether the request is tried again.
    fn withdraw_attempt(&mut self) -> bool {
        let Some(job) = self.job else {
            return false;
        };
        let (next, decision) = self.shell.withdraw(job);
        self.decision = decision;
        let endpoint = self.endpoint.as_deref();
        let service = self.admitted.target.as_str();
        self.shell.metrics.record_attempt(service, WITHDRAWN);
        self.shell.log(&Event::Attempt {
            request: &self.admitted.request_id,
            endpoint: endpoint.map_or("", |endpoint| endpoint.name.as_str()),
            software: endpoint.map_or("", record::software_name),
            end: WITHDRAWN,
            next: next.as_str(),
            detail: "",
            framing: "",
            body: "",
            after_ms: self.shell.now().since(self.sent_at).0 / 1_000,
        });
        self.finish_step(next)
    }

    /// Returns whether the request is tried again, and forgets its id in the dispatcher if not.
    pub(super) fn finish_step(&mut self, next: Next) -> bool {
        if next != Next::Again {
            self.job = None;
        }
        // A streamed body cannot be sent a second time.
        let can_send = self.payload.as_ref().is_some_and(Payload::can_send);
        next == Next::Again && can_send
    }

    /// Returns the final reply after the last attempt.
    pub(super) fn to_final_reply(&self, end: End) -> Reply {
        if !self.may_have_run {
            let retry_after = self.shell.query(|dispatcher, now| {
                let time_left = self.admitted.deadline.since(now);
                dispatcher.retry_after_refusal(now, &self.admitted.target, time_left)
            });
            return Reply {
                code: Code::EndpointRefused,
                retry_after: Some(retry_after),
                wait: None,
                owner: None,
                part: None,
            };
        }
        let is_late = self.shell.now() >= self.shell.limit_to_end(self.admitted.deadline);
        match end {
            _ if is_late => Code::AnswerLate.into(),
            End::Fault => Code::EndpointFault.into(),
            _ => Code::EndpointLost.into(),
        }
    }

    /// Ends the exchange with a reply that this node generates. Refunds the quota if the
    /// request did not run.
    pub fn refuse(mut self, reply: Reply) -> Response<Body> {
        let is_not_run = reply.code.outcome() == Outcome::NotRun;
        if is_not_run {
            charge::refund(&self.shell, &self.admitted, self.units, self.charged_by);
        }
        let context = Context {
            request_id: &self.admitted.request_id,
            route: &self.admitted.route.name,
            target: Some(&self.admitted.target),
            arrived: self.admitted.arrived,
            admission: self.admission,
            forwarded_to: self.forwarded_to,
            forwarded_by: self.forwarder_opt(),
        };
        record::reply(&self.shell, context, reply);
        self.is_finished = true;
        reply.to_response()
    }

    /// Marks the exchange as finished: its answer is complete or was aborted.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }

    /// The request's id in the dispatcher while it is in progress.
    pub fn job(&self) -> Option<job::Id> {
        self.job
    }
}

/// The end of an attempt of which nothing was sent, in logs and metrics.
const WITHDRAWN: &str = "withdrawn";

/// The maximum number of idle connections that are kept to another node.
const MAX_IDLE_TO_NODE: usize = 16;

/// Where a request is sent next.
enum Destination {
    /// An endpoint.
    Endpoint(Arc<Endpoint>),
    /// Another node.
    Node(Forward),
}

fn to_end(fault: &CallError) -> End {
    match fault {
        CallError::NotSent(_) | CallError::Withdrawn => End::NotSent,
        CallError::Lost(_) => End::Lost,
        CallError::Late => End::Late,
        CallError::Body(_) => End::Abandoned,
    }
}
