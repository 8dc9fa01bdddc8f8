//! Reads whole bodies for as long as they keep coming.
//!
//! A bound on the time of a whole answer fails where the answer is long and the
//! link slow, and fails again each time it is asked for anew. Here the bound is
//! on the pauses between two pieces.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

/// How long and how slow a body may be.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest body, in bytes.
    pub max_bytes: usize,
    /// Longest pause before each piece.
    pub idle_timeout: Duration,
}

/// Reads a body to its end.
///
/// # Errors
/// Where it breaks off, is too long, or nothing comes within the pause.
pub async fn collect<B>(mut body: B, limits: Limits) -> anyhow::Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(limits.idle_timeout, body.frame()).await;
        let frame =
            frame.map_err(|_| anyhow::anyhow!("the answer stopped after {} bytes", whole.len()))?;
        let Some(frame) = frame.transpose()? else {
            return Ok(whole.freeze());
        };
        // Trailers are of no use here.
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        whole.extend_from_slice(&piece);
        anyhow::ensure!(
            whole.len() <= limits.max_bytes,
            "an answer of over {} bytes",
            limits.max_bytes
        );
    }
}
