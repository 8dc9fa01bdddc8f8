//! What an endpoint states about itself in the head of an answer.
//!
//! The adapter parses a head once into a [`Notice`], which reaches the dispatcher by one
//! command ([`Dispatcher::apply_notice`](crate::dispatcher::Dispatcher::apply_notice)).

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::rate_limit::Limit;
use crate::tolerance::Tolerance;
use crate::worker::Worker;

/// The contents of one answer head about its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// The remaining time for which the endpoint is cold, if stated.
    pub cold_for: Option<Span>,
    /// The number of requests a second that the endpoint accepts from all nodes together.
    pub rate_limit: Field<Limit>,
    /// How many rejections within a second the endpoint tolerates.
    pub tolerance: Field<Tolerance>,
    /// Whether the endpoint is leaving and asks for no further requests.
    pub leaving: bool,
    /// How long this node is asked to send the endpoint no requests, if stated.
    pub rest: Option<Span>,
}

/// A field whose absence is significant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// Unknown: the field could not be parsed, or this head is not evaluated for it.
    #[default]
    Unknown,
    /// The head does not have the field.
    Absent,
    /// The head has the field.
    Given(T),
}

/// A change in what is known of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The endpoint became cold.
    Cold {
        /// How long it stays cold.
        duration: Span,
    },
    /// The endpoint's rate limit changed.
    RateLimit {
        /// The previous limit, if there was one.
        before: Option<Limit>,
        /// The new limit, if there is one.
        after: Option<Limit>,
    },
    /// How many rejections the endpoint tolerates changed.
    Tolerance {
        /// The previous number, if there was one.
        before: Option<Tolerance>,
        /// The new number, if there is one.
        after: Option<Tolerance>,
    },
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint that was leaving is no longer listed.
    Left,
    /// The endpoint asked for a time without requests.
    Rest {
        /// How long it rests.
        duration: Span,
    },
    /// The rest has ended.
    Rested,
}

/// What one node announces to others of an endpoint, from an answer that it received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The number of the endpoint's start.
    pub endpoint: u32,
    /// What the endpoint stated.
    pub condition: Condition,
}

/// A condition that an endpoint stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint rejected a request of the announcing node and asked it to send none
    /// for a while.
    Rest {
        /// The remaining time in milliseconds.
        left_ms: u32,
    },
}

/// A change that was not caused by an answer to a request of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// What changed.
    pub change: Change,
}

impl Update {
    /// Creates an update for an endpoint.
    pub fn new(worker: &Worker, change: Change) -> Update {
        Update {
            endpoint: worker.endpoint.name.clone(),
            change,
        }
    }
}

impl Change {
    /// Returns the name of the kind of change in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Change::Cold { .. } => "cold",
            Change::RateLimit { .. } => "rate-limit",
            Change::Tolerance { .. } => "tolerance",
            Change::Leaving | Change::Left => "leaving",
            Change::Rest { .. } | Change::Rested => "rest",
        }
    }

    /// Returns the previous value for logs.
    pub fn describe_before(self) -> String {
        match self {
            Change::Cold { .. } | Change::Leaving | Change::Rest { .. } => NONE.to_owned(),
            Change::Left => YES.to_owned(),
            Change::Rested => OVER.to_owned(),
            Change::RateLimit { before, .. } => to_text(before),
            Change::Tolerance { before, .. } => to_text(before),
        }
    }

    /// Returns the new value for logs.
    pub fn describe_after(self) -> String {
        match self {
            Change::Cold { duration } | Change::Rest { duration } => duration.to_string(),
            Change::Leaving => YES.to_owned(),
            Change::Left | Change::Rested => NONE.to_owned(),
            Change::RateLimit { after, .. } => to_text(after),
            Change::Tolerance { after, .. } => to_text(after),
        }
    }
}

/// The log value for an absent statement.
const NONE: &str = "none";

/// The log values for an endpoint that is leaving and for one that has rested.
const YES: &str = "yes";
const OVER: &str = "over";

fn to_text<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}
