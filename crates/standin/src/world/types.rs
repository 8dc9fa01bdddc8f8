//! What a world is made of, and what its callers see.

use std::sync::Arc;

use woadstage_core::node::Refusal;
use woadstage_core::pool;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// What a world is made of.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed of everything random.
    pub seed: u64,
    /// Entry hosts.
    pub nodes: usize,
    /// One-way time between entry hosts.
    pub hop: Span,
    /// One-way time to endpoints.
    pub endpoint_hop: Span,
    /// Messages between nodes lost, in a thousand.
    pub lost: u32,
    /// Messages delivered twice, in a thousand.
    pub doubled: u32,
    /// Most that a message is delayed beyond the hop; reorders when above zero.
    pub jitter: Span,
    /// Most that a node's clock is off.
    pub skew: Span,
    /// How long until a cut or a death breaks a connection.
    pub silence: Span,
    /// The policy.
    pub pool: pool::Options,
    /// The document at the start.
    pub document: Arc<str>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            seed: 1,
            nodes: 3,
            hop: Span(500),
            endpoint_hop: Span(500),
            lost: 0,
            doubled: 0,
            jitter: Span(0),
            skew: Span(0),
            silence: Span::from_secs(2),
            pool: pool::Options::default(),
            document: crate::sample::document().into(),
        }
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The whole answer of an endpoint, and which request's run made it.
    Whole {
        /// What was asked of the endpoint.
        what: String,
    },
    /// A refusal.
    Refused(Refusal),
    /// Part of an answer and then a refusal.
    Broken(Refusal),
}

/// A request as a caller sees it.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The node it was sent to.
    pub node: usize,
    /// The run of that node.
    pub run: id::Incarnation,
    /// What was asked.
    pub what: String,
    /// When.
    pub at: Time,
    /// When its answer is of no more use.
    pub deadline: Time,
    /// When the first byte came.
    pub first: Option<Time>,
    /// Answers, with their times; more than one is a fault.
    pub answers: Vec<(Time, Answer)>,
}
