//! The settings of one node, read when it starts.

use std::net::SocketAddr;

use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

mod parse;

pub use parse::parse;

/// The settings of one node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the entry host.
    pub host: id::Host,
    /// The data centre of the host.
    pub data_centre: id::DataCentre,
    /// The address that listens for callers.
    pub callers: SocketAddr,
    /// The address that listens for other nodes.
    pub peers: SocketAddr,
    /// The address that listens for operators.
    pub operators: SocketAddr,
    /// The address of the platform's read-only service.
    pub platform: SocketAddr,
    /// The maximum duration of one long poll of the platform.
    pub platform_wait: Span,
    /// The key and certificates for connections between nodes, in PEM.
    pub identity: Identity,
    /// Limits on what this node holds.
    pub limits: Limits,
    /// The interval of heartbeats to a peer.
    pub heartbeat: Span,
    /// The maximum time that a planned stop waits for requests in progress.
    pub stop_within: Span,
}

/// The key and certificates of a node, in PEM.
#[derive(Clone, Default)]
pub struct Identity {
    /// The certificate chain of the node.
    pub certificate: String,
    /// The private key of the node.
    pub key: String,
    /// The certificate of the authority that signs the certificates of all nodes.
    pub authority: String,
}

impl std::fmt::Debug for Identity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Identity(not shown)")
    }
}

/// Limits on what one node holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request body.
    pub body: Size,
    /// The maximum total size of the request bodies held at once.
    pub bodies: Size,
    /// The maximum time for a caller to send the head of a request, and again for its body.
    pub receive_within: Span,
    /// The maximum number of requests held at once.
    pub requests: usize,
    /// The maximum total size of the recorded responses to requests with a key.
    pub answers: Size,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: Size::from_mib(1),
            bodies: Size::from_mib(16),
            receive_within: Span::from_secs(10),
            requests: 4_096,
            answers: Size::from_mib(4),
        }
    }
}
