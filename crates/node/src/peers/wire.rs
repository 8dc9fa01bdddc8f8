//! Frames between nodes: a length, the protocol version and a postcard value.

use anyhow::Context;
use anyhow::bail;
use anyhow::ensure;
use quinn::RecvStream;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use woadstage_core::message::VERSION;
use woadstage_core::node::Arrival;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Tokens;

use crate::driver::Work;

/// The maximum size of a frame in bytes: a document of 1 MiB and its envelope.
const MAX_FRAME_BYTES: usize = (1 << 20) + (1 << 16);

/// The size in bytes of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// The close code for a full message queue.
pub const CLOSE_QUEUE_FULL: u32 = 1;

/// The first frame of a message stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The host of the sender.
    pub host: id::Host,
    /// The incarnation of the sender.
    pub incarnation: id::Incarnation,
}

/// The first frame of a forwarded request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The node that forwards the request.
    pub from: id::Host,
    /// The request.
    pub request: id::Request,
    /// The SHA-256 of the bearer token.
    pub token: [u8; 32],
    /// The declared class.
    pub class: Option<id::Class>,
    /// The model or service.
    pub target: id::Target,
    /// The idempotency key.
    pub key: Option<String>,
    /// The time left until the deadline.
    pub left: Span,
    /// The estimated number of prompt tokens.
    pub prompt: Tokens,
    /// The maximum number of output tokens.
    pub output_limit: Option<Tokens>,
    /// The hash of the request's content.
    pub fingerprint: u64,
    /// The request for the endpoint.
    pub work: Work,
}

impl ForwardedRequest {
    /// Returns the request as the core receives it.
    pub fn to_arrival(&self) -> Arrival {
        Arrival {
            request: self.request,
            token: self.token,
            class: self.class.clone(),
            target: self.target.clone(),
            is_service: !self.work.is_model,
            key: self.key.clone(),
            timeout: Some(self.left),
            prompt: self.prompt,
            output_limit: self.output_limit,
            // Requests with an idempotency key are short and rare, so they are
            // placed without prefix hints.
            prefix: std::sync::Arc::from([]),
            fingerprint: self.fingerprint,
            from: Some(self.from.clone()),
        }
    }
}

/// Appends a frame to a buffer.
pub fn append<T: Serialize>(buffer: &mut Vec<u8>, value: &T) -> anyhow::Result<()> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    buffer.push(VERSION);
    let taken = std::mem::take(buffer);
    *buffer = postcard::to_extend(value, taken)?;
    let length = buffer.len() - start - LENGTH_BYTES;
    ensure!(
        length <= MAX_FRAME_BYTES,
        "frame of {length} bytes exceeds the limit"
    );
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// Returns a value encoded as one frame.
pub fn to_frame<T: Serialize>(value: &T) -> anyhow::Result<Vec<u8>> {
    let mut buffer = Vec::new();
    append(&mut buffer, value)?;
    Ok(buffer)
}

/// Decodes a frame without its length prefix.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> anyhow::Result<T> {
    let (version, value) = payload.split_first().context("empty frame")?;
    ensure!(
        *version == VERSION,
        "frame has protocol version {version}, expected {VERSION}"
    );
    Ok(postcard::from_bytes(value)?)
}

/// Reads a frame from a stream; returns `None` if the stream ended cleanly.
pub async fn read<T: DeserializeOwned>(stream: &mut RecvStream) -> anyhow::Result<Option<T>> {
    let mut length = [0; LENGTH_BYTES];
    match stream.read_exact(&mut length).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(error.into()),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        bail!("frame of {length} bytes is empty or exceeds the limit");
    }
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload).await?;
    decode(&payload).map(Some)
}
