//! Polls the endpoints' load reports. Only the node that owns a pool polls its
//! endpoints.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use serde::Deserialize;
use woadstage_body::framing::Framing;
use woadstage_core::node::Event;
use woadstage_types::id;

use super::Client;
use crate::driver::Handle;
use crate::driver::Input;

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_millis(800);
const LOAD_PATH: &str = "/load";
const MAX_REPORT_BYTES: usize = 4_096;

/// An endpoint's load report, which is already out of date on arrival.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    #[serde(default)]
    leaving: bool,
}

/// Polls the endpoints of the pools that this node owns until the loop ends.
pub async fn poll(client: Client, handle: Handle) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(polled) = handle.ask(|node, _| node.polled_endpoints()).await else {
            return;
        };
        for (endpoint, address) in polled {
            tokio::spawn(read(
                client.clone(),
                handle.clone(),
                endpoint,
                address.to_string(),
            ));
        }
    }
}

async fn read(client: Client, handle: Handle, endpoint: id::Endpoint, address: String) {
    let report = tokio::time::timeout(TIMEOUT, fetch(&client, &address)).await;
    if let Ok(Some(report)) = report {
        let busy = report.running + report.waiting;
        let leaving = report.leaving;
        handle.send(Input::Event(Event::Report {
            endpoint,
            busy,
            leaving,
        }));
    }
}

async fn fetch(client: &Client, address: &str) -> Option<Report> {
    let uri = format!("http://{address}{LOAD_PATH}");
    let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
    let response = client.pooled.request(request).await.ok()?;
    Framing::try_of(&Method::GET, &response).ok()?;
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
