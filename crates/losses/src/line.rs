//! Parsing of gateway log lines, limited to the events and fields that show
//! losses.

use std::io;
use std::io::BufRead;

use serde::Deserialize;
use woadstage_gateway::explain;

/// A log line.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Wall-clock time of the host, in milliseconds.
    pub time_ms: u64,
    /// The logged event.
    #[serde(flatten)]
    pub event: Event,
}

/// The event of a log line. docs/EVENTS.md describes the fields.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A process started.
    Started {
        /// Name of the host.
        host: String,
    },
    /// A configuration took effect.
    Configuration {
        /// Version of the configuration.
        version: u64,
    },
    /// An endpoint list took effect.
    Endpoints {
        /// Revision of the list.
        revision: u64,
    },
    /// A dependency of the process became unreachable or reachable.
    Dependency {
        /// Name of the dependency.
        name: String,
        /// Whether it is reachable.
        reached: bool,
    },
    /// A request was admitted.
    Accepted {
        /// Request id.
        request: String,
        /// Name of the route.
        route: String,
        /// Latency objective for the first event or the answer, in milliseconds.
        objective_ms: u64,
        /// The longest permitted pause between events, in milliseconds; 0 for no
        /// limit.
        pause_limit_ms: u64,
        /// Whether the caller appears to retry after a refusal.
        returning: bool,
        /// Address of the node that forwarded it; empty if a caller sent it.
        #[serde(default)]
        forwarded_by: String,
    },
    /// A customer exceeded its quota.
    OverLimit {
        /// Request id.
        request: String,
        /// Name of the route; empty in logs of older releases.
        #[serde(default)]
        route: String,
    },
    /// A request was sent to an endpoint.
    Sent {
        /// Request id.
        request: String,
        /// Name of the endpoint.
        endpoint: String,
        /// Queueing time before it was sent, in milliseconds.
        waited_ms: u64,
        /// The estimated number of prompt tokens that the endpoint has to read.
        uncached: u64,
    },
    /// An attempt ended.
    Attempt {
        /// Request id.
        request: String,
        /// How the attempt ended.
        end: String,
        /// What the node does next.
        next: String,
    },
    /// A request received its final answer.
    Answered {
        /// Request id.
        request: String,
        /// HTTP status.
        status: u16,
        /// Result code of the node; empty if the endpoint answered.
        code: String,
        /// Time from arrival to the end of the answer, in milliseconds.
        after_ms: u64,
        /// Number of events in a stream; 0 for a plain answer.
        #[serde(default)]
        events: u32,
        /// Time from arrival to the first event, in milliseconds.
        #[serde(default)]
        first_ms: u64,
        /// The longest pause between two events, in milliseconds.
        #[serde(default)]
        pause_ms: u64,
        /// Whether an owner redirected the request to another.
        #[serde(default)]
        redirected: bool,
        /// Whether its caller had claimed a booking, as far as the node knew.
        #[serde(default)]
        booked: bool,
        /// When its caller is to return to the place that was booked for it, in milliseconds; 0 if
        /// none was, as far as the node knew.
        #[serde(default)]
        booking_ms: u64,
        /// Endpoints that were skipped because they had announced that they leave.
        #[serde(default)]
        passed_leaving: String,
        /// Endpoints that were skipped because they had asked for a rest.
        #[serde(default)]
        passed_resting: String,
        /// Numbers of endpoints that are not used because of failures, by the kind of
        /// failure.
        #[serde(default)]
        unusable: String,
        /// Address of the node that forwarded it; empty if a caller sent it.
        #[serde(default)]
        forwarded_by: String,
    },
    /// A caller disconnected.
    Left {
        /// Request id.
        request: String,
    },
    /// An answer was cut off before its end.
    Cut {
        /// Request id.
        request: String,
    },
    /// The node dropped log lines.
    LeftOut {
        /// Number of dropped lines.
        lines: u64,
    },
    /// Any other event.
    #[serde(other)]
    Other,
}

/// The parsed lines of one log file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct File {
    /// Parsed lines, in the order of the file.
    pub lines: Vec<Line>,
    /// Number of lines that look like an event but could not be parsed, because
    /// they are truncated or come from an unknown release.
    pub unreadable: u64,
}

/// Reads a log. Skips lines without a brace and any text before the first brace,
/// because log collectors insert text of their own there.
///
/// # Errors
/// Returns an error if the log cannot be read.
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
