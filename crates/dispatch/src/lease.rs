//! Leases of endpoints' slots. In a fleet of several cells each cell's slots have an owner
//! among its nodes, which alone grants them. The other nodes ask it for a slot for each
//! request and report the request's progress. Messages may be lost, duplicated or
//! reordered, so the borrowing node repeats its request until it is answered, and the owner
//! checks on leases that last.
//!
//! Without owners, nodes of a cell see each other's load 100 ms late and take the same slots.
//! In a simulated fleet of 72 nodes at four fifths of the endpoints' capacity, 23 in 100
//! requests went to an endpoint without a free slot, and 55 in 100 for a small service that
//! all cells share; with owners it is under 1 in 100 (`tests/dispatch/fleet`).
//!
//! Leases affect only the balance of load; no guarantee to a caller depends on them. An
//! owner that fails is replaced by another, which knows less for a moment, and a node that
//! reaches no owner decides on its own view.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::configuration::Rank;
use crate::dispatcher::Reason;
use crate::dispatcher::Refusal;
use crate::job::End;
use crate::job::Fingerprint;
use crate::job::Prompt;
use crate::rate_limit::Limit;
use crate::stated_load;

/// Asks an owner for a slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The incarnation of the borrowing node.
    pub incarnation: u64,
    /// Identifies this request within that incarnation.
    pub number: u64,
    /// The fingerprint of the caller's request.
    pub fingerprint: Fingerprint,
    /// The service's number.
    pub service: u32,
    /// The only endpoint whose slots are asked for, if each endpoint has its own owner.
    pub endpoint: Option<u32>,
    /// Whether a spare slot of the owner's cell is asked for. Such a request is granted or
    /// denied at once and never queued.
    pub spare: bool,
    /// The rank of the caller's request.
    pub rank: Rank,
    /// The time from the caller's first attempt to the arrival of this request.
    pub since_first_try: Span,
    /// The time since the arrival of the caller's request.
    pub age: Span,
    /// The time from its arrival to its deadline.
    pub time_limit: Span,
    /// The time from the caller's first attempt within which the answer counts as in time.
    pub objective: Span,
    /// How long the caller waits for the answer, or its first event.
    pub caller_timeout: Span,
    /// The longest pause between two events that still counts as in time.
    pub pause: Option<Span>,
    /// What an engine would read and write for the request.
    pub prompt: Prompt,
    /// The numbers of endpoints that were already tried.
    pub tried: Vec<u32>,
    /// The numbers of endpoints that asked the sending node for rest.
    #[serde(skip)]
    pub avoided: Vec<u32>,
    /// What the owner needs for shared admission.
    #[serde(skip)]
    pub details: Details,
    /// The version of the endpoints' software that the request is bound to, if it is. Only sent to
    /// nodes that heed it.
    #[serde(skip)]
    pub software: Option<id::Software>,
}

/// What an owner needs for shared admission. Only sent if a part of the policy that uses it applies
/// to the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// The number of the customer, if known.
    pub customer: Option<u64>,
    /// Whether another owner redirected the request, so that it is not redirected again.
    pub redirected: bool,
}

impl Details {
    /// Whether nothing is stated.
    pub fn is_empty(self) -> bool {
        self == Details::default()
    }
}

/// An owner's reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of the request.
    pub number: u64,
    /// The answer.
    pub answer: Answer,
}

/// An owner's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The request waits in the owner's queue; another answer follows.
    Waiting,
    /// A slot is granted.
    Granted {
        /// The endpoint's number.
        endpoint: u32,
        /// Why this endpoint was chosen.
        reason: Reason,
    },
    /// The caller's request is refused.
    Refused(Refusal),
    /// The owner has no such slot to grant; another may have one.
    Denied,
    /// The request would wait too long at this owner and is expected to wait less at another. Only
    /// sent to nodes that support shared admission.
    Redirected {
        /// The other owner.
        owner: SocketAddrV4,
        /// The only endpoint whose slots to ask for there, if each endpoint has its own owner.
        endpoint: Option<u32>,
    },
}

/// Reports to an owner on a request that holds a slot or waits for one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the request.
    pub number: u64,
    /// What happened.
    pub event: Event,
    /// The load that the endpoint stated in its answer, if it did.
    #[serde(skip)]
    pub load: Option<stated_load::Load>,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// It is still in progress, in answer to a [`Check`].
    Held,
    /// The first event of its stream arrived.
    First,
    /// Further events of its stream arrived.
    Progress,
    /// Its endpoint reported that it is cold.
    Cold {
        /// How long it will be cold.
        cold_for: Span,
    },
    /// It ended, at the endpoint or in the owner's queue; its slot is free.
    Ended {
        /// How it ended.
        end: End,
        /// What was observed of its call.
        seen: Observation,
    },
    /// Its endpoint's answer named a rate limit, or no longer does. Only sent to nodes that
    /// enforce rate limits.
    RateLimit {
        /// The limit; `None` if the endpoint has none any more.
        limit: Option<Limit>,
    },
}

/// What was observed of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The number of its events.
    pub events: u32,
    /// The shortest time between two events, in microseconds.
    pub step: Option<u32>,
    /// How long the call took, if its answer was complete.
    pub took: Option<Span>,
}

/// Asks whether a node still holds a slot that it was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The number of the request that was granted the slot.
    pub number: u64,
}

/// Identifies another node's request at the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The borrowing node.
    pub node: SocketAddrV4,
    /// The number of its request.
    pub number: u64,
}

/// A slot that an owner granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The owner.
    pub owner: SocketAddrV4,
    /// The owner's latest known incarnation when the slot was granted; 0 if none was
    /// known.
    pub incarnation: u64,
    /// The number of the request.
    pub number: u64,
}
