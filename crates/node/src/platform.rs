//! The client of the platform's read-only service, which answers HTTP reads
//! like Consul's key-value store. The node never writes to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::ensure;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use spdlog::warn;
use woadstage_body::Limits;
use woadstage_body::framing::Framing;
use woadstage_config::hosts;
use woadstage_config::published::MAX_DOCUMENT_BYTES;
use woadstage_core::node::Event;
use woadstage_types::unit::Span;

use crate::clock::to_duration;
use crate::dial::new_connector;
use crate::driver::Handle;
use crate::driver::Input;

/// The key of the confirmed configuration.
pub const CONFIG_KEY: &str = "woadstage/config";
/// The key of the host list.
pub const HOSTS_KEY: &str = "woadstage/hosts";

/// The delay before the next call after a failure or while another node is the
/// watcher.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The time a blocking read may take beyond its wait, and the longest pause
/// within its answer.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// The maximum size of an answer: a base64 value with its JSON around it.
const MAX_ANSWER_BYTES: usize = MAX_DOCUMENT_BYTES * 2;

/// The limits for reading an answer's body.
const BODY_LIMITS: Limits = Limits {
    max_bytes: MAX_ANSWER_BYTES,
    idle_timeout: TIMEOUT_MARGIN,
};

/// A client of the platform.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    wait: Span,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A value and its index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// The value.
    pub text: String,
    /// The platform's modification index of the value.
    pub index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Item {
    value: Option<String>,
    modify_index: u64,
}

impl Platform {
    /// Creates a client for an address; one blocking read waits up to `wait`.
    pub fn new(address: SocketAddr, wait: Span) -> Platform {
        let client = Client::builder(TokioExecutor::new()).build(new_connector());
        Platform {
            address,
            wait,
            client,
        }
    }

    /// Reads a key: at once for index 0, otherwise when its index exceeds the
    /// given one or the wait ends.
    pub async fn read(&self, key: &str, index: u64) -> anyhow::Result<Value> {
        let wait = self.wait.to_secs_ceil();
        let uri = match index {
            0 => format!("http://{}/v1/kv/{key}", self.address),
            _ => format!(
                "http://{}/v1/kv/{key}?index={index}&wait={wait}s",
                self.address
            ),
        };
        let request = Request::get(uri).body(Full::new(Bytes::new()))?;
        let timeout = to_duration(self.wait) + TIMEOUT_MARGIN;
        let answer = tokio::time::timeout(timeout, self.client.request(request)).await??;
        Framing::try_of(&Method::GET, &answer)?;
        ensure!(
            answer.status().is_success(),
            "unexpected status {}",
            answer.status()
        );
        let body = woadstage_body::collect(answer.into_body(), BODY_LIMITS).await?;
        let items: Vec<Item> = serde_json::from_slice(&body)?;
        let item = items.into_iter().next().context("the key does not exist")?;
        let bytes = STANDARD.decode(item.value.context("the key has no value")?)?;
        Ok(Value {
            text: String::from_utf8(bytes)?,
            index: item.modify_index,
        })
    }
}

/// Watches one key until the loop ends. A node that is not a watcher makes no
/// calls.
pub async fn watch(platform: Platform, key: &'static str, handle: Handle) {
    let mut index = 0;
    let mut failing = false;
    loop {
        let Some(watcher) = handle.ask(|node, now| node.is_watcher(now)).await else {
            return;
        };
        if !watcher {
            index = 0;
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        match platform.read(key, index).await {
            Ok(value) => {
                failing = false;
                // A restarted service may count from the beginning.
                index = if value.index < index { 0 } else { value.index };
                send_event(&handle, key, value);
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    let error = error.to_string();
                    warn!("platform: Read failed.", kv: { key, error: });
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn send_event(handle: &Handle, key: &str, value: Value) {
    let Value { text, index } = value;
    if key == CONFIG_KEY {
        handle.send(Input::Event(Event::Document {
            text: text.into(),
            index,
        }));
        return;
    }
    match serde_json::from_str::<hosts::List>(&text) {
        Ok(list) => handle.send(Input::Event(Event::Hosts {
            list: Arc::new(list),
            index,
        })),
        Err(error) => {
            let error = error.to_string();
            warn!("platform: Cannot parse the host list.", kv: { error: });
        }
    }
}
