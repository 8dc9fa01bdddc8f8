//! Request bodies. A short body is buffered and can be sent again; a long one is streamed
//! in bounded memory and can be sent only once.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;
use woadstage_types::unit::Time;

use super::body_memory::Reservation;
use super::piece_rate::PieceRate;
use super::piece_rate::SmallPieces;
use crate::clock::Clock;
use crate::clock::to_duration;
use crate::shell::Shell;
use crate::upstream::Body;

/// The maximum size of a body that is buffered.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;

/// A request body, buffered or streamed.
pub struct Payload {
    buffered: Bytes,
    /// The rest of a streamed body, until it is sent.
    rest: Option<Rest>,
    is_streamed: bool,
    reservation: Option<Reservation>,
    fault: Rc<Cell<Option<Code>>>,
}

/// The part of a long body that has not been read.
struct Rest {
    body: Incoming,
    /// The most bytes that may follow.
    max_bytes: u64,
    pieces: SmallPieces,
    clock: Clock,
    piece_rate: Rc<PieceRate>,
}

impl Payload {
    /// Reads a whole short body, or the beginning of a long one, before the deadline.
    ///
    /// # Errors
    /// Returns [`Code::BodyTooLarge`], [`Code::BodyCutOff`], [`Code::BodyTooSlow`],
    /// [`Code::NodeBusy`] if no memory is left for the body, or [`Code::Stopping`] if the node ends
    /// before it has arrived.
    pub async fn read(
        shell: &Shell,
        body: Incoming,
        max_size: Size,
        deadline: Time,
    ) -> Result<Payload, Code> {
        let reading = shell.timeout_at(
            deadline,
            Payload::read_without_deadline(shell, body, max_size),
        );
        reading
            .await
            .unwrap_or_else(|_| match shell.must_have_answered() {
                true => Err(Code::Stopping),
                false => Err(Code::BodyTooSlow),
            })
    }

    async fn read_without_deadline(
        shell: &Shell,
        mut body: Incoming,
        max_size: Size,
    ) -> Result<Payload, Code> {
        let declared = body.size_hint().lower();
        if declared > max_size.0 {
            return Err(Code::BodyTooLarge);
        }
        if body.is_end_stream() {
            return Ok(Payload {
                buffered: Bytes::new(),
                rest: None,
                is_streamed: false,
                reservation: None,
                fault: Rc::default(),
            });
        }
        let max_buffered = MAX_BUFFERED_BYTES.min(max_size.0);
        let max_reserved = match body.size_hint().exact() {
            Some(exact) => exact.min(max_buffered),
            None => max_buffered,
        };
        let reading = shell.body_memory.begin(shell.now());
        let mut rest = None;
        let mut pieces = SmallPieces::default();
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = reading.gives_way() => return Err(Code::NodeBusy),
            };
            match frame {
                None => break,
                Some(Err(_)) => return Err(Code::BodyCutOff),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    reading.append(shell.now(), &data, max_reserved)?;
                    let wait = shell
                        .piece_rate
                        .record(shell.now(), &mut pieces, data.len());
                    if let Some(wait) = wait {
                        tokio::select! {
                            () = tokio::time::sleep(to_duration(wait)) => {}
                            () = reading.gives_way() => return Err(Code::NodeBusy),
                        }
                    }
                }
            }
            let length = reading.arrived() as u64;
            if length > max_size.0 {
                return Err(Code::BodyTooLarge);
            }
            if length > max_buffered {
                let max_bytes = max_size.0 - length;
                rest = Some(Rest {
                    body,
                    max_bytes,
                    pieces,
                    clock: shell.clock.clone(),
                    piece_rate: shell.piece_rate.clone(),
                });
                break;
            }
        }
        let (buffered, reservation) = reading.finish();
        Ok(Payload {
            is_streamed: rest.is_some(),
            buffered: buffered.freeze(),
            rest,
            reservation: Some(reservation),
            fault: Rc::default(),
        })
    }

    /// Whether the body can be sent now, for the first time or again.
    pub fn can_send(&self) -> bool {
        !self.is_streamed || self.rest.is_some()
    }

    /// Returns the body for one attempt.
    pub fn take_body(&mut self) -> Body {
        let buffered = Full::new(self.buffered.clone());
        let Some(rest) = self.rest.take() else {
            return Box::pin(buffered.map_err(|never| match never {}));
        };
        let sending = Sending {
            beginning: Some(std::mem::take(&mut self.buffered)),
            reservation: self.reservation.take(),
            rest,
            fault: self.fault.clone(),
        };
        let frames = futures_util::stream::unfold(sending, |mut sending| async move {
            let data = sending.next_data().await?;
            Some((data.map(Frame::data), sending))
        });
        Box::pin(StreamBody::new(frames))
    }

    /// Returns what was wrong with the rest of a streamed body, if that was found while it was sent.
    pub fn fault_opt(&self) -> Option<Code> {
        self.fault.get()
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

impl Rest {
    /// Returns the next bytes. Drops trailers: they would add fields that are not in the caller's head.
    async fn next_data(&mut self) -> Option<Result<Bytes, Code>> {
        loop {
            let Ok(frame) = self.body.frame().await? else {
                return Some(Err(Code::BodyCutOff));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let Some(left) = self.max_bytes.checked_sub(data.len() as u64) else {
                return Some(Err(Code::BodyTooLarge));
            };
            self.max_bytes = left;
            let rate = &self.piece_rate;
            let wait = rate.record(self.clock.now(), &mut self.pieces, data.len());
            if let Some(wait) = wait {
                tokio::time::sleep(to_duration(wait)).await;
            }
            return Some(Ok(data));
        }
    }
}

/// A long body that is being sent.
struct Sending {
    beginning: Option<Bytes>,
    /// The memory that the beginning takes, until more is sent.
    reservation: Option<Reservation>,
    rest: Rest,
    fault: Rc<Cell<Option<Code>>>,
}

impl Sending {
    async fn next_data(&mut self) -> Option<anyhow::Result<Bytes>> {
        if let Some(beginning) = self.beginning.take() {
            return Some(Ok(beginning));
        }
        self.reservation = None;
        let data = self.rest.next_data().await?;
        Some(data.map_err(|code| {
            self.fault.set(Some(code));
            anyhow::anyhow!("{code}")
        }))
    }
}
