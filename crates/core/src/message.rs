//! Messages between nodes. The caller of the core encodes and sends them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use woadstage_config::hosts;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Tokens;

use crate::ledger::Estate;
use crate::pool::Ask;
use crate::pool::End;

/// The protocol version, sent as the first byte on the wire.
pub const VERSION: u8 = 1;

/// A periodic liveness message with the state that other nodes need.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The configuration revision in force, or 0 if there is none.
    pub revision: u64,
    /// The platform index of the document in force.
    pub index: u64,
    /// A 64-bit hash of the digest of the document in force.
    pub digest: u64,
    /// The platform index of the host list that the node holds.
    pub hosts_index: u64,
    /// Whether the node's own reads of the platform confirm that list.
    pub hosts_confirmed: bool,
    /// Whether the node is stopping.
    pub leaving: bool,
    /// The incarnations whose tickets the node may run, besides its own.
    pub serves: Vec<id::Incarnation>,
}

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Reports that the sender is alive, with its state.
    Heartbeat(Heartbeat),
    /// Asks the receiver to send its requests again: the sender lost contact
    /// and discarded them.
    SayAgain,
    /// Requests the document in force.
    WantDocument,
    /// Carries the document in force.
    Document {
        /// The full text of the document.
        text: Arc<str>,
        /// The index on the platform.
        index: u64,
    },
    /// Requests the host list.
    WantHosts,
    /// Carries the host list.
    Hosts {
        /// The hosts.
        list: Arc<hosts::List>,
        /// The index on the platform.
        index: u64,
    },
    /// Requests an endpoint of a target.
    Ask {
        /// The target.
        target: id::Target,
        /// The request for an endpoint.
        ask: Ask,
    },
    /// Withdraws a request for an endpoint, or releases the endpoint.
    Done {
        /// The target.
        target: id::Target,
        /// The request.
        request: id::Request,
        /// The attempt that is over.
        attempt: u32,
        /// How it ended.
        end: End,
    },
    /// Grants an endpoint to a request.
    Grant {
        /// The target.
        target: id::Target,
        /// The request.
        request: id::Request,
        /// The attempt that is answered.
        attempt: u32,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// Refuses an endpoint to a request.
    Refuse {
        /// The request.
        request: id::Request,
        /// The attempt that is answered.
        attempt: u32,
        /// The reason.
        code: Code,
        /// How long to wait before the next try.
        retry_after: Span,
    },
    /// Reports the first token of a call.
    First {
        /// The target.
        target: id::Target,
        /// The request.
        request: id::Request,
    },
    /// Reports the tokens received since the previous such message.
    Progress {
        /// The target.
        target: id::Target,
        /// The tokens and the total decoding time of each endpoint.
        endpoints: Vec<(id::Endpoint, Tokens, Span)>,
    },
    /// Reports a running call to the new owner of the pool, which counts it.
    Adopt {
        /// The target.
        target: id::Target,
        /// The request for an endpoint.
        ask: Ask,
        /// The endpoint that runs the call.
        endpoint: id::Endpoint,
    },
    /// Transfers unused tickets to the receiver.
    Estate(Estate),
    /// Confirms a transfer of tickets.
    EstateTaken,
}
