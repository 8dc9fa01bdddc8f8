//! Buffers incomplete events of a stream. Only complete events are forwarded, so that a broken
//! stream can resume at another endpoint after the last one.

use bytes::Bytes;
use bytes::BytesMut;
use woadstage_body::events;

/// The maximum size of an incomplete event that is buffered. A longer event is forwarded in
/// pieces.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Releases a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct Framer {
    partial: BytesMut,
    last_event_id: Option<String>,
    is_resuming: bool,
    /// Whether the beginning of the current event was forwarded.
    is_torn: bool,
}

impl Framer {
    /// Appends the next part of the stream, and returns what can be forwarded now. After
    /// `outside_at` bytes of the part the stream is not inside an event.
    pub fn push(&mut self, part: &[u8], outside_at: Option<usize>) -> Bytes {
        let buffered = self.partial.len();
        self.partial.extend_from_slice(part);
        let Some(length) = outside_at else {
            if self.partial.len() <= MAX_EVENT_BYTES {
                return Bytes::new();
            }
            self.is_torn = true;
            return self.partial.split().freeze();
        };
        self.is_torn = false;
        let complete = self.partial.split_to(buffered + length).freeze();
        if let Some(id) = events::last_id(&complete) {
            self.last_event_id = Some(id);
        }
        match std::mem::take(&mut self.is_resuming) {
            true => complete.slice_ref(events::strip_byte_order_mark(&complete)),
            false => complete,
        }
    }

    /// Discards the incomplete event of a broken stream; what follows comes from another endpoint.
    /// Returns whether the stream can be resumed.
    pub fn try_resume(&mut self) -> bool {
        self.partial.clear();
        self.is_resuming = true;
        !self.is_torn
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }
}
