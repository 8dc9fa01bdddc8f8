//! Callers: connections, and what becomes of each request.
//!
//! * `admit.rs`: which route and customer a request has.
//! * `closing.rs`: what a node that closes still takes on.
//! * `payload.rs`: its body.
//! * `charge.rs`: its customer's quota.
//! * `handle.rs`: one request, from its head to an answer that goes out.
//! * `fingerprint.rs`: what a request asks for, over all attempts.
//! * `exchange.rs`: attempts at endpoints until there is an answer.
//! * `outgoing.rs`: a request as an endpoint gets it.
//! * `judge.rs`: what an answer's head means.
//! * `read_notice.rs`: what an answer's head says of its endpoint.
//! * `note.rs`: what becomes of a request, for logs and metrics.
//! * `relay.rs`: the answer's way to the caller.
//! * `framer.rs`: events of a stream.
//! * `reply.rs`: answers of this node's own.

use std::convert::Infallible;
use std::rc::Rc;

use futures_util::FutureExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use woadstage_dispatch::configuration::Limits;

use crate::clock::to_duration;
use crate::shell::Phase;
use crate::shell::Shell;
use crate::upstream::Body;

mod admit;
mod charge;
mod closing;
mod exchange;
mod fingerprint;
pub mod framer;
mod handle;
mod judge;
mod note;
mod outgoing;
mod payload;
mod read_notice;
mod relay;
mod reply;

/// Smallest buffer for a head that the library allows.
const HEAD_LEAST: usize = 8_192;

/// Accepts callers until the process ends: while many nodes stop, a caller may
/// find no other.
pub async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shell.wait_for_phase(Phase::Stopped) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(shell.clone(), stream));
            }
            // Out of descriptors, mostly: others will close theirs.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
        }
    }
    // Those that are connected already would be reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        tokio::task::spawn_local(connection(shell.clone(), stream));
    }
}

async fn connection(shell: Rc<Shell>, stream: TcpStream) {
    // Only delay is lost where this fails.
    let _ = stream.set_nodelay(true);
    let limits = shell.query(|dispatcher, _| {
        let configuration = dispatcher.configuration();
        configuration.map_or_else(Limits::default, |one| one.limits.clone())
    });
    let closes = shell.phase() >= Phase::Closing;
    // The library counts a rest between requests as time for the head.
    let head_timeout = if closes {
        limits.head_timeout
    } else {
        limits.idle_timeout
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .keep_alive(!closes)
        .header_read_timeout(to_duration(head_timeout))
        .max_buf_size((limits.head.0 as usize).max(HEAD_LEAST))
        .auto_date_header(false);
    let server = shell.clone();
    let service = service_fn(move |request| answer(server.clone(), request));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let open = if closes {
        &shell.late_connections
    } else {
        &shell.connections
    };
    open.set(open.get() + 1);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = shell.wait_for_phase(Phase::Closing), if !closes => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    open.set(open.get() - 1);
}

async fn answer(
    shell: Rc<Shell>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut response = handle::serve(shell.clone(), request).await;
    if shell.phase() >= Phase::Leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}
