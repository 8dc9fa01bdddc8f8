//! Request bodies. A short body is buffered and can be sent again; a long one is streamed
//! in bounded memory and can be sent only once.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;

use crate::upstream::Body;

/// The maximum size of a body that is buffered.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;

/// A request body, buffered or streamed.
pub struct Payload {
    buffered: Bytes,
    remaining: Option<Incoming>,
    is_streamed: bool,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Payload {
    /// Reads a whole short body, or the beginning of a long one. Reserves memory for the
    /// buffer from `memory`, which has one permit per KiB.
    ///
    /// # Errors
    /// Returns [`Code::BodyTooLarge`], [`Code::BodyCutOff`], or [`Code::NodeBusy`]
    /// if no memory is left for bodies.
    pub async fn read(
        mut body: Incoming,
        max_size: Size,
        memory: &Arc<Semaphore>,
    ) -> Result<Payload, Code> {
        let declared = body.size_hint().lower();
        if declared > max_size.0 {
            return Err(Code::BodyTooLarge);
        }
        if body.is_end_stream() {
            return Ok(Payload {
                buffered: Bytes::new(),
                remaining: None,
                is_streamed: false,
                _permit: None,
            });
        }
        let max_buffered = MAX_BUFFERED_BYTES.min(max_size.0);
        let reserved = match body.size_hint().exact() {
            Some(exact) => exact.min(max_buffered),
            None => max_buffered,
        };
        let kibibytes = reserved.div_ceil(1 << 10) as u32;
        let permit = memory.clone().try_acquire_many_owned(kibibytes);
        let permit = permit.map_err(|_| Code::NodeBusy)?;
        let mut buffered = BytesMut::with_capacity(reserved.min(declared.max(1 << 10)) as usize);
        let mut remaining = None;
        loop {
            match body.frame().await {
                None => break,
                Some(Err(_)) => return Err(Code::BodyCutOff),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        buffered.extend_from_slice(&data);
                    }
                }
            }
            if buffered.len() as u64 > max_buffered {
                remaining = Some(body);
                break;
            }
        }
        Ok(Payload {
            is_streamed: remaining.is_some(),
            buffered: buffered.freeze(),
            remaining,
            _permit: Some(permit),
        })
    }

    /// Whether the body can be sent now, for the first time or again.
    pub fn can_send(&self) -> bool {
        !self.is_streamed || self.remaining.is_some()
    }

    /// Returns the body for one attempt.
    pub fn take_body(&mut self) -> Body {
        let buffered = Full::new(self.buffered.clone());
        let Some(remaining) = self.remaining.take() else {
            return Box::pin(buffered.map_err(|never| match never {}));
        };
        let buffered = std::mem::take(&mut self.buffered);
        let frames = futures_util::stream::unfold(
            (Some(buffered), remaining),
            |(buffered, mut remaining)| async move {
                if let Some(buffered) = buffered {
                    return Some((Ok(Frame::data(buffered)), (None, remaining)));
                }
                let data = next_data(&mut remaining).await?;
                Some((data.map(Frame::data), (None, remaining)))
            },
        );
        Box::pin(StreamBody::new(frames))
    }

    /// The whole body if it is buffered, or at most the first [`MAX_BUFFERED_BYTES`] bytes of
    /// a long one; empty once a long one was sent.
    pub fn buffered_prefix(&self) -> &[u8] {
        let length = self.buffered.len().min(MAX_BUFFERED_BYTES as usize);
        &self.buffered[..length]
    }

    /// The length of the body if it is buffered.
    pub fn length_opt(&self) -> Option<usize> {
        (!self.is_streamed).then_some(self.buffered.len())
    }
}

/// Returns the next bytes of a body. Drops trailers: they would add fields that are not in
/// the caller's head.
async fn next_data(body: &mut Incoming) -> Option<anyhow::Result<Bytes>> {
    loop {
        match body.frame().await? {
            Err(error) => return Some(Err(error.into())),
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
        }
    }
}
