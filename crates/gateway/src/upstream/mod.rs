//! Calls to endpoints over pooled connections. A request is never sent again here once a byte of it
//! may have been written.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::JoinHandle;
use woadstage_body::framing::Framing;
use woadstage_dispatch::endpoint::Instance;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;
use woadstage_types::unit::Time;

mod connect;
pub mod probe;
pub mod reuse;

/// A streamed body of a request or a response. It is not `Send`.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = anyhow::Error>>>;

/// The reason why a call brought no response.
#[derive(Debug)]
pub enum CallError {
    /// No byte of the request was written.
    NotSent(String),
    /// The endpoint may have read the request.
    Lost(String),
    /// The time limit of the request passed before a response began.
    Late,
    /// The caller's body was faulty or too long. The endpoint has received its beginning.
    Body(Code),
    /// No byte of the request was written, as it must not be sent there any more.
    Withdrawn,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(detail) | CallError::Lost(detail) => f.write_str(detail),
            CallError::Late => f.write_str("no response in time"),
            CallError::Body(code) => write!(f, "the caller's body: {code}"),
            CallError::Withdrawn => f.write_str("withdrawn before it was sent"),
        }
    }
}

impl std::error::Error for CallError {}

/// A connection to an endpoint, closed immediately when dropped.
pub struct Connection {
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A response whose body is still to be read, and the connection it arrives on.
pub struct Answer {
    /// The response.
    pub response: Response<Incoming>,
    /// What marks the end of its body.
    pub framing: Framing,
    /// The connection it arrives on.
    pub connection: Connection,
}

/// The process that a connection leads to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// One start of an endpoint.
    Endpoint(Instance),
    /// Another node.
    Node(SocketAddrV4),
}

/// An idle connection.
struct Idle {
    connection: Connection,
    idle_since: Time,
    expires_at: Time,
}

/// The pool of idle connections, and the endpoints that are being probed.
pub struct Upstream {
    /// The maximum number of idle connections.
    max_idle: usize,
    /// The size of each buffer of a connection's socket.
    buffer: Size,
    idle: RefCell<HashMap<Target, Vec<Idle>>>,
    /// The number of probes in progress.
    probes: Cell<usize>,
}

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum number of idle connections that are tried before a new one is opened.
const MAX_REUSE_ATTEMPTS: usize = 3;

impl Upstream {
    /// Creates a pool that holds at most this number of connections, with buffers of this size each way.
    pub fn new(max_idle: usize, buffer: Size) -> Upstream {
        Upstream {
            max_idle,
            buffer,
            idle: RefCell::default(),
            probes: Cell::default(),
        }
    }

    /// Opens a connection.
    async fn open(&self, address: SocketAddrV4) -> anyhow::Result<Connection> {
        connect::open(address, self.buffer).await
    }

    /// Sends a request to an endpoint or node and waits for the head of its response. `may_send` is
    /// asked right before the request is written, since opening a connection takes time.
    ///
    /// # Errors
    /// Returns [`CallError::NotSent`] or [`CallError::Withdrawn`] if certainly nothing was written,
    /// otherwise [`CallError::Lost`].
    pub async fn call(
        &self,
        now: Time,
        target: &Target,
        address: SocketAddrV4,
        request: Request<Body>,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, CallError> {
        let mut request = request;
        for _ in 0..MAX_REUSE_ATTEMPTS {
            let Some(connection) = self.take_idle(now, target) else {
                break;
            };
            if !may_send() {
                return Err(CallError::Withdrawn);
            }
            match send(connection, request).await {
                Ok(answer) => return Ok(answer),
                Err(SendError::NotSent(returned)) => request = *returned,
                Err(SendError::Lost(detail)) => return Err(CallError::Lost(detail)),
            }
        }
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, self.open(address));
        let connection = match opening.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return Err(CallError::NotSent(format!("connect: {error}"))),
            Err(_) => return Err(CallError::NotSent("connect: timed out".into())),
        };
        if !may_send() {
            return Err(CallError::Withdrawn);
        }
        match send(connection, request).await {
            Ok(answer) => Ok(answer),
            Err(SendError::NotSent(_)) => Err(CallError::NotSent(
                "connection closed before the request was sent".into(),
            )),
            Err(SendError::Lost(detail)) => Err(CallError::Lost(detail)),
        }
    }
}

/// The reason why a request on one connection brought no response.
enum SendError {
    NotSent(Box<Request<Body>>),
    Lost(String),
}

/// Sends a request over a connection. A response of which the head can't be read or leaves open what
/// ends the body counts as none.
async fn send(mut connection: Connection, request: Request<Body>) -> Result<Answer, SendError> {
    let method = request.method().clone();
    match connection.sender.try_send_request(request).await {
        Ok(response) => match Framing::try_of(&method, &response) {
            Ok(framing) => Ok(Answer {
                response,
                framing,
                connection,
            }),
            Err(error) => Err(SendError::Lost(format!("invalid answer: {error}"))),
        },
        Err(mut error) => Err(match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Lost(error.into_error().to_string()),
        }),
    }
}
