//! Endpoints: connections that are kept, and calls over them. Nothing here
//! sends a request a second time once a byte of it may have been written.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::JoinHandle;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::Instance;
use woadstage_types::unit::Time;

mod connect;
pub mod probe;
pub mod reuse;

/// A body on its way, in either direction; it stays on its thread.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = anyhow::Error>>>;

/// Why a call brought no answer.
#[derive(Debug)]
pub enum CallError {
    /// No byte of the request was written.
    NotSent(String),
    /// The request may have been read.
    Lost(String),
    /// The request's time ran out before an answer began.
    Late,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(detail) | CallError::Lost(detail) => f.write_str(detail),
            CallError::Late => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

/// A connection to one endpoint; closed at once when dropped.
pub struct Connection {
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The head of an answer, its body to come, and the connection it comes over.
pub struct Answer {
    /// The answer.
    pub response: Response<Incoming>,
    /// Its connection.
    pub connection: Connection,
}

/// A connection at rest.
struct Idle {
    connection: Connection,
    since: Time,
    until: Time,
}

/// All connections at rest, and endpoints that may have ended.
#[derive(Default)]
pub struct Upstream {
    idle: RefCell<HashMap<Instance, Vec<Idle>>>,
    /// Numbers of endpoints that are looked after.
    probed: RefCell<HashSet<u32>>,
}

/// How long a connection may take to come up.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Kept connections that are tried before a new one is opened.
const KEPT_TRIES: usize = 3;

impl Upstream {
    /// Sends a request to an endpoint and waits for the head of its answer.
    ///
    /// # Errors
    /// [`CallError::NotSent`] where it is certain that nothing was written.
    pub async fn call(
        &self,
        now: Time,
        endpoint: &Endpoint,
        request: Request<Body>,
    ) -> Result<Answer, CallError> {
        let mut request = request;
        for _ in 0..KEPT_TRIES {
            let Some(connection) = self.take(now, &endpoint.to_instance()) else {
                break;
            };
            match send(connection, request).await {
                Ok(answer) => return Ok(answer),
                Err(Sending::Unsent(unsent)) => request = *unsent,
                Err(Sending::Lost(detail)) => return Err(CallError::Lost(detail)),
            }
        }
        let opening = tokio::time::timeout(CONNECT_WITHIN, connect::open(endpoint.address));
        let connection = match opening.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return Err(CallError::NotSent(format!("connect: {error}"))),
            Err(_) => return Err(CallError::NotSent("connect: timed out".into())),
        };
        match send(connection, request).await {
            Ok(answer) => Ok(answer),
            Err(Sending::Unsent(_)) => {
                Err(CallError::NotSent("closed before anything was sent".into()))
            }
            Err(Sending::Lost(detail)) => Err(CallError::Lost(detail)),
        }
    }
}

/// Why a request over one connection brought no answer.
enum Sending {
    Unsent(Box<Request<Body>>),
    Lost(String),
}

async fn send(mut connection: Connection, request: Request<Body>) -> Result<Answer, Sending> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Answer {
            response,
            connection,
        }),
        Err(mut error) => Err(match error.take_message() {
            Some(request) => Sending::Unsent(Box::new(request)),
            None => Sending::Lost(error.into_error().to_string()),
        }),
    }
}
