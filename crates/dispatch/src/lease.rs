//! Leases of endpoints' slots. In a fleet of several cells the slots of each
//! cell have an owner among its nodes, which alone gives them out: the others
//! ask it for each request, and tell it how the request went. What crosses the
//! network may be lost, doubled or overtaken, so the node that asks repeats its
//! question until it has an answer, and the owner asks after leases that last.
//!
//! Without owners, nodes of a cell hear of each other 100 ms late and take the same
//! slots: in a fleet of 72 nodes in virtual time, at four fifths of the load that
//! its endpoints can bear, 23 in 100 requests went to one without a free slot, and
//! 55 in 100 of a small service that all cells share; with owners under 1 in 100
//! (`tests/dispatch/fleet`). On two days of bursts played with 295 nodes, worth
//! rose from 0.365 and 0.315 to 0.578 and 0.448.
//!
//! No promise to a caller rests on a lease. An owner that fails is replaced by
//! another that knows less for a moment, and a node that reaches none decides
//! on its own view.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;

use crate::configuration::Rank;
use crate::dispatcher::Reason;
use crate::dispatcher::Refusal;
use crate::job::End;
use crate::job::Fingerprint;
use crate::job::Prompt;
use crate::rate_limit::Limit;

/// Asks the owner of slots for one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The life of the node that asks.
    pub incarnation: u64,
    /// Names the question within that life.
    pub number: u64,
    /// What its request asks for.
    pub fingerprint: Fingerprint,
    /// The service's number.
    pub service: u32,
    /// The only endpoint whose slots are asked for, where owners have one each.
    pub endpoint: Option<u32>,
    /// True where a slot is asked for that the owner's cell has to spare now:
    /// the request is not put in its queue.
    pub spare: bool,
    /// The rank of the request.
    pub rank: Rank,
    /// The time from its caller's first try until it came.
    pub tried_for: Span,
    /// The time since it came.
    pub age: Span,
    /// The time from its coming until its caller, or its route, gives it up.
    pub within: Span,
    /// The time from its caller's first try within which its answer is in time.
    pub objective: Span,
    /// How long its caller waits for the answer, or its first event.
    pub patience: Span,
    /// The longest pause between two events that still counts as in time.
    pub pause: Option<Span>,
    /// What an engine would read and write for it.
    pub prompt: Prompt,
    /// Numbers of endpoints that it was offered to.
    pub tried: Vec<u32>,
    /// Numbers of endpoints that want nothing from the node that asks.
    #[serde(skip)]
    pub avoided: Vec<u32>,
}

/// What an owner answers to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of the question.
    pub number: u64,
    /// The answer.
    pub answer: Answer,
}

/// An owner's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The request waits in the owner's queue; another answer follows.
    Waiting,
    /// It has a slot.
    Granted {
        /// The endpoint's number.
        endpoint: u32,
        /// Why there.
        reason: Reason,
    },
    /// It is not served; its caller is to be told.
    Refused(Refusal),
    /// The owner has no such slot to give; another may.
    Denied,
}

/// Tells an owner how a request goes that has a slot, or waits for one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the question.
    pub number: u64,
    /// What happened.
    pub event: Event,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// It is still under way, in answer to a [`Check`].
    Held,
    /// The first event of its stream came.
    First,
    /// Further events of its stream came.
    Progress,
    /// Its endpoint said that it is cold.
    Cold {
        /// For how long.
        cold_for: Span,
    },
    /// It is over, at the endpoint or in the owner's queue: the slot is free.
    Ended {
        /// How it ended.
        end: End,
        /// What was seen of its stream.
        seen: Seen,
    },
    /// Its endpoint's answer named a rate limit, or none any more. Sent to nodes alone
    /// that keep rate limits.
    RateLimit {
        /// The limit.
        limit: Option<Limit>,
    },
}

/// What was seen of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Its events.
    pub events: u32,
    /// The shortest time between two of them, in microseconds.
    pub step: Option<u32>,
    /// How long the call took, where its answer was whole.
    pub took: Option<Span>,
}

/// Asks whether a node still holds a slot that it was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The number of the question that the slot was given to.
    pub number: u64,
}

/// Which node asked an owner, and how it names its question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The node.
    pub node: SocketAddrV4,
    /// The number of its question.
    pub number: u64,
}

/// A slot that an owner gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The owner.
    pub owner: SocketAddrV4,
    /// The owner's life, as last heard when the slot was given; 0 where it was
    /// not heard.
    pub incarnation: u64,
    /// The number of the question.
    pub number: u64,
}
