//! The decisions about requests.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::Refusal;
use crate::endpoint::Endpoint;
use crate::job;
use crate::job::Job;

/// What was known when an endpoint was chosen, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reason {
    /// How long the request had waited.
    pub waited: Span,
    /// Requests of this node already in progress there.
    pub running: u32,
    /// Requests of other nodes in progress there.
    pub others: u32,
    /// The estimated number of prompt tokens that the endpoint has to read.
    pub uncached: u64,
    /// Prompt tokens of other requests that it has to read first.
    pub unread: u64,
    /// The endpoint's [pace](crate::worker::Worker::pace).
    pub pace: f64,
    /// The age of the oldest status of another node that was used.
    pub oldest: Span,
}

/// What shared admission did to a request, as far as the node that holds it knows, for the log. An
/// owner tells other nodes neither of claims nor of bookings, so what it decided is partly unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Admission {
    /// Whether an owner redirected it to another.
    pub redirected: Option<bool>,
    /// Whether its caller had claimed a booking.
    pub booked: Option<bool>,
    /// When its caller is to return to the place booked by its refusal; zero if none was booked.
    pub booking: Option<Span>,
}

impl Admission {
    /// Describes a request about which this node, or else another owner, decided, and the booking
    /// made for its caller, if known.
    pub(super) fn of(job: &Job, decided_here: bool, booking: Option<Span>) -> Admission {
        Admission {
            redirected: Some(job.is_redirected),
            booked: (decided_here || job.is_booked).then_some(job.is_booked),
            booking,
        }
    }
}

/// A decision about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request to the endpoint.
    Start {
        /// The request.
        job: job::Id,
        /// The endpoint to send it to.
        endpoint: Arc<Endpoint>,
        /// What was known when the endpoint was chosen.
        reason: Reason,
        /// The node that granted the slot, if not this one.
        owner: Option<SocketAddrV4>,
        /// What shared admission did to it.
        admission: Admission,
    },
    /// Forward the request to another node, which reaches the endpoints.
    Forward {
        /// The request.
        job: job::Id,
        /// The node.
        node: SocketAddrV4,
        /// The number of endpoints that received it already.
        sent: u32,
        /// The numbers of endpoints that it was offered to already.
        tried: Vec<u32>,
        /// The version of the endpoints' software that it is bound to, if it is.
        software: Option<id::Software>,
    },
    /// Refuse the request; the caller gets the refusal at once.
    Refuse {
        /// The request.
        job: job::Id,
        /// Why, and when the caller should retry.
        refusal: Refusal,
        /// What shared admission did to it.
        admission: Admission,
    },
}

/// What follows the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The request is finished.
    Over,
    /// The request waits for another endpoint; a decision follows.
    Again,
    /// The request is not sent again, for this cause.
    Final(Cause),
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It may have run and is not safe to run twice.
    MayHaveRun,
    /// It was sent to as many endpoints as its route allows.
    Attempts,
    /// The fleet-wide retry budget is used up.
    Budget,
    /// Too little time is left before its deadline.
    Time,
    /// It is suspected of crashing endpoints, and another endpoint is not risked for the same
    /// attempt.
    Suspect,
}

impl Next {
    /// The name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Next::Over => "over",
            Next::Again => "again",
            Next::Final(cause) => cause.as_str(),
        }
    }
}

impl Cause {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::MayHaveRun => "may-have-run",
            Cause::Attempts => "attempts",
            Cause::Budget => "budget",
            Cause::Time => "time",
            Cause::Suspect => "suspect",
        }
    }
}
