//! One request of a caller: attempts at endpoints until there is an answer.

use std::net::SocketAddrV4;
use std::rc::Rc;

use hyper::Response;
use hyper::StatusCode;
use hyper::http::request::Parts;
use tokio::sync::oneshot;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::dispatcher::Reason;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Fingerprint;
use woadstage_types::code::Code;
use woadstage_types::code::Outcome;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::admit::Admitted;
use super::charge;
use super::charge::Charged;
use super::fingerprint;
use super::judge;
use super::judge::Verdict;
use super::note;
use super::note::Asked;
use super::outgoing;
use super::outgoing::Attempt;
use super::payload::Payload;
use super::read_notice;
use super::read_notice::Read;
use super::reply::Reply;
use crate::event::Event;
use crate::headers::text;
use crate::shell::Shell;
use crate::upstream::Answer;
use crate::upstream::Body;
use crate::upstream::Fault;
use crate::upstream::probe;

/// A request on its way to an answer. Dropping it means that the caller left.
pub struct Exchange {
    /// What all tasks share.
    pub shell: Rc<Shell>,
    /// How it was let in.
    pub admitted: Admitted,
    /// When it was last sent.
    pub sent_at: Time,
    /// The endpoint that it was last sent to.
    pub endpoint: Option<std::sync::Arc<Endpoint>>,
    head: Parts,
    payload: Option<Payload>,
    fingerprint: Option<Fingerprint>,
    job: Option<job::Id>,
    decision: Option<oneshot::Receiver<Decision>>,
    units: u64,
    charged: Charged,
    may_have_run: bool,
    over: bool,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(job) = self.job.take() else {
            return;
        };
        self.shell
            .command(|dispatcher, now| dispatcher.abandon(now, job));
        if !self.over {
            let after = self.shell.now().since(self.admitted.arrived);
            self.shell.log(&Event::Left {
                request: &self.admitted.request,
                after_ms: after.0 / 1_000,
            });
        }
    }
}

impl Exchange {
    /// A request that was let in, with no body yet.
    pub fn new(shell: Rc<Shell>, admitted: Admitted, head: Parts) -> Exchange {
        Exchange {
            units: admitted.units(&shell.headers, &head),
            sent_at: admitted.arrived,
            shell,
            admitted,
            head,
            endpoint: None,
            payload: None,
            fingerprint: None,
            job: None,
            decision: None,
            charged: Charged::Nowhere,
            may_have_run: false,
            over: false,
        }
    }

    /// Takes the body, as far as it was read.
    pub fn set_payload(&mut self, payload: Payload) {
        self.payload = Some(payload);
    }

    /// Charges the customer and puts the request in line.
    ///
    /// # Errors
    /// The answer to a request that does not fit its customer's quota.
    pub async fn enter(&mut self) -> Result<(), Reply> {
        let shell = self.shell.clone();
        self.charged = charge::charge(&shell, &self.admitted, self.units).await?;
        let left = self.admitted.caller_deadline.since(self.admitted.arrived);
        let timeout = self.admitted.route.timeout;
        let since_first_try =
            shell.command(|dispatcher, now| dispatcher.since_first_try(now, left, timeout));
        let fingerprint = fingerprint::of(&self.admitted, &self.head, self.payload.as_ref());
        let job = self
            .admitted
            .to_job(&shell.headers, &self.head, fingerprint, since_first_try);
        shell.log(&Event::Accepted {
            request: &self.admitted.request,
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
            quota: &self.charged.to_string(),
            configuration: self.admitted.version,
        });
        self.fingerprint = Some(fingerprint);
        let (job, decision) = shell.enter(job);
        self.job = Some(job);
        self.decision = Some(decision);
        Ok(())
    }

    /// Sends the request to endpoints, one after the other, until one gives an
    /// answer that the caller is to have.
    ///
    /// # Errors
    /// The final answer of this node's own.
    pub async fn run(&mut self, last_event: Option<&str>) -> Result<Answer, Reply> {
        loop {
            let endpoint = self.decided().await?;
            let sent = self.send(&endpoint, last_event).await;
            let (end, detail) = match sent {
                Ok(answer) => match self.judge(&answer) {
                    Verdict::Pass => return Ok(answer),
                    Verdict::Retry(end) => {
                        let detail = self.to_detail(&answer);
                        // An endpoint's own fault may still be the answer.
                        if end == End::Fault && !self.goes_on(end, &detail) {
                            return self.pass_fault(answer);
                        }
                        if end == End::Fault {
                            continue;
                        }
                        (end, detail)
                    }
                },
                Err(fault) => (to_end(&fault), fault.to_string()),
            };
            if !self.goes_on(end, &detail) {
                return Err(self.give_up(end));
            }
        }
    }

    /// Waits until it is decided where the request goes.
    async fn decided(&mut self) -> Result<std::sync::Arc<Endpoint>, Reply> {
        let Some(decision) = self.decision.take() else {
            return Err(Code::EndpointLost.into());
        };
        match self
            .shell
            .timeout_at(self.admitted.deadline, decision)
            .await
        {
            Ok(Ok(Decision::Start {
                endpoint,
                reason,
                owner,
                ..
            })) => {
                self.note_sent(&endpoint, reason, owner);
                Ok(endpoint)
            }
            Ok(Ok(Decision::Refuse { refusal, .. })) => Err(self.refused(refusal.into())),
            Ok(Err(_)) | Err(_) => Err(self.refused(Code::TooLate.into())),
        }
    }

    /// A refusal, unless an earlier attempt may have run.
    fn refused(&self, reply: Reply) -> Reply {
        if self.may_have_run {
            return Code::EndpointLost.into();
        }
        if let Some(fingerprint) = self.fingerprint.filter(|_| reply.code == Code::Barred) {
            note::barred(&self.shell, &self.admitted, fingerprint);
        }
        reply
    }

    fn note_sent(
        &mut self,
        endpoint: &std::sync::Arc<Endpoint>,
        reason: Reason,
        owner: Option<SocketAddrV4>,
    ) {
        self.sent_at = self.shell.now();
        self.endpoint = Some(endpoint.clone());
        note::sent(&self.shell, &self.admitted, endpoint, reason, owner);
    }

    async fn send(
        &mut self,
        endpoint: &Endpoint,
        last_event: Option<&str>,
    ) -> Result<Answer, Fault> {
        let attempt = Attempt {
            endpoint,
            left: self.admitted.caller_deadline.since(self.shell.now()),
            last_event,
        };
        let names = &self.shell.headers;
        let request = self.payload.as_mut().and_then(|payload| {
            outgoing::make(names, &self.admitted, &self.head, payload, &attempt)
        });
        let Some(request) = request else {
            return Err(Fault::Lost("the body has gone out already".into()));
        };
        let shell = self.shell.clone();
        let call = shell.upstream.call(shell.now(), endpoint, request);
        match shell.timeout_at(self.admitted.deadline, call).await {
            Ok(sent) => sent,
            Err(_) => Err(Fault::Late),
        }
    }

    fn judge(&self, answer: &Answer) -> Verdict {
        let response = &answer.response;
        let names = &self.shell.headers;
        let verdict = judge::judge(
            names,
            &self.admitted.request,
            response.status(),
            response.headers(),
        );
        let read = read_notice::read(names, response.status(), response.headers(), verdict);
        self.take_notice(read);
        verdict
    }

    /// The status of an answer, and where it turns the request away, for how long its
    /// endpoint says that it wants nothing.
    fn to_detail(&self, answer: &Answer) -> String {
        let status = answer.response.status();
        let rest = text(answer.response.headers(), &self.shell.headers.rest);
        let rest = rest.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        match rest {
            Some(rest) => format!("{}, rest {rest}", status.as_u16()),
            None => status.as_u16().to_string(),
        }
    }

    /// Takes what an answer says of its endpoint.
    fn take_notice(&self, read: Read) {
        for unreadable in &read.unreadable {
            note::unreadable(&self.shell, unreadable);
        }
        let Some((job, endpoint)) = self.job.zip(self.endpoint.as_ref()) else {
            return;
        };
        let take =
            |dispatcher: &mut Dispatcher, now| dispatcher.apply_notice(now, job, &read.notice);
        for change in self.shell.command(take) {
            let request = &self.admitted.request;
            let endpoint = endpoint.name.as_str();
            self.shell.note_change(request, endpoint, change);
        }
    }

    /// Passes an endpoint's own fault to the caller, unless its status would
    /// promise what is not known to be true.
    fn pass_fault(&self, answer: Answer) -> Result<Answer, Reply> {
        if judge::promises_not_run(answer.response.status()) {
            return Err(Code::EndpointFault.into());
        }
        Ok(answer)
    }

    /// Tells how an attempt ended; true where the request goes on elsewhere.
    pub fn goes_on(&mut self, end: End, detail: &str) -> bool {
        let Some(job) = self.job else {
            return false;
        };
        self.may_have_run |= !end.is_not_run();
        let (next, decision) = self.shell.end(job, end);
        self.decision = decision;
        if let Some(endpoint) = self.endpoint.as_ref().filter(|_| end == End::Lost) {
            probe::look_after(&self.shell, endpoint);
        }
        let next_word = match next {
            Next::Over => "over",
            Next::Again => "again",
            Next::Final(cause) => cause.as_str(),
        };
        let endpoint = self
            .endpoint
            .as_ref()
            .map_or("", |endpoint| endpoint.name.as_str());
        self.shell
            .metrics
            .attempt(self.admitted.target.as_str(), end.as_str());
        self.shell.log(&Event::Attempt {
            request: &self.admitted.request,
            endpoint,
            end: end.as_str(),
            next: next_word,
            detail,
            after_ms: self.shell.now().since(self.sent_at).0 / 1_000,
        });
        if next != Next::Again {
            self.job = None;
        }
        // A body that passed through cannot be sent a second time.
        let can_send = self.payload.as_ref().is_some_and(Payload::can_send);
        next == Next::Again && can_send
    }

    /// The final answer after an attempt that nothing follows.
    fn give_up(&self, end: End) -> Reply {
        if !self.may_have_run {
            let retry_after = self.shell.query(|dispatcher, now| {
                let left = self.admitted.deadline.since(now);
                dispatcher.retry_after_refusal(now, &self.admitted.target, left)
            });
            return Reply {
                code: Code::EndpointRefused,
                retry_after: Some(retry_after),
                wait: None,
                owner: None,
            };
        }
        let late = self.shell.now() >= self.admitted.deadline;
        match end {
            _ if late => Code::AnswerLate.into(),
            End::Fault => Code::EndpointFault.into(),
            _ => Code::EndpointLost.into(),
        }
    }

    /// Gives the caller an answer of this node's own.
    pub fn refuse(mut self, reply: Reply) -> Response<Body> {
        let not_run = reply.code.outcome() == Outcome::NotRun;
        if not_run {
            charge::give_back(&self.shell, &self.admitted, self.units, self.charged);
        }
        let asked = Asked {
            request: &self.admitted.request,
            route: &self.admitted.route.name,
            target: Some(&self.admitted.target),
            arrived: self.admitted.arrived,
        };
        note::answer(&self.shell, asked, reply);
        self.over = true;
        reply.to_response()
    }

    /// The exchange has its whole answer, or broke off.
    pub fn finish(&mut self) {
        self.over = true;
    }

    /// The request's id in the dispatcher while it is under way.
    pub fn job(&self) -> Option<job::Id> {
        self.job
    }
}

fn to_end(fault: &Fault) -> End {
    match fault {
        Fault::NotSent(_) => End::NotSent,
        Fault::Lost(_) => End::Lost,
        Fault::Late => End::Late,
    }
}
