//! A request's body. A short one is held, so that it can be sent again; a long
//! one passes through with bounded memory and can be sent once.

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

/// Longest body that is held.
const HELD_MOST: u64 = 256 << 10;

/// A request's body, held or passing through.
pub struct Payload {
    held: Bytes,
    rest: Option<Incoming>,
    streams: bool,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Payload {
    /// Reads a body as far as it is held.
    ///
    /// # Errors
    /// [`Code::BodyTooLarge`], [`Code::BodyCutOff`], or [`Code::NodeBusy`]
    /// where the memory for bodies is used up.
    pub async fn read(
        mut body: Incoming,
        most: Size,
        room: &Arc<Semaphore>,
    ) -> Result<Payload, Code> {
        let announced = body.size_hint().lower();
        if announced > most.0 {
            return Err(Code::BodyTooLarge);
        }
        if body.is_end_stream() {
            return Ok(Payload {
                held: Bytes::new(),
                rest: None,
                streams: false,
                _permit: None,
            });
        }
        let held_most = HELD_MOST.min(most.0);
        let wanted = match body.size_hint().exact() {
            Some(exact) => exact.min(held_most),
            None => held_most,
        };
        let kibibytes = wanted.div_ceil(1 << 10) as u32;
        let permit = room.clone().try_acquire_many_owned(kibibytes);
        let permit = permit.map_err(|_| Code::NodeBusy)?;
        let mut held = BytesMut::with_capacity(wanted.min(announced.max(1 << 10)) as usize);
        let mut rest = None;
        loop {
            match body.frame().await {
                None => break,
                Some(Err(_)) => return Err(Code::BodyCutOff),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        held.extend_from_slice(&data);
                    }
                }
            }
            if held.len() as u64 > held_most {
                rest = Some(body);
                break;
            }
        }
        Ok(Payload {
            streams: rest.is_some(),
            held: held.freeze(),
            rest,
            _permit: Some(permit),
        })
    }

    /// True where the body can be sent now, for the first time or again.
    pub fn can_send(&self) -> bool {
        !self.streams || self.rest.is_some()
    }

    /// The body for one attempt.
    pub fn take_body(&mut self) -> Body {
        let held = Full::new(self.held.clone());
        let Some(rest) = self.rest.take() else {
            return Box::pin(held.map_err(|never| match never {}));
        };
        let held = std::mem::take(&mut self.held);
        let frames =
            futures_util::stream::unfold((Some(held), rest), |(held, mut rest)| async move {
                if let Some(held) = held {
                    return Some((Ok(Frame::data(held)), (None, rest)));
                }
                let data = next_data(&mut rest).await?;
                Some((data.map(Frame::data), (None, rest)))
            });
        Box::pin(StreamBody::new(frames))
    }

    /// The whole body where it is held, or else its first [`HELD_MOST`] bytes at the
    /// most; nothing once a long one has gone out.
    pub fn beginning(&self) -> &[u8] {
        let most = self.held.len().min(HELD_MOST as usize);
        &self.held[..most]
    }

    /// The length, where the whole body is held.
    pub fn length_opt(&self) -> Option<usize> {
        (!self.streams).then_some(self.held.len())
    }
}

/// The next bytes of a body. Trailers are dropped: they would add fields to the
/// head that the caller's own head does not show.
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
