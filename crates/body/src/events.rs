//! Finds the ends of events in a stream of server-sent events (`text/event-stream`, WHATWG HTML,
//! 9.2.6).
//!
//! Lines end in LF, CR LF or CR, and an event ends with an empty line. Reads may divide any of
//! these, and a byte order mark may precede the first line.

/// The byte order mark in UTF-8.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// What a part of a stream contained.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// The length of the beginning of the part after which the stream is not inside an event; `None`
    /// if it is inside one event, or one line, throughout.
    pub outside_at: Option<usize>,
    /// The number of events that ended.
    pub events: u32,
}

/// Scans a stream, part by part.
#[derive(Debug, Clone, Default)]
pub struct Scanner {
    start: Start,
    /// Whether the current event has a line other than a comment.
    has_field: bool,
    /// Whether the current line has a character.
    in_line: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_cr: bool,
}

/// How much of a byte order mark was seen at the start of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// This many bytes of it, and nothing else.
    Mark(usize),
    /// The first line has begun or none of it can follow.
    Passed,
}

impl Default for Start {
    fn default() -> Start {
        Start::Mark(0)
    }
}

impl Scanner {
    /// Scans the next part of the stream.
    pub fn push(&mut self, part: &[u8]) -> Progress {
        let mut progress = Progress::default();
        for (index, byte) in part.iter().enumerate() {
            progress.events += u32::from(self.push_byte(*byte));
            if !self.is_inside_event() {
                progress.outside_at = Some(index + 1);
            }
        }
        progress
    }

    /// Whether the stream would break off inside an event if it ended here. Comments belong to no
    /// event once their line has ended.
    pub fn is_inside_event(&self) -> bool {
        let in_mark =
            matches!(self.start, Start::Mark(seen) if seen > 0 && seen < BYTE_ORDER_MARK.len());
        self.has_field || self.in_line || in_mark
    }

    /// Scans one byte. Returns whether it ends an event.
    fn push_byte(&mut self, byte: u8) -> bool {
        if let Start::Mark(seen) = self.start {
            if BYTE_ORDER_MARK.get(seen) == Some(&byte) {
                self.start = Start::Mark(seen + 1);
                return false;
            }
            self.start = Start::Passed;
            let is_whole = seen == 0 || seen == BYTE_ORDER_MARK.len();
            // The bytes that looked like the beginning of a mark begin the line.
            self.in_line = !is_whole;
            self.has_field = !is_whole;
        }
        let follows_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if follows_cr => false,
            b'\n' | b'\r' => self.end_line(),
            _ => {
                self.has_field |= !self.in_line && byte != b':';
                self.in_line = true;
                false
            }
        }
    }

    fn end_line(&mut self) -> bool {
        if std::mem::take(&mut self.in_line) {
            return false;
        }
        std::mem::take(&mut self.has_field)
    }
}

/// Returns the value of the last `id` field in complete events.
pub fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_owned())
}

/// Removes the byte order mark from the beginning of a stream.
pub fn strip_byte_order_mark(stream: &[u8]) -> &[u8] {
    stream.strip_prefix(&BYTE_ORDER_MARK).unwrap_or(stream)
}
