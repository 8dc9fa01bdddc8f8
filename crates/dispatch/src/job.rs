//! A request, from its arrival to its final answer.

use std::fmt;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::binding::Binding;
use crate::binding::Stream;
use crate::configuration::Rank;
use crate::lease::Origin;
use crate::region::Constraint;

/// Identifies a request within one incarnation of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies all requests for the same thing: those with the same method, host, path, customer and
/// body. Each attempt of a caller has its own id but the same fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A part of a prompt, which other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The identifier of its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a caller declares about a request for an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// The length of the prompt in tokens.
    pub tokens: u64,
    /// The maximum number of tokens in the answer.
    pub output: u64,
    /// The caller's estimate of the number of tokens in the answer.
    pub output_hint: Option<u64>,
    /// The prompt's first parts, in order.
    pub parts: Vec<Part>,
    /// The ids of the parts after those. Only the node that holds the request knows them.
    #[serde(skip)]
    pub further_parts: Vec<u64>,
}

impl Prompt {
    /// Iterates over the ids of all parts, in order.
    pub fn part_ids(&self) -> impl Iterator<Item = u64> + '_ {
        let first = self.parts.iter().map(|part| part.id);
        first.chain(self.further_parts.iter().copied())
    }
}

/// A request to be run.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// The service that it is for.
    pub target: id::Target,
    /// The name of its route, under which typical durations are learnt.
    pub route: String,
    /// Its rank in the queue.
    pub rank: Rank,
    /// Whether it is safe to run more than once.
    pub repeatable: bool,
    /// The maximum number of endpoints that it may be sent to.
    pub attempts: u32,
    /// When it arrived.
    pub arrived: Time,
    /// When its caller first tried, as far as known.
    pub first_try: Time,
    /// The deadline, set by its caller or its route.
    pub deadline: Time,
    /// The time from its caller's first try within which its answer meets the objective.
    pub objective: Span,
    /// How long its caller waits for the answer or for its first event.
    pub caller_timeout: Span,
    /// The longest pause between two events that still meets the objective.
    pub pause: Option<Span>,
    /// What an engine reads and writes for it.
    pub prompt: Prompt,
    /// The attempts made so far.
    pub history: History,
    /// The node that holds the request, if not this one.
    pub origin: Option<Origin>,
    /// The number of the only endpoint that may run it, if restricted to one.
    pub only_endpoint: Option<u32>,
    /// The numbers of endpoints that rest for the node that holds the request, if not this one.
    pub avoided: Vec<u32>,
    /// Whether it is barred by the quarantine and runs as a trial.
    pub trial: bool,
    /// The regions in which it may run. Only the node that holds the request knows them.
    pub constraint: Constraint,
    /// The number of its customer, if it has one and the node knows it.
    pub customer: Option<u64>,
    /// Whether its caller was refused before and returns to a place that was booked for it.
    pub is_booked: bool,
    /// Whether the owner of other slots redirected it to this node.
    pub is_redirected: bool,
    /// Whether another node, which can't reach the endpoints, forwarded it to this node.
    pub is_forwarded: bool,
    /// The nodes that this node forwarded it to and that did not run it.
    pub declined_by: Vec<SocketAddrV4>,
    /// The stream that it begins or takes up, if that can be resumed.
    pub stream: Option<Stream>,
    /// Which versions of the endpoints' software may run it.
    pub binding: Binding,
}

impl Job {
    /// Whether the request was never offered to an endpoint. Only such a request may be
    /// refused on arrival.
    pub fn is_untried(&self) -> bool {
        self.history == History::default()
    }

    /// Whether the caller has tried before, so that another refusal would be final.
    pub fn is_caller_retry(&self) -> bool {
        self.first_try < self.arrived
    }

    /// Whether another attempt may follow the next one.
    pub fn has_spare_attempt(&self) -> bool {
        self.history.sent + 1 < self.attempts
    }

    /// The time until which its answer or first event meets the objective.
    pub fn objective_deadline(&self) -> Time {
        self.first_try + self.objective
    }

    /// The time after which it is of no use to its caller if nothing has arrived by then.
    pub fn expires_at(&self) -> Time {
        self.deadline.min(self.arrived + self.caller_timeout)
    }
}

/// The attempts made for a request so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// The numbers of endpoints that it was offered to; they are not tried again.
    pub tried: Vec<u32>,
    /// The number of endpoints that received at least one byte of it.
    pub sent: u32,
    /// The number of failed connection attempts.
    pub connect_failures: u32,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    /// Whether a connection broke after it was sent.
    pub connection_broke: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The whole answer arrived, and the request succeeded.
    Whole,
    /// The whole answer arrived and rejects the request as invalid.
    Rejected,
    /// No byte of the request was written.
    NotSent,
    /// The endpoint reported that it did not run the request for lack of capacity.
    Full,
    /// The endpoint reported that it did not run the request because it is not the one addressed or
    /// is leaving.
    NotThere,
    /// The endpoint ran the request and answered with an error of its own.
    Fault,
    /// The request was sent, and the connection broke before the whole answer arrived.
    Lost,
    /// The request was sent, and its time ran out before the whole answer arrived.
    Late,
    /// The caller left or its time ran out.
    Abandoned,
}

impl End {
    /// Whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, End::NotSent | End::Full | End::NotThere)
    }

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            End::Whole => "whole",
            End::Rejected => "rejected",
            End::NotSent => "not-sent",
            End::Full => "full",
            End::NotThere => "not-there",
            End::Fault => "fault",
            End::Lost => "lost",
            End::Late => "late",
            End::Abandoned => "abandoned",
        }
    }
}
