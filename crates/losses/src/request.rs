//! Reconstructs requests from log lines and determines why they were lost.

use std::collections::HashMap;

use serde::Serialize;
use woadstage_types::code::Code;

use crate::line::Event;
use crate::line::Line;

/// The word by which a refusal counts endpoints that the node could not connect to.
const UNREACHABLE: &str = "unreachable";

/// The outcome of a request: served in time, or the cause of its loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Served in time.
    InTime,
    /// The first event or answer was late, mostly because of queueing in the node.
    LateWaited,
    /// The first event or answer was late, mostly because of queueing and prompt
    /// processing at the endpoint.
    LateEndpoint,
    /// A pause between two events exceeded the limit.
    LatePause,
    /// Refused by the node (503) within a quarter of its objective, or before it was
    /// admitted. Covers refusals because of load and all 503 answers with no other cause.
    RefusedAtOnce,
    /// Refused by the node (503) after more than a quarter of its objective.
    RefusedAfterWait,
    /// Refused by the node (503) again when the caller appeared to retry after a refusal.
    RefusedOnReturn,
    /// Refused while endpoints were skipped because they had announced that they
    /// leave.
    EndpointsLeaving,
    /// Refused while endpoints were skipped because they had asked for a rest.
    EndpointsResting,
    /// Refused while the node could not connect to endpoints.
    EndpointsUnreachable,
    /// The customer exceeded its quota.
    Quota,
    /// No configuration had taken effect yet.
    NoConfiguration,
    /// The retry budget was exhausted.
    RetryBudget,
    /// The endpoint was lost, the answer was cut off before its end, or the node answered
    /// with a server error that has no other cause.
    EndpointLost,
    /// The endpoint answered with a server error.
    EndpointFault,
    /// The endpoint did not answer in time.
    TimedOut,
    /// The caller disconnected.
    CallerLeft,
    /// The logs contain no final answer: the process ended, or log lines were
    /// dropped.
    Unfinished,
    /// The configuration does not allow the request, or the request is malformed.
    NotAllowed,
}

impl Cause {
    /// All causes, in display order.
    pub const ALL: [Cause; 19] = [
        Cause::InTime,
        Cause::LateWaited,
        Cause::LateEndpoint,
        Cause::LatePause,
        Cause::RefusedAtOnce,
        Cause::RefusedAfterWait,
        Cause::RefusedOnReturn,
        Cause::EndpointsLeaving,
        Cause::EndpointsResting,
        Cause::EndpointsUnreachable,
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

    /// Returns the name used in tables and charts.
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
            Cause::EndpointsUnreachable => "endpoints-unreachable",
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

/// The admission of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// Latency objective for the first event or the answer, in milliseconds.
    pub objective_ms: u64,
    /// The longest permitted pause between events, in milliseconds; 0 for no
    /// limit.
    pub pause_limit_ms: u64,
    /// Whether the caller appears to retry after a refusal.
    pub returning: bool,
}

/// The last dispatch of a request to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// Time of the dispatch, in milliseconds.
    pub sent_at_ms: u64,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Queueing time before it was sent, in milliseconds.
    pub waited_ms: u64,
    /// The estimated number of prompt tokens that the endpoint has to read.
    pub uncached: u64,
}

/// The final answer of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// Result code of the node; empty if the endpoint answered.
    pub code: String,
    /// Time from arrival to the end of the answer, in milliseconds.
    pub duration_ms: u64,
    /// Number of events in a stream; 0 for a plain answer.
    pub events: u32,
    /// Time from arrival to the first event, in milliseconds.
    pub first_event_ms: u64,
    /// The longest pause between two events, in milliseconds.
    pub max_pause_ms: u64,
    /// Whether an owner redirected the request to another.
    pub redirected: bool,
    /// Whether its caller had claimed a booking.
    pub booked: bool,
    /// Whether a place was booked for its caller when it was refused.
    pub has_booking: bool,
    /// Whether endpoints were skipped because they had announced that they
    /// leave.
    pub skipped_leaving: bool,
    /// Whether endpoints were skipped because they had asked for a rest.
    pub skipped_resting: bool,
    /// Whether the node could not connect to some endpoints.
    pub has_unreachable: bool,
}

/// A request, reconstructed from its log lines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// Time of its first log line, in milliseconds.
    pub arrived_at_ms: u64,
    /// Name of the route; empty if no line contains it.
    pub route: String,
    /// Its admission, if it was admitted.
    pub accepted: Option<Accepted>,
    /// Its last dispatch, if it was sent to an endpoint.
    pub sent: Option<Sent>,
    /// Its final answer, if it received one.
    pub answered: Option<Answered>,
    /// Whether the customer exceeded its quota.
    pub over_limit: bool,
    /// Whether it was not retried because the retry budget was exhausted.
    pub retry_budget_exhausted: bool,
    /// Whether the caller disconnected.
    pub caller_left: bool,
    /// Whether the answer was cut off before its end.
    pub answer_cut: bool,
    /// Whether another node forwarded it, whose log has its outcome.
    pub is_forwarded: bool,
}

/// Reconstructs the requests of callers in the log of one node, in order of arrival.
pub fn collect(lines: &[Line]) -> Vec<Request> {
    let mut index: HashMap<&str, usize> = HashMap::new();
    let mut requests: Vec<Request> = Vec::new();
    for line in lines {
        let Some(id) = line.event.request_opt() else {
            continue;
        };
        let position = *index.entry(id).or_insert_with(|| {
            requests.push(Request {
                arrived_at_ms: line.time_ms,
                ..Request::default()
            });
            requests.len() - 1
        });
        requests[position].apply(line);
    }
    requests.retain(|request| !request.is_forwarded);
    requests
}

impl Event {
    /// Returns the id of the request that the event belongs to.
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
    fn apply(&mut self, line: &Line) {
        match &line.event {
            Event::Accepted {
                route,
                objective_ms,
                pause_limit_ms,
                returning,
                forwarded_by,
                ..
            } => {
                self.is_forwarded = !forwarded_by.is_empty();
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
                    sent_at_ms: line.time_ms,
                    endpoint: endpoint.clone(),
                    waited_ms: *waited_ms,
                    uncached: *uncached,
                });
            }
            Event::Attempt { next, .. } => self.retry_budget_exhausted |= next == "budget",
            Event::Answered {
                status,
                code,
                after_ms,
                events,
                first_ms,
                pause_ms,
                redirected,
                booked,
                booking_ms,
                passed_leaving,
                passed_resting,
                unusable,
                forwarded_by,
                ..
            } => {
                self.is_forwarded |= !forwarded_by.is_empty();
                self.answered = Some(Answered {
                    status: *status,
                    code: code.clone(),
                    duration_ms: *after_ms,
                    events: *events,
                    first_event_ms: *first_ms,
                    max_pause_ms: *pause_ms,
                    redirected: *redirected,
                    booked: *booked,
                    has_booking: *booking_ms > 0,
                    skipped_leaving: !passed_leaving.is_empty(),
                    skipped_resting: !passed_resting.is_empty(),
                    has_unreachable: unusable.contains(UNREACHABLE),
                });
            }
            Event::Left { .. } => self.caller_left = true,
            Event::Cut { .. } => self.answer_cut = true,
            _ => {}
        }
    }

    /// Returns the cause of the loss, or [`Cause::InTime`].
    pub fn cause(&self) -> Cause {
        if self.over_limit {
            return Cause::Quota;
        }
        if self.answer_cut {
            return Cause::EndpointLost;
        }
        match &self.answered {
            None if self.caller_left => Cause::CallerLeft,
            None => Cause::Unfinished,
            Some(answered) if answered.code.is_empty() => self.endpoint_answer_cause(answered),
            Some(answered) => self.node_answer_cause(answered),
        }
    }

    /// Classifies an answer from an endpoint.
    fn endpoint_answer_cause(&self, answered: &Answered) -> Cause {
        match answered.status {
            200..=299 => self.timing_cause(answered),
            500.. => Cause::EndpointFault,
            _ => Cause::InTime,
        }
    }

    /// Classifies a successful answer by the time to its first event and its longest pause.
    fn timing_cause(&self, answered: &Answered) -> Cause {
        let Some(accepted) = &self.accepted else {
            return Cause::InTime;
        };
        let first_event_ms = match answered.events {
            0 => answered.duration_ms,
            _ => answered.first_event_ms,
        };
        if first_event_ms > accepted.objective_ms {
            let waited_ms = self.sent.as_ref().map_or(0, |sent| sent.waited_ms);
            return match waited_ms > first_event_ms / 2 {
                true => Cause::LateWaited,
                false => Cause::LateEndpoint,
            };
        }
        let limit_ms = accepted.pause_limit_ms;
        match limit_ms > 0 && answered.max_pause_ms > limit_ms {
            true => Cause::LatePause,
            false => Cause::InTime,
        }
    }

    /// Classifies an answer that the node generated.
    fn node_answer_cause(&self, answered: &Answered) -> Cause {
        let is_code = |code: Code| answered.code == code.to_string();
        if is_code(Code::NotReady) {
            return Cause::NoConfiguration;
        }
        if is_code(Code::CustomerLimit) {
            return Cause::Quota;
        }
        if is_code(Code::AnswerLate) {
            return Cause::TimedOut;
        }
        if answered.status == 503 && answered.skipped_resting {
            return Cause::EndpointsResting;
        }
        if answered.status == 503 && answered.skipped_leaving {
            return Cause::EndpointsLeaving;
        }
        if answered.status == 503 && answered.has_unreachable {
            return Cause::EndpointsUnreachable;
        }
        if self.retry_budget_exhausted {
            return Cause::RetryBudget;
        }
        match answered.status {
            503 => self.refusal_cause(answered),
            500.. if is_code(Code::EndpointFault) => Cause::EndpointFault,
            500.. => Cause::EndpointLost,
            _ => Cause::NotAllowed,
        }
    }

    /// Classifies a refusal (503) that has no other cause.
    fn refusal_cause(&self, answered: &Answered) -> Cause {
        let Some(accepted) = &self.accepted else {
            return Cause::RefusedAtOnce;
        };
        if accepted.returning {
            return Cause::RefusedOnReturn;
        }
        match answered.duration_ms * 4 > accepted.objective_ms {
            true => Cause::RefusedAfterWait,
            false => Cause::RefusedAtOnce,
        }
    }
}
