//! One request, from its arrival to its final answer.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::configuration::Rank;
use crate::lease::Origin;
use crate::region::Bound;

/// Names a request within one life of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Names all requests that ask for the same: of one method, host, path, customer
/// and body. Each attempt of a caller has an id of its own; this stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A part of a prompt, which other requests may begin with too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its name.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a caller says of a request for an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// The most tokens of the answer.
    pub output: u64,
    /// The caller's estimate of the tokens of the answer.
    pub output_hint: Option<u64>,
    /// The prompt's parts, in order.
    pub parts: Vec<Part>,
}

/// A request that is to be run.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// The service.
    pub target: id::Target,
    /// The name of its route, under which its usual length is learnt.
    pub route: String,
    /// Its rank.
    pub rank: Rank,
    /// True where running it twice does no harm.
    pub repeatable: bool,
    /// The most endpoints it may be sent to.
    pub attempts: u32,
    /// When it came.
    pub arrived: Time,
    /// When its caller first tried, as far as that is known.
    pub first_try: Time,
    /// When its caller, or its route, gives it up.
    pub deadline: Time,
    /// Within which time from its caller's first try its answer is in time.
    pub objective: Span,
    /// How long its caller waits for the answer, or its first event.
    pub patience: Span,
    /// The longest pause between two events that still counts as in time.
    pub pause: Option<Span>,
    /// What an engine would read and write for it.
    pub prompt: Prompt,
    /// What was tried so far.
    pub history: History,
    /// The node that has the request, where it is another.
    pub origin: Option<Origin>,
    /// The number of the only endpoint that may run it, where that is decided.
    pub only: Option<u32>,
    /// Numbers of endpoints that want nothing from the node that has the request, where
    /// that is another.
    pub avoided: Vec<u32>,
    /// True where it is barred, and is tried once more.
    pub trial: bool,
    /// In which regions it may run. Of another node's request only that node knows.
    pub bound: Bound,
}

impl Job {
    /// True until it was offered to an endpoint: only then may it be refused at
    /// the door.
    pub fn is_untried(&self) -> bool {
        self.history == History::default()
    }

    /// True where its caller comes back: refusing it once more would be the end
    /// of it.
    pub fn is_caller_retry(&self) -> bool {
        self.first_try < self.arrived
    }

    /// True where a further attempt may follow the next one.
    pub fn has_spare_attempt(&self) -> bool {
        self.history.sent + 1 < self.attempts
    }

    /// Until when its answer, or its first event, is in time.
    pub fn objective_deadline(&self) -> Time {
        self.first_try + self.objective
    }

    /// When it is of no use to its caller any more if nothing has come.
    pub fn expires_at(&self) -> Time {
        self.deadline.min(self.arrived + self.patience)
    }
}

/// What was tried for a request so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Numbers of endpoints that it was offered to, which are not tried again.
    pub tried: Vec<u32>,
    /// Endpoints that at least a byte of it was sent to.
    pub sent: u32,
    /// Attempts at connecting that failed.
    pub connect_failures: u32,
    /// True once an endpoint may have run it.
    pub may_have_run: bool,
    /// True once it was sent and its connection broke.
    pub connection_broke: bool,
}

/// How one attempt at running a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The whole answer came, of a request that ran to a good end.
    Whole,
    /// The whole answer came, and says that there is something wrong with the request.
    Rejected,
    /// No byte of the request was written.
    NotSent,
    /// The endpoint said that it did not run it, for want of room.
    Full,
    /// The endpoint said that it did not run it since it is not the one meant,
    /// or is leaving.
    NotThere,
    /// The endpoint ran it and answered with a fault of its own.
    Fault,
    /// It was sent, and the connection broke before the whole answer came.
    Lost,
    /// It was sent, and its time ran out before the whole answer came.
    Late,
    /// The caller left, or its time ran out.
    Abandoned,
}

impl End {
    /// True where the request certainly has not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, End::NotSent | End::Full | End::NotThere)
    }

    /// The word for logs and metrics.
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
