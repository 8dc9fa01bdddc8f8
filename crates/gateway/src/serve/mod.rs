//! The server side: callers' connections and the handling of their requests.
//!
//! * `handle.rs`: handles one request, from its head to the answer.
//! * `admit.rs`: finds a request's route, customer and deadline.
//! * `payload.rs`: reads and sends request bodies.
//! * [`body_memory`]: the memory for them.
//! * [`piece_rate`]: limits how many small pieces of them are read.
//! * `closing.rs`: limits requests during a planned stop.
//! * `charge.rs`: charges requests to their customer's quota.
//! * `fingerprint.rs`: computes fingerprints of requests.
//! * `forward.rs`: forwards requests to other nodes.
//! * `hop.rs`: what nodes tell each other about a forwarded request.
//! * `exchange.rs`: makes attempts at endpoints until there is an answer.
//! * `successor.rs`: replaces attempts whose links are lost.
//! * `bind.rs`: binds streams to the version of the software that writes them.
//! * `outgoing.rs`: builds the requests to endpoints.
//! * `classify.rs`: classifies an answer by its head.
//! * `parse_notice.rs`: parses what an answer's head reports about its endpoint.
//! * `relay.rs`: forwards an answer to the caller.
//! * `framer.rs`: buffers incomplete events of a stream.
//! * `reply.rs`: the answers that this node generates.
//! * `progress.rs`: tells a connection's registry when a request is in progress.
//! * `record.rs`: log lines and metrics about a request.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clock::to_duration;
use crate::connections::Handle;
use crate::connections::Reason;
use crate::connections::State;
use crate::connections::Stream;
use crate::connections::Tracker;
use crate::connections::listen::ACCEPT_RETRY_DELAY;
use crate::connections::stream::Switch;
use crate::connections::stream::read_first;
use crate::counted::Counted;
use crate::shell::Phase;
use crate::shell::Shell;
use crate::upstream::Body;

mod admit;
mod bind;
pub mod body_memory;
mod charge;
mod classify;
mod closing;
mod exchange;
mod fingerprint;
mod forward;
mod framer;
mod handle;
pub mod hop;
mod outgoing;
mod parse_notice;
mod payload;
pub mod piece_rate;
mod progress;
pub(crate) mod record;
mod relay;
mod reply;
mod successor;

use progress::Progress;

/// The minimum size of the buffer for a request's head that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// The fewest bytes that a field of a head takes.
const MIN_FIELD_BYTES: usize = 4;

/// The most fields of a head, more than which the library's map can't hold.
const MAX_FIELDS: usize = 16 << 10;

/// Accepts connections until [`Phase::Stopped`], and not only until the shutdown starts: while
/// many nodes stop, a caller may find no other.
pub async fn accept(shell: Rc<Shell>, listener: Rc<TcpListener>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shell.wait_for_phase(Phase::Stopped) => break,
        };
        match accepted {
            Ok((stream, _)) if shell.try_accept_connection() => serve_caller(&shell, stream),
            Ok((stream, _)) => decline(stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Connections left in the backlog would be reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve_caller(&shell, stream);
    }
}

/// Closes a connection of which nothing was read. The caller learns at once that its request has not
/// run, and connects to another node.
fn decline(stream: TcpStream) {
    // Without the reset, a caller that has sent nothing yet would learn it a round trip later.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Serves a caller's connection, unless there are too many.
fn serve_caller(shell: &Rc<Shell>, stream: TcpStream) {
    match shell.registries.callers.try_open(shell.now()) {
        Some(tracker) => {
            tokio::task::spawn_local(serve_tracked_caller(shell.clone(), stream, tracker));
        }
        None => decline(stream),
    }
}

async fn serve_tracked_caller(shell: Rc<Shell>, stream: TcpStream, tracker: Tracker) {
    // A failure only adds latency.
    let _ = stream.set_nodelay(true);
    let idle_timeout = shell.limits().idle_timeout;
    // Until something arrives, the connection takes no buffers.
    let first = read_first(&stream, to_duration(idle_timeout), &tracker).await;
    let Some(first) = first else {
        return decline(stream);
    };
    // Boxed, so that the task takes little memory until then.
    let serving = serve_connection(shell, stream, first, tracker, Sender::Caller);
    Box::pin(serving).await;
}

/// Serves the requests that another node forwards over a connection, the first bytes of which were
/// read already.
pub async fn serve_node(shell: Rc<Shell>, stream: TcpStream, read: Vec<u8>, tracker: Tracker) {
    // A failure only adds latency.
    let _ = stream.set_nodelay(true);
    let serving = serve_connection(shell, stream, read.into(), tracker, Sender::Node);
    Box::pin(serving).await;
}

/// Who sends requests over a connection.
#[derive(Debug, Clone, Copy)]
enum Sender {
    Caller,
    Node,
}

async fn serve_connection(
    shell: Rc<Shell>,
    stream: TcpStream,
    read_before: Bytes,
    tracker: Tracker,
    sender: Sender,
) {
    let limits = shell.limits();
    let is_closing = shell.phase() >= Phase::Closing;
    // hyper applies this timeout to the idle time between requests, too.
    let head_timeout = if is_closing {
        limits.head_timeout
    } else {
        limits.idle_timeout
    };
    let max_head = (limits.head.0 as usize).max(MIN_HEAD_BUFFER_BYTES);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .keep_alive(!is_closing)
        .header_read_timeout(to_duration(head_timeout))
        .max_buf_size(max_head)
        .max_headers((max_head / MIN_FIELD_BYTES).min(MAX_FIELDS))
        .auto_date_header(false);
    let switch = Switch::new(to_duration(limits.idle_timeout));
    let peer = Handle {
        switch: switch.clone(),
        tracker: tracker.clone(),
    };
    let clock = shell.clock.clone();
    let stream = Stream::new(stream, read_before, clock, switch.clone(), tracker.clone());
    let server = shell.clone();
    // Boxed, so that a connection takes little memory while no request is in progress.
    let service =
        service_fn(move |request| Box::pin(respond(server.clone(), request, sender, peer.clone())));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let open_connections = if is_closing {
        &shell.late_connections
    } else {
        &shell.connections
    };
    let _counted = Counted::new(open_connections);
    let serving = async {
        tokio::select! {
            _ = connection.as_mut() => {}
            () = shell.wait_for_phase(Phase::Closing), if !is_closing => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    };
    tokio::select! {
        () = serving => {}
        reason = tracker.closed() => {
            // A connection that waits for its next request is closed in order.
            if reason != Reason::TooMany {
                switch.set();
            }
        }
    }
}

async fn respond(
    shell: Rc<Shell>,
    request: Request<Incoming>,
    sender: Sender,
    peer: Handle,
) -> Result<Response<Body>, Infallible> {
    let progress = Progress::begin(shell.clock.clone(), peer.tracker.clone()).await;
    if request.body().is_end_stream() {
        peer.tracker.set_state(shell.now(), State::Busy);
    }
    let mut response = match sender {
        Sender::Caller => handle::serve(shell.clone(), request, peer).await,
        Sender::Node => handle::serve_forwarded(shell.clone(), request, peer).await,
    };
    if shell.phase() >= Phase::Leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(progress.follow(response))
}
