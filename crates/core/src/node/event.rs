//! Input events and output actions of a node.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use woadstage_config::hosts;
use woadstage_types::code::Code;
use woadstage_types::code::Outcome;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Tokens;

use crate::message::Message;
use crate::pool::Peer;

/// A request as parsed by the I/O layer.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request id, assigned by the I/O layer.
    pub request: id::Request,
    /// The SHA-256 digest of the bearer token.
    pub token: [u8; 32],
    /// The class that the caller declared.
    pub class: Option<id::Class>,
    /// The requested model or service.
    pub target: id::Target,
    /// Whether the request came by the path of a service.
    pub is_service: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// How long the answer is of use to the caller.
    pub timeout: Option<Span>,
    /// The estimated number of prompt tokens.
    pub prompt: Tokens,
    /// The maximum number of output tokens that the caller allows.
    pub output_limit: Option<Tokens>,
    /// The prompt, from which block hashes are computed; dropped afterwards.
    pub prefix: Arc<[u8]>,
    /// The hash of the request's content, which tells a repeat from a different request.
    pub fingerprint: u64,
    /// The node that forwarded the request, if any.
    pub from: Option<id::Host>,
}

/// The progress or result of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Call {
    /// The first byte of the answer's body arrived.
    FirstByte,
    /// Output tokens arrived.
    Tokens(u64),
    /// The complete answer arrived and was passed on.
    Complete {
        /// The prompt tokens counted by the endpoint.
        prompt: Tokens,
        /// The prompt tokens served from the endpoint's cache.
        cached: Tokens,
        /// The output tokens.
        output: Tokens,
        /// The size of the recorded answer in the I/O layer, if it was recorded.
        recorded: Option<Size>,
    },
    /// The call failed.
    Failed {
        /// Whether the request may have been written; false only if it certainly was not.
        sent: bool,
        /// Whether part of the answer reached the caller.
        started: bool,
        /// Whether the endpoint reported that it is leaving.
        leaving: bool,
    },
}

impl Call {
    /// The connection failed before anything was written.
    pub const REFUSED: Call = Call::Failed {
        sent: false,
        started: false,
        leaving: false,
    };
    /// The request was written, but no answer arrived.
    pub const LOST: Call = Call::Failed {
        sent: true,
        started: false,
        leaving: false,
    };
    /// The endpoint rejected the request because it is leaving.
    pub const LEAVING: Call = Call::Failed {
        sent: true,
        started: false,
        leaving: true,
    };
    /// The call failed after part of the answer reached the caller.
    pub const BROKEN: Call = Call::Failed {
        sent: true,
        started: true,
        leaving: false,
    };
}

/// An input to a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// The caller of a request disconnected.
    CallerGone(id::Request),
    /// A call progressed or ended.
    Call {
        /// The request that the call belongs to.
        request: id::Request,
        /// The attempt number; events of earlier attempts are ignored.
        attempt: u32,
        /// The progress or result.
        what: Call,
    },
    /// The answer to a forwarded request was passed to the caller completely.
    ForwardEnded(id::Request),
    /// The connection broke during a forwarded request.
    ForwardLost(id::Request),
    /// A connection to another node was established.
    PeerUp(Peer),
    /// A connection to another node was lost.
    PeerDown(id::Host),
    /// A message from another node arrived.
    Message {
        /// The sending node.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// The platform published a configuration document.
    Document {
        /// The document's text.
        text: Arc<str>,
        /// The platform's index of the document.
        index: u64,
    },
    /// The platform published the host list.
    Hosts {
        /// The host list.
        list: Arc<hosts::List>,
        /// The platform's index of the list.
        index: u64,
    },
    /// An endpoint reported its load.
    Report {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The number of requests running and waiting at the endpoint.
        busy: u32,
        /// Whether the endpoint reports that it is leaving.
        leaving: bool,
    },
    /// A planned stop begins: other nodes are told, and requests in progress continue.
    Stop,
    /// The second phase of a stop: new requests from callers are refused.
    Close,
    /// The time of a stop is over: the requests in progress are refused.
    Abort,
    /// Time passed; whatever is due by now is processed.
    Tick,
}

/// A refusal that the node answers itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// The outcome reported to the caller. It may differ from the code's default:
    /// only the node that a key belongs to can promise that the key was not run.
    pub outcome: Outcome,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Span>,
    /// A ticket that the caller can use as the key.
    pub ticket: Option<String>,
}

/// The reason why computed prompt work was discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Waste {
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
    /// The endpoint failed.
    EndpointLost,
    /// The call made no progress and was restarted at another endpoint.
    Stalled,
}

/// The result of a finished request, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// The request.
    pub request: id::Request,
    /// The request's class.
    pub class: id::Class,
    /// The request's tier.
    pub tier: u8,
    /// The request's customer.
    pub customer: id::Customer,
    /// The result code.
    pub code: Code,
    /// The time from arrival to the end.
    pub latency: Span,
    /// The time from arrival to the first call.
    pub wait: Option<Span>,
    /// The time from arrival to the first token.
    pub first: Option<Span>,
    /// The prompt tokens served from the endpoint's cache, counted by the endpoint.
    pub cached: Tokens,
}

/// An output of a node, to be carried out by the I/O layer.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to another node; loss and reordering are tolerated.
    Send {
        /// The receiving node.
        to: id::Host,
        /// The message.
        message: Message,
    },
    /// Call an endpoint and pass its answer to the caller.
    Call {
        /// The request.
        request: id::Request,
        /// The attempt number.
        attempt: u32,
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The endpoint's address.
        address: Arc<str>,
        /// The tier, for engines that support priorities.
        tier: u8,
        /// Whether the engine accepts `priority` in the body.
        priority: bool,
        /// The idempotency key, for endpoints that check keys; the request id and the
        /// attempt number are sent with it as the fence.
        key: Option<String>,
        /// Whether to record the answer for repeats of the key.
        record: bool,
    },
    /// Close the call or the forwarded stream of a request.
    Cancel {
        /// The request.
        request: id::Request,
        /// The attempt number.
        attempt: u32,
    },
    /// Refuse the request; an answer already begun is ended as broken.
    Refuse {
        /// The request.
        request: id::Request,
        /// The refusal.
        refusal: Refusal,
    },
    /// Forward the request to another node and pass its answer back.
    Forward {
        /// The request.
        request: id::Request,
        /// The receiving node.
        to: id::Host,
        /// The time left until the deadline.
        left: Span,
    },
    /// Answer the caller with the recorded answer of another request.
    Replay {
        /// The request to answer.
        request: id::Request,
        /// The request whose answer was recorded.
        of: id::Request,
    },
    /// Drop a recorded answer.
    DropAnswer(id::Request),
    /// Record the result of a finished request in the metrics.
    Ended(Ended),
    /// Record an upper bound of the discarded prompt tokens in the metrics.
    Wasted(Tokens, Waste),
    /// Log that a configuration document was applied or refused.
    Config {
        /// The document's revision, 0 if it could not be read.
        revision: u64,
        /// The reason for the refusal, if it was refused.
        refused: Option<Code>,
    },
}
