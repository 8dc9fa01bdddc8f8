//! Tells a body that ended from one that broke off.
//!
//! The sender states the end of a body by its length or by a last chunk. A body with neither ends
//! with its connection (RFC 9112, 6.3), which also ends a body that its sender never finished. The
//! two can be told apart in a stream of events: one that ends inside an event has broken off.

use std::fmt;

use hyper::HeaderMap;
use hyper::header;

use crate::events::Progress;
use crate::events::Scanner;
use crate::framing::Framing;

/// How a body ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The sender stated the end, and all before it arrived.
    Stated,
    /// The connection was closed in order, where only that ends the body.
    Closed,
    /// The body is incomplete.
    BrokenOff(Cause),
}

impl Ending {
    /// Whether the body counts as whole.
    pub fn is_whole(&self) -> bool {
        !matches!(self, Ending::BrokenOff(_))
    }

    /// Whether another message may follow on the same connection.
    pub fn may_reuse_connection(&self) -> bool {
        *self == Ending::Stated
    }

    /// The name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Ending::Stated => "stated",
            Ending::Closed => "closed",
            Ending::BrokenOff(Cause::Connection(_)) => "connection-broke",
            Ending::BrokenOff(Cause::InsideEvent) => "inside-event",
            Ending::BrokenOff(Cause::NoEvent) => "no-event",
            Ending::BrokenOff(Cause::SenderEnded) => "sender-ended",
        }
    }
}

/// Why a body is incomplete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The connection broke, or was closed before the stated end.
    Connection(String),
    /// A stream of events ended inside an event.
    InsideEvent,
    /// The connection was closed before the first event of a stream, where only that ends it.
    NoEvent,
    /// The connection was closed, where only that ends a stream, because its sender ended.
    SenderEnded,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Connection(error) => f.write_str(error),
            Cause::InsideEvent => f.write_str("stream ended inside an event"),
            Cause::NoEvent => f.write_str("connection closed before the first event"),
            Cause::SenderEnded => f.write_str("connection closed as its sender ended"),
        }
    }
}

/// Follows a body to its end.
#[derive(Debug, Clone)]
pub struct Reception {
    framing: Framing,
    scanner: Option<Scanner>,
    events: u32,
}

impl Reception {
    /// Begins to follow a body, which is a stream of events or not.
    pub fn new(framing: Framing, is_event_stream: bool) -> Reception {
        Reception {
            framing,
            scanner: is_event_stream.then(Scanner::default),
            events: 0,
        }
    }

    /// What marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.scanner.is_some()
    }

    /// Follows the next part of the body.
    pub fn push(&mut self, part: &[u8]) -> Progress {
        let Some(scanner) = &mut self.scanner else {
            return Progress {
                outside_at: Some(part.len()),
                events: 0,
            };
        };
        let progress = scanner.push(part);
        self.events += progress.events;
        progress
    }

    /// Returns how the body ended if no more of it arrives.
    pub fn end(&self) -> Ending {
        if self.scanner.as_ref().is_some_and(Scanner::is_inside_event) {
            return Ending::BrokenOff(Cause::InsideEvent);
        }
        match self.framing {
            Framing::Head | Framing::Length(_) | Framing::Chunks => Ending::Stated,
            Framing::Connection if self.scanner.is_some() && self.events == 0 => {
                Ending::BrokenOff(Cause::NoEvent)
            }
            Framing::Connection => Ending::Closed,
        }
    }

    /// Returns how the body ended if an error prevents the rest from arriving.
    pub fn break_off(&self, error: &impl fmt::Display) -> Ending {
        Ending::BrokenOff(Cause::Connection(error.to_string()))
    }
}

/// Whether header fields describe a stream of events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|text| {
        let essence = text.split(';').next().unwrap_or_default();
        essence.trim().eq_ignore_ascii_case("text/event-stream")
    })
}
