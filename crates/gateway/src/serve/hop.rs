//! What nodes tell each other about a forwarded request, in one header field each way. The
//! request itself, with its head and body, passes unchanged.

use std::net::SocketAddrV4;
use std::rc::Rc;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::reply::Reply;
use crate::shell::Shell;

/// The field of a forwarded request, and of the answer to one. Callers' and endpoints' own fields of
/// this name are dropped.
pub const FIELD: HeaderName = HeaderName::from_static("woadstage-hop");

/// The field of the answer to a forwarded request that names the version of the software which
/// writes it. Only sent to nodes that read it.
pub const SOFTWARE_FIELD: HeaderName = HeaderName::from_static("woadstage-hop-software");

/// The time by which the other node's deadline is earlier than this node's, so that its reply
/// arrives before this node gives up.
pub const MARGIN: Span = Span::from_millis(15);

/// What a node states about a request that it forwards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The address of the forwarding node.
    pub node: SocketAddrV4,
    /// The time since the request arrived there, in microseconds.
    pub age_us: u64,
    /// The time from the caller's first try to that arrival, in microseconds.
    pub since_first_try_us: u64,
    /// The number of endpoints that received it already.
    pub sent: u32,
    /// The numbers of endpoints that it was offered to already.
    pub tried: Vec<u32>,
    /// The version of the endpoints' software that it is bound to, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<id::Software>,
    /// Whether the forwarding node reads [`SOFTWARE_FIELD`] in the answer.
    #[serde(default)]
    pub reads_software: bool,
}

/// Where the answer to a forwarded request comes from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// An endpoint, with this name.
    Endpoint(String),
    /// The other node itself.
    Node {
        /// The number of the result code.
        code: u16,
        /// When the caller may retry, in microseconds.
        retry_after_us: Option<u64>,
        /// The expected wait, in microseconds, if it decided the answer.
        wait_us: Option<u64>,
        /// The version of the configuration that the other node has in force.
        configuration: u64,
    },
}

impl Answer {
    /// Describes a reply of this node.
    pub fn from_reply(reply: Reply, configuration: u64) -> Answer {
        Answer::Node {
            code: reply.code.number(),
            retry_after_us: reply.retry_after.map(|span| span.0),
            wait_us: reply.wait.map(|span| span.0),
            configuration,
        }
    }

    /// Returns the reply of the other node, or `None` if an endpoint answered.
    pub fn to_reply_opt(&self, node: SocketAddrV4) -> Option<Reply> {
        let Answer::Node {
            code,
            retry_after_us,
            wait_us,
            ..
        } = self
        else {
            return None;
        };
        let mut codes = Code::ALL.iter();
        let known = codes.find(|known| known.number() == *code);
        Some(Reply {
            // A later build's code may mean that the request ran.
            code: known.copied().unwrap_or(Code::EndpointLost),
            retry_after: retry_after_us.map(Span),
            wait: wait_us.map(Span),
            owner: Some(node),
            part: None,
        })
    }

    /// Whether another node may run the request that this one refused: it is stopping, busy, out
    /// of reach of the endpoints, or does not know the route or customer because its configuration
    /// is older than `configuration`.
    pub fn is_declined(&self, reply: Reply, configuration: u64) -> bool {
        let is_older =
            matches!(self, Answer::Node { configuration: theirs, .. } if *theirs < configuration);
        match reply.code {
            Code::NotReady | Code::Stopping | Code::NodeBusy | Code::EndpointRefused => true,
            Code::RouteUnknown | Code::CustomerUnknown => is_older,
            _ => false,
        }
    }
}

/// Counts a request that another node forwarded to this one while it is in progress.
pub struct InProgress(Rc<Shell>);

impl InProgress {
    /// Counts the request until the result is dropped.
    pub fn new(shell: &Rc<Shell>) -> InProgress {
        shell.forwarded.set(shell.forwarded.get() + 1);
        InProgress(shell.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.forwarded.set(self.0.forwarded.get() - 1);
    }
}

/// Adds the field to a head.
pub fn insert(headers: &mut HeaderMap, value: &impl Serialize) {
    let text = serde_json::to_string(value).ok();
    let value = text.and_then(|text| HeaderValue::from_str(&text).ok());
    if let Some(value) = value {
        headers.insert(FIELD, value);
    }
}

/// Takes the field out of a head. Returns `None` if it is missing or can't be parsed.
pub fn take<T: DeserializeOwned>(headers: &mut HeaderMap) -> Option<T> {
    let value = headers.remove(FIELD)?;
    serde_json::from_slice(value.as_bytes()).ok()
}
