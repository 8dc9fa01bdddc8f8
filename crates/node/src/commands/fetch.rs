//! Queries a node's operator address.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use super::Refused;
use crate::dial::new_connector;
use crate::operators::Fault;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Sends the query and returns the decoded value; prints the faults of a
/// refusal.
pub(super) async fn ask<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
    body: Option<String>,
    out: &mut impl Write,
) -> anyhow::Result<T> {
    let uri = format!("http://{node}{path}");
    let request = match body {
        Some(body) => Request::post(uri).body(Full::new(Bytes::from(body)))?,
        None => Request::get(uri).body(Full::new(Bytes::new()))?,
    };
    let client = Client::builder(TokioExecutor::new()).build(new_connector());
    let answer = tokio::time::timeout(TIMEOUT, client.request(request)).await??;
    let is_success = answer.status().is_success();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
    let body = tokio::time::timeout(TIMEOUT, body).await?;
    let body = body.map_err(|error| anyhow::anyhow!(error))?.to_bytes();
    if is_success {
        return Ok(serde_json::from_slice(&body)?);
    }
    let faults: Vec<Fault> = serde_json::from_slice(&body)?;
    for fault in faults {
        writeln!(out, "{} {}: {}", fault.code, fault.place, fault.mend)?;
    }
    Err(Refused.into())
}
