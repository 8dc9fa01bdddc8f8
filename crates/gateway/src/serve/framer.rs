//! Framing of server-sent events (`text/event-stream`). Only complete events are
//! forwarded, so that a broken stream can resume at another endpoint after the last one.

use bytes::Bytes;
use bytes::BytesMut;

/// The maximum size of an incomplete event that is buffered. A longer event is forwarded in
/// pieces.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct Framer {
    partial: BytesMut,
    last_event_id: Option<String>,
}

impl Framer {
    /// Appends bytes, and returns the events that are now complete and their number.
    pub fn push(&mut self, bytes: &[u8]) -> (Bytes, u32) {
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial).unwrap_or(0);
        if end == 0 && self.partial.len() > MAX_EVENT_BYTES {
            return (self.partial.split().freeze(), 0);
        }
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        let events = count_events(&complete);
        (complete, events)
    }

    /// Returns the remaining bytes after a stream has ended regularly.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the incomplete event of a broken stream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }
}

/// Counts the event boundaries (empty lines) in `bytes`.
pub fn count_events(bytes: &[u8]) -> u32 {
    bytes.windows(2).filter(|pair| *pair == b"\n\n").count() as u32
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let pairs = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    pairs.map(|start| start + 2)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines
        .into_iter()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_owned())
}
