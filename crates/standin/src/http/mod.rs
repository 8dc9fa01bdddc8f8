//! Engine, service and platform as small servers, each with a `/control` path
//! by which a test slows, freezes or breaks it.

use std::net::SocketAddr;

use anyhow::Context;
use salvo::Listener;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::conn::TcpListener;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use serde_json::Value;

pub mod engine;
pub mod platform;
pub mod service;

/// Largest body a stand-in reads.
const BODY_LIMIT: usize = 4 << 20;

/// Serves routes at an address until the process ends.
pub async fn serve(address: SocketAddr, router: Router) -> anyhow::Result<()> {
    let listener = TcpListener::new(address).try_bind().await;
    let acceptor = listener.with_context(|| format!("listen on {address}"))?;
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(())
}

fn json(response: &mut Response, status: StatusCode, value: &Value) {
    response.status_code(status);
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response.body(value.to_string());
}
