//! The HTTP client for engines and services: runs calls and reports their
//! progress to the core.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::mpsc;
use woadstage_types::id;

use crate::dial::new_connector;
use crate::driver::Handle;
use crate::driver::Reply;
use crate::driver::Work;

mod call;
mod report;
pub mod usage;

pub use call::run;
pub use report::poll;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of idle connections kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The header that carries the request and the attempt of a call with an
/// idempotency key, as a fencing token.
pub const FENCE_HEADER: &str = "woadstage-fence";

/// The header by which an endpoint announces that it is leaving.
pub const LEAVING_HEADER: &str = "woadstage-leaving";

/// The connections to endpoints.
#[derive(Clone)]
pub struct Client {
    /// The client for calls whose answer is not recorded, which may be
    /// repeated. It reuses connections.
    pooled: legacy::Client<HttpConnector, Full<Bytes>>,
    /// The client for calls whose answer is recorded under an idempotency key,
    /// which must not run twice. It opens a new connection for each, because
    /// a pooled connection can break without revealing whether the request
    /// was read.
    unpooled: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates the clients without any connections.
    pub fn new() -> Client {
        Client {
            pooled: build(MAX_IDLE_CONNECTIONS),
            unpooled: build(0),
        }
    }
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

fn build(idle: usize) -> legacy::Client<HttpConnector, Full<Bytes>> {
    let mut connector = new_connector();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    // If a pooled connection died, the library must not send a request a second
    // time without the core's knowledge.
    legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(Duration::from_secs(30))
        .build(connector)
}

/// One call to an endpoint.
pub struct Call {
    /// The request.
    pub request: id::Request,
    /// The number of the attempt.
    pub attempt: u32,
    /// The endpoint.
    pub address: Arc<str>,
    /// The tier, for engines that honour priorities.
    pub priority: Option<u8>,
    /// The idempotency key, for endpoints that check it.
    pub key: Option<String>,
    /// The request to send.
    pub work: Arc<Work>,
    /// The channel for the parts of the answer.
    pub reply: mpsc::Sender<Reply>,
    /// Set once part of the answer has been sent.
    pub started: Arc<AtomicBool>,
    /// The maximum number of bytes of the answer to record for repeats; 0
    /// records none.
    pub record: usize,
    /// The handle to the driver loop.
    pub handle: Handle,
}
