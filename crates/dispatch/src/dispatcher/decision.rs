//! What is decided of requests.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;

use super::Refusal;
use crate::endpoint::Endpoint;
use crate::job;

/// What was known when an endpoint was chosen, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reason {
    /// How long the request had waited.
    pub waited: Span,
    /// Requests of ours in progress there before this one.
    pub running: u32,
    /// Requests of others in progress there.
    pub others: u32,
    /// Prompt tokens that the endpoint is believed to have to read.
    pub uncached: u64,
    /// Prompt tokens of other requests that it has to read before.
    pub unread: u64,
    /// Its pace.
    pub pace: f64,
    /// The age of the oldest word of another node that was used.
    pub oldest: Span,
}

/// What was decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request to the endpoint.
    Start {
        /// The request.
        job: job::Id,
        /// Where to.
        endpoint: Arc<Endpoint>,
        /// Why there.
        reason: Reason,
        /// The node that gave the slot, where it was another.
        owner: Option<SocketAddrV4>,
    },
    /// The request will not run; tell the caller at once.
    Refuse {
        /// The request.
        job: job::Id,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

/// What is to happen after an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The request is over.
    Over,
    /// It waits for another endpoint; a decision will come.
    Again,
    /// It is not sent again, for this cause.
    Final(Cause),
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It may have run and must not run twice.
    MayHaveRun,
    /// It was sent to as many endpoints as its route allows.
    Attempts,
    /// The fleet has used up what may be sent again.
    Budget,
    /// Too little time is left.
    Time,
    /// Endpoints ended under it: one more is not risked for the same attempt.
    Suspect,
}

impl Cause {
    /// The word for logs and metrics.
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
