//! Reads complete HTTP bodies with a limit on the time between two frames.
//!
//! A limit on the total time would reject a long body on a slow link, and every retry
//! of it as well.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Limits on the size and the pauses of a body.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum size of the body.
    pub max_bytes: usize,
    /// The maximum time to wait for each frame.
    pub idle_timeout: Duration,
}

/// Reads a body to its end and returns its data.
///
/// # Errors
/// If the connection breaks, the body exceeds `max_bytes`, or no frame arrives within
/// `idle_timeout`.
pub async fn collect<B>(mut body: B, limits: Limits) -> anyhow::Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let mut content = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(limits.idle_timeout, body.frame()).await;
        let frame = frame
            .map_err(|_| anyhow::anyhow!("response body stalled after {} bytes", content.len()))?;
        let Some(frame) = frame.transpose()? else {
            return Ok(content.freeze());
        };
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        content.extend_from_slice(&data);
        anyhow::ensure!(
            content.len() <= limits.max_bytes,
            "response body exceeds {} bytes",
            limits.max_bytes
        );
    }
}
