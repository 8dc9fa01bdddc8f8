//! Extracts token events, usage and the end marker from an engine's answer.

use serde::Deserialize;
use woadstage_body::ending::Ending;

/// The maximum size in bytes of a plain answer that is read for usage.
const MAX_PLAIN_BYTES: usize = 1 << 20;

/// The maximum length of a line of a stream that is read for usage.
const MAX_LINE_BYTES: usize = 1 << 16;

/// The usage reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens of the answer.
    pub completion_tokens: u64,
    /// The prompt tokens that were served from the cache.
    pub prompt_tokens_details: Option<Details>,
}

/// The breakdown of the prompt tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Details {
    /// The tokens that were served from the cache.
    pub cached_tokens: u64,
}

#[derive(Deserialize)]
struct Envelope {
    usage: Option<Usage>,
}

/// Inspects an answer while it is relayed.
#[derive(Debug)]
pub struct Reader {
    is_stream: bool,
    buffer: Vec<u8>,
    /// The usage, once seen.
    pub usage: Usage,
    /// The number of events that carry tokens.
    pub tokens: u64,
    /// Whether the stream had its end marker.
    pub done: bool,
}

impl Reader {
    /// Creates a reader for a stream or a plain answer.
    pub fn new(is_stream: bool) -> Reader {
        Reader {
            is_stream,
            buffer: Vec::new(),
            usage: Usage::default(),
            tokens: 0,
            done: false,
        }
    }

    /// Processes a chunk and returns the number of token events in it.
    pub fn read(&mut self, part: &[u8]) -> u64 {
        if !self.is_stream {
            let room = MAX_PLAIN_BYTES.saturating_sub(self.buffer.len());
            self.buffer.extend_from_slice(&part[..part.len().min(room)]);
            return 0;
        }
        let before = self.tokens;
        for line in part.split_inclusive(|byte| *byte == b'\n') {
            if self.buffer.len() + line.len() <= MAX_LINE_BYTES {
                self.buffer.extend_from_slice(line);
            }
            if line.ends_with(b"\n") {
                let complete_line = std::mem::take(&mut self.buffer);
                self.line(&complete_line);
            }
        }
        self.tokens - before
    }

    fn line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let counts = data.windows(7).any(|word| word == b"\"usage\"");
        match counts
            .then(|| serde_json::from_slice::<Envelope>(data).ok())
            .flatten()
        {
            Some(Envelope { usage: Some(usage) }) => self.usage = usage,
            _ => self.tokens += 1,
        }
    }

    /// Parses the usage of a plain answer at its end. Only the content tells whether one that ended
    /// with its connection is whole.
    pub fn finish(&mut self, ending: &Ending) {
        if self.is_stream {
            return;
        }
        let parsed = serde_json::from_slice(&self.buffer);
        let is_read_in_part = self.buffer.len() >= MAX_PLAIN_BYTES;
        self.done = *ending == Ending::Stated || parsed.is_ok() || is_read_in_part;
        if let Ok(Envelope { usage: Some(usage) }) = parsed {
            self.usage = usage;
        }
    }
}
