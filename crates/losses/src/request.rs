//! What became of one request, from the lines that speak of it.

use std::collections::HashMap;

use serde::Serialize;
use woadstage_types::code::Code;

use crate::line::Event;
use crate::line::Line;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Served in time.
    InTime,
    /// Late to its first event or answer, mostly by waiting here for an endpoint.
    LateWaited,
    /// Late to its first event or answer, mostly by waiting and reading at the
    /// endpoint.
    LateEndpoint,
    /// A pause between two events was too long.
    LatePause,
    /// Refused at once under load.
    RefusedAtOnce,
    /// Refused after over a quarter of its objective.
    RefusedAfterWait,
    /// Refused again after its caller had returned.
    RefusedOnReturn,
    /// Refused while endpoints that said that they leave were passed over.
    EndpointsLeaving,
    /// Refused while endpoints that had asked for rest were passed over.
    EndpointsResting,
    /// Its customer was over its limit.
    Quota,
    /// No configuration was in force yet.
    NoConfiguration,
    /// The fleet had used up what may be sent again.
    RetryBudget,
    /// The endpoint was lost, or the answer broke off.
    EndpointLost,
    /// The endpoint answered with a fault of its own.
    EndpointFault,
    /// Time ran out at the endpoint.
    TimedOut,
    /// Its caller left.
    CallerLeft,
    /// No final answer stands in the logs: the process ended, or lines were left
    /// out.
    Unfinished,
    /// The configuration does not allow it, or it is no proper request.
    NotAllowed,
}

impl Cause {
    /// Every cause, in the order in which they are shown.
    pub const ALL: [Cause; 18] = [
        Cause::InTime,
        Cause::LateWaited,
        Cause::LateEndpoint,
        Cause::LatePause,
        Cause::RefusedAtOnce,
        Cause::RefusedAfterWait,
        Cause::RefusedOnReturn,
        Cause::EndpointsLeaving,
        Cause::EndpointsResting,
        Cause::Quota,
        Cause::NoConfiguration,
        Cause::RetryBudget,
        Cause::EndpointLost,
        Cause::EndpointFault,
        Cause::TimedOut,
        Cause::CallerLeft,
        Cause::Unfinished,
        Cause::NotAllowed,
    ];

    /// The word for tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::InTime => "in-time",
            Cause::LateWaited => "late-waited",
            Cause::LateEndpoint => "late-endpoint",
            Cause::LatePause => "late-pause",
            Cause::RefusedAtOnce => "refused-at-once",
            Cause::RefusedAfterWait => "refused-after-wait",
            Cause::RefusedOnReturn => "refused-on-return",
            Cause::EndpointsLeaving => "endpoints-leaving",
            Cause::EndpointsResting => "endpoints-resting",
            Cause::Quota => "quota",
            Cause::NoConfiguration => "no-configuration",
            Cause::RetryBudget => "retry-budget",
            Cause::EndpointLost => "endpoint-lost",
            Cause::EndpointFault => "endpoint-fault",
            Cause::TimedOut => "timed-out",
            Cause::CallerLeft => "caller-left",
            Cause::Unfinished => "unfinished",
            Cause::NotAllowed => "not-allowed",
        }
    }
}

/// How a request was let in.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// Its objective, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between events that is in time; 0 for no bound.
    pub pause_limit_ms: u64,
    /// True where its caller seems to have been refused before.
    pub returning: bool,
}

/// How a request was last sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// To which endpoint.
    pub endpoint: String,
    /// How long it had waited, in milliseconds.
    pub waited_ms: u64,
    /// Prompt tokens of its own that the endpoint has to read.
    pub uncached: u64,
}

/// The final answer of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// The status.
    pub status: u16,
    /// The node's own result code; empty for an endpoint's answer.
    pub code: String,
    /// From its arrival to the end, in milliseconds.
    pub after_ms: u64,
    /// Events of a stream.
    pub events: u32,
    /// From its arrival to the first event, in milliseconds.
    pub first_ms: u64,
    /// The longest pause between two events, in milliseconds.
    pub pause_ms: u64,
    /// True where endpoints were passed over as they said that they leave.
    pub passed_leaving: bool,
    /// True where endpoints were passed over as they had asked for rest.
    pub passed_resting: bool,
}

/// One request of a caller, put together from its lines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// When its first line was written, in milliseconds.
    pub at_ms: u64,
    /// Its route; empty where no line tells.
    pub route: String,
    /// How it was let in.
    pub accepted: Option<Accepted>,
    /// How it was last sent.
    pub sent: Option<Sent>,
    /// Its final answer.
    pub answered: Option<Answered>,
    /// True where its customer was over its limit.
    pub over_limit: bool,
    /// True where it was not sent again for want of budget.
    pub no_budget: bool,
    /// True where its caller left.
    pub left: bool,
    /// True where its answer broke off.
    pub cut: bool,
}

/// Puts the requests of one node's log together, in the order of their arrival.
pub fn collect(lines: &[Line]) -> Vec<Request> {
    let mut index: HashMap<&str, usize> = HashMap::new();
    let mut requests: Vec<Request> = Vec::new();
    for line in lines {
        let Some(id) = line.event.request_opt() else {
            continue;
        };
        let at = *index.entry(id).or_insert_with(|| {
            requests.push(Request {
                at_ms: line.time_ms,
                ..Request::default()
            });
            requests.len() - 1
        });
        requests[at].add(line);
    }
    requests
}

impl Event {
    /// The id of the request that a line speaks of.
    fn request_opt(&self) -> Option<&str> {
        match self {
            Event::Accepted { request, .. }
            | Event::OverLimit { request, .. }
            | Event::Sent { request, .. }
            | Event::Attempt { request, .. }
            | Event::Answered { request, .. }
            | Event::Left { request }
            | Event::Cut { request } => Some(request),
            _ => None,
        }
    }
}

impl Request {
    fn add(&mut self, line: &Line) {
        match &line.event {
            Event::Accepted {
                route,
                objective_ms,
                pause_limit_ms,
                returning,
                ..
            } => {
                self.route.clone_from(route);
                self.accepted = Some(Accepted {
                    objective_ms: *objective_ms,
                    pause_limit_ms: *pause_limit_ms,
                    returning: *returning,
                });
            }
            Event::OverLimit { route, .. } => {
                self.route.clone_from(route);
                self.over_limit = true;
            }
            Event::Sent {
                endpoint,
                waited_ms,
                uncached,
                ..
            } => {
                self.sent = Some(Sent {
                    at_ms: line.time_ms,
                    endpoint: endpoint.clone(),
                    waited_ms: *waited_ms,
                    uncached: *uncached,
                });
            }
            Event::Attempt { next, .. } => self.no_budget |= next == "budget",
            Event::Answered {
                status,
                code,
                after_ms,
                events,
                first_ms,
                pause_ms,
                passed_leaving,
                passed_resting,
                ..
            } => {
                self.answered = Some(Answered {
                    status: *status,
                    code: code.clone(),
                    after_ms: *after_ms,
                    events: *events,
                    first_ms: *first_ms,
                    pause_ms: *pause_ms,
                    passed_leaving: !passed_leaving.is_empty(),
                    passed_resting: !passed_resting.is_empty(),
                });
            }
            Event::Left { .. } => self.left = true,
            Event::Cut { .. } => self.cut = true,
            _ => {}
        }
    }

    /// What became of it.
    pub fn cause(&self) -> Cause {
        if self.over_limit {
            return Cause::Quota;
        }
        if self.cut {
            return Cause::EndpointLost;
        }
        match &self.answered {
            None if self.left => Cause::CallerLeft,
            None => Cause::Unfinished,
            Some(answered) if answered.code.is_empty() => self.served_cause(answered),
            Some(answered) => self.own_cause(answered),
        }
    }

    /// The cause of an endpoint's own answer.
    fn served_cause(&self, answered: &Answered) -> Cause {
        match answered.status {
            200..=299 => self.lateness(answered),
            500.. => Cause::EndpointFault,
            _ => Cause::InTime,
        }
    }

    fn lateness(&self, answered: &Answered) -> Cause {
        let Some(accepted) = &self.accepted else {
            return Cause::InTime;
        };
        let first_ms = match answered.events {
            0 => answered.after_ms,
            _ => answered.first_ms,
        };
        if first_ms > accepted.objective_ms {
            let waited_ms = self.sent.as_ref().map_or(0, |sent| sent.waited_ms);
            return match waited_ms > first_ms / 2 {
                true => Cause::LateWaited,
                false => Cause::LateEndpoint,
            };
        }
        let bound = accepted.pause_limit_ms;
        match bound > 0 && answered.pause_ms > bound {
            true => Cause::LatePause,
            false => Cause::InTime,
        }
    }

    /// The cause of an answer of the node's own.
    fn own_cause(&self, answered: &Answered) -> Cause {
        let is = |code: Code| answered.code == code.to_string();
        if is(Code::NotReady) {
            return Cause::NoConfiguration;
        }
        if is(Code::CustomerLimit) {
            return Cause::Quota;
        }
        if is(Code::AnswerLate) {
            return Cause::TimedOut;
        }
        if answered.status == 503 && answered.passed_resting {
            return Cause::EndpointsResting;
        }
        if answered.status == 503 && answered.passed_leaving {
            return Cause::EndpointsLeaving;
        }
        if self.no_budget {
            return Cause::RetryBudget;
        }
        match answered.status {
            503 => self.refusal(answered),
            500.. if is(Code::EndpointFault) => Cause::EndpointFault,
            500.. => Cause::EndpointLost,
            _ => Cause::NotAllowed,
        }
    }

    fn refusal(&self, answered: &Answered) -> Cause {
        let Some(accepted) = &self.accepted else {
            return Cause::RefusedAtOnce;
        };
        if accepted.returning {
            return Cause::RefusedOnReturn;
        }
        match answered.after_ms * 4 > accepted.objective_ms {
            true => Cause::RefusedAfterWait,
            false => Cause::RefusedAtOnce,
        }
    }
}
