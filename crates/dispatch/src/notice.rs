//! What an endpoint says of itself in the head of an answer.
//!
//! The adapter reads a head once, into a [`Notice`], and all of it reaches the decisions by
//! one command ([`Dispatcher::apply_notice`](crate::dispatcher::Dispatcher::apply_notice)).

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::rate_limit::Limit;
use crate::worker::Worker;

/// What one head says of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// How much longer the endpoint is cold; none where it does not say that it is.
    pub cold_for: Option<Span>,
    /// How many requests a second it takes from all nodes together.
    pub rate_limit: Field<Limit>,
    /// True where it leaves: it wants no further request.
    pub leaving: bool,
    /// For how long it wants nothing from this node; none where it does not say so.
    pub rest: Option<Span>,
}

/// A field whose absence says something too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// Nothing is known: it could not be read, or the head does not count for it.
    #[default]
    Unknown,
    /// The head does not have it.
    Absent,
    /// The head has it.
    Given(T),
}

/// What is believed of an endpoint otherwise than before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is cold, which it was not.
    Cold {
        /// For how long.
        duration: Span,
    },
    /// It takes another number of requests a second; none where it names no limit.
    RateLimit {
        /// The limit before.
        before: Option<Limit>,
        /// The limit now.
        after: Option<Limit>,
    },
    /// It leaves.
    Leaving,
    /// The start of it that was leaving is not listed any more.
    Left,
    /// It wants nothing for so long from now on.
    Rest {
        /// For how long.
        duration: Span,
    },
    /// The time for which it wanted nothing is over.
    Rested,
}

/// What nodes tell each other of an endpoint, by its answer to one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The number of the endpoint's start.
    pub endpoint: u32,
    /// What it said.
    pub condition: Condition,
}

/// One thing that an endpoint said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It leaves.
    Leaving,
    /// It turned the node away that tells, and wants nothing from it for a while.
    Rest {
        /// How much longer, in milliseconds.
        left_ms: u32,
    },
}

/// A change that no answer to a request of this node's brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// What changed.
    pub change: Change,
}

impl Update {
    /// A change of what is believed of an endpoint.
    pub fn new(worker: &Worker, change: Change) -> Update {
        Update {
            endpoint: worker.endpoint.name.clone(),
            change,
        }
    }
}

impl Change {
    /// What it is about, as logs and metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Change::Cold { .. } => "cold",
            Change::RateLimit { .. } => "rate-limit",
            Change::Leaving | Change::Left => "leaving",
            Change::Rest { .. } | Change::Rested => "rest",
        }
    }

    /// What was believed before, for logs.
    pub fn describe_before(self) -> String {
        match self {
            Change::Cold { .. } | Change::Leaving | Change::Rest { .. } => NONE.to_owned(),
            Change::Left => YES.to_owned(),
            Change::Rested => OVER.to_owned(),
            Change::RateLimit { before, .. } => to_text(before),
        }
    }

    /// What is believed now, for logs.
    pub fn describe_after(self) -> String {
        match self {
            Change::Cold { duration } | Change::Rest { duration } => duration.to_string(),
            Change::Leaving => YES.to_owned(),
            Change::Left | Change::Rested => NONE.to_owned(),
            Change::RateLimit { after, .. } => to_text(after),
        }
    }
}

/// How logs name that an endpoint says nothing of a kind.
const NONE: &str = "none";

/// How logs name that it leaves, and that it has rested.
const YES: &str = "yes";
const OVER: &str = "over";

fn to_text<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}
