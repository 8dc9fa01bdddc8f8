//! Admission and scheduling for one target, owned by one node: which request
//! goes to which endpoint and when, what waits and what is refused.
//!
//! The owning node follows from published and received state, so its count of
//! running requests is its own and exact while that view is stable. While two
//! nodes own the same pool, endpoints may get more work than intended and
//! nothing else happens: no guarantee depends on there being a single owner.
//!
//! * `ask.rs`, `observe.rs`, `place.rs`, `tick.rs`: commands.
//! * `query.rs`: queries.
//! * `queue.rs`: waiting requests. `worker.rs`: the state of an endpoint.
//!   `prefix_cache.rs`: where a prompt's prefix may still be cached.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use woadstage_config::published::Target;
use woadstage_config::published::Tier;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

mod ask;
mod observe;
mod place;
pub mod prefix_cache;
pub mod query;
pub mod queue;
mod tick;
pub mod worker;

/// One incarnation of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The name of the host.
    pub host: id::Host,
    /// The incarnation of the host's process.
    pub incarnation: id::Incarnation,
}

/// A request for an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The identifier of the request.
    pub request: id::Request,
    /// The number of this attempt, which tells late answers to earlier ones
    /// apart.
    pub attempt: u32,
    /// The request's class, for which output lengths are learnt.
    pub class: id::Class,
    /// The tier; lower numbers are more protected.
    pub tier: Tier,
    /// The customer's number.
    pub customer: u64,
    /// The customer's weight in fair queueing.
    pub weight: u32,
    /// The estimated number of prompt tokens.
    pub prompt: Tokens,
    /// The expected number of output tokens until the class has been observed.
    pub output: Tokens,
    /// The maximum number of output tokens that the caller allows.
    pub output_limit: Option<Tokens>,
    /// The remaining time; a span, because clocks of hosts differ.
    pub left: Span,
    /// The hash chain of the prompt's blocks, see [`prefix_cache`].
    pub blocks: Vec<u64>,
    /// The endpoint that has just failed this request, if any.
    pub avoid: Option<id::Endpoint>,
}

/// A decision about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The peer may call the endpoint.
    Grant {
        /// The peer that requested an endpoint.
        to: Peer,
        /// The target of the request.
        target: id::Target,
        /// The identifier of the request.
        request: id::Request,
        /// The attempt that the grant answers.
        attempt: u32,
        /// The endpoint to call.
        endpoint: id::Endpoint,
    },
    /// The request is refused.
    Refuse {
        /// The peer that requested an endpoint.
        to: Peer,
        /// The identifier of the request.
        request: id::Request,
        /// The attempt that the refusal answers.
        attempt: u32,
        /// The reason.
        code: Code,
        /// The delay before the caller should retry.
        retry_after: Span,
    },
}

/// The result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// The answer was complete.
    Whole {
        /// The number of prompt tokens, as counted by the endpoint.
        prompt: Tokens,
        /// The number of prompt tokens that the endpoint took from its cache.
        cached: Tokens,
        /// The number of output tokens.
        output: Tokens,
    },
    /// The peer did not use the grant, or cancelled the call.
    Unused,
    /// The call failed because of the endpoint.
    Failed,
    /// The endpoint answered that it is leaving.
    Leaving,
}

/// Limits and weights of the scheduling policy. `docs/MEASURES.md` has
/// measurements for the defaults.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The maximum number of waiting requests.
    pub queue_limit: usize,
    /// The delay in the queue for each second of a request's own cost.
    pub cost_delay_factor: f64,
    /// The maximum delay for a request's length, as a percentage of its slack.
    pub max_delay_percent: u64,
    /// The number of requests that an endpoint may have beyond its slots, so
    /// that a free slot does not idle while a grant is in transit.
    pub queued_per_endpoint: u32,
    /// The number of prompt tokens without a first token from which an endpoint
    /// gets no more requests.
    pub prefill_limit: u64,
    /// The silence after which an endpoint with running requests gets no more.
    pub silence: Span,
    /// The first backoff after a failure; doubles up to
    /// [`Options::backoff_limit`].
    pub backoff: Span,
    /// The maximum backoff after a failure.
    pub backoff_limit: Span,
    /// The maximum number of prefix hints.
    pub hints: usize,
    /// The number of requests per tier that are considered for an endpoint.
    /// Among them the one with the longest cached prefix goes first; later ones
    /// are not considered, even if no free endpoint can finish these in time.
    pub look_ahead: usize,
    /// The percentage of the estimated duration that must fit into the
    /// remaining time.
    pub safety_percent: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            queue_limit: 10_000,
            cost_delay_factor: 2.0,
            max_delay_percent: 50,
            queued_per_endpoint: 1,
            prefill_limit: 2_048,
            silence: Span::from_millis(500),
            backoff: Span::from_millis(500),
            backoff_limit: Span::from_secs(10),
            hints: 20_000,
            look_ahead: 16,
            safety_percent: 130,
        }
    }
}

/// A request that runs under a grant.
#[derive(Debug, Clone)]
struct InFlight {
    ask: Ask,
    peer: Peer,
    worker: usize,
    granted: Time,
    deadline: Time,
    first: Option<Time>,
    uncached: u64,
    tokens_ahead: u64,
}

/// Admission and scheduling for one target.
#[derive(Debug)]
pub struct Pool {
    options: Options,
    target: Arc<Target>,
    workers: Vec<worker::Worker>,
    index: HashMap<id::Endpoint, usize>,
    queue: queue::Queue,
    in_flight: HashMap<id::Request, InFlight>,
    prefix_cache: prefix_cache::PrefixCache,
    outputs: HashMap<id::Class, f64>,
    reserves: Vec<u32>,
    decisions: Vec<Decision>,
}

impl Pool {
    /// Creates an empty pool for a target.
    pub fn new(target: Arc<Target>, options: Options) -> Pool {
        Pool {
            prefix_cache: prefix_cache::PrefixCache::new(options.hints),
            options,
            target,
            workers: Vec::new(),
            index: HashMap::new(),
            queue: queue::Queue::default(),
            in_flight: HashMap::new(),
            outputs: HashMap::new(),
            reserves: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }
}
