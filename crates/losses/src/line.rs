//! One line of a gateway's log, as far as losses are told from it.

use std::io;
use std::io::BufRead;

use serde::Deserialize;
use woadstage_gateway::explain;

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// The host's time of day, in milliseconds.
    pub time_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What a line speaks of. docs/EVENTS.md describes the fields.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A process began.
    Started {
        /// Its host.
        host: String,
    },
    /// A configuration came into force.
    Configuration {
        /// Its version.
        version: u64,
    },
    /// A list of endpoints came into force.
    Endpoints {
        /// Its revision.
        revision: u64,
    },
    /// Something that the process depends on was lost or regained.
    Dependency {
        /// What it is.
        name: String,
        /// True where it is there.
        reached: bool,
    },
    /// A request was let in.
    Accepted {
        /// Its id.
        request: String,
        /// Its route.
        route: String,
        /// Its objective, in milliseconds.
        objective_ms: u64,
        /// The longest pause between events that is in time; 0 for no bound.
        pause_limit_ms: u64,
        /// True where its caller seems to have been refused before.
        returning: bool,
    },
    /// A customer was over its limit.
    OverLimit {
        /// The request's id.
        request: String,
        /// Its route; older logs do not have it.
        #[serde(default)]
        route: String,
    },
    /// A request went to an endpoint.
    Sent {
        /// Its id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// How long it had waited, in milliseconds.
        waited_ms: u64,
        /// Prompt tokens of its own that the endpoint has to read.
        uncached: u64,
    },
    /// An attempt ended.
    Attempt {
        /// The request's id.
        request: String,
        /// How it ended.
        end: String,
        /// What follows.
        next: String,
    },
    /// A request got its final answer.
    Answered {
        /// Its id.
        request: String,
        /// The status.
        status: u16,
        /// The node's own result code; empty for an endpoint's answer.
        code: String,
        /// From its arrival to the end, in milliseconds.
        after_ms: u64,
        /// Events of a stream.
        #[serde(default)]
        events: u32,
        /// From its arrival to the first event, in milliseconds.
        #[serde(default)]
        first_ms: u64,
        /// The longest pause between two events, in milliseconds.
        #[serde(default)]
        pause_ms: u64,
        /// Endpoints that were passed over as they said that they leave.
        #[serde(default)]
        passed_leaving: String,
        /// Endpoints that were passed over as they had asked for rest.
        #[serde(default)]
        passed_resting: String,
    },
    /// A caller left.
    Left {
        /// The request's id.
        request: String,
    },
    /// An answer broke off.
    Cut {
        /// The request's id.
        request: String,
    },
    /// Lines were left out.
    LeftOut {
        /// How many.
        lines: u64,
    },
    /// A line that says nothing of losses.
    #[serde(other)]
    Other,
}

/// The lines of one file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct File {
    /// What could be read, in its order.
    pub lines: Vec<Line>,
    /// Lines that look like an event and could not be read: cut off, or of a
    /// release that this one does not know.
    pub unreadable: u64,
}

/// Reads a log. Lines without a brace are passed over, and so is what stands
/// before the first one, as log collectors put their own words there.
///
/// # Errors
/// Where the log cannot be read.
pub fn read(log: impl BufRead) -> io::Result<File> {
    let mut file = File::default();
    for text in log.lines() {
        let text = text?;
        if !text.contains('{') {
            continue;
        }
        let line = explain::parse(&text).and_then(|value| serde_json::from_value(value).ok());
        match line {
            Some(line) => file.lines.push(line),
            None => file.unreadable += 1,
        }
    }
    Ok(file)
}
