//! Events of a stream (`text/event-stream`): cut into whole events, so that a
//! stream which breaks off can go on elsewhere after the last whole one.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event that is waited for; a longer one passes in pieces.
const EVENT_MOST: usize = 256 << 10;

/// Cuts bytes into whole events.
#[derive(Debug, Default)]
pub struct Framer {
    partial: BytesMut,
    last: Option<String>,
}

impl Framer {
    /// Takes bytes, and gives the whole events that they complete with how
    /// many there are.
    pub fn push(&mut self, bytes: &[u8]) -> (Bytes, u32) {
        self.partial.extend_from_slice(bytes);
        let end = last_boundary(&self.partial).unwrap_or(0);
        if end == 0 && self.partial.len() > EVENT_MOST {
            return (self.partial.split().freeze(), 0);
        }
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        let events = count(&whole);
        (whole, events)
    }

    /// Gives what is left when a stream has ended as it should.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the piece of an event that broke off.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// Whole events in bytes that may hold more than one.
pub fn count(bytes: &[u8]) -> u32 {
    bytes.windows(2).filter(|pair| *pair == b"\n\n").count() as u32
}

fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let pairs = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    pairs.map(|at| at + 2)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines
        .into_iter()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_owned())
}
