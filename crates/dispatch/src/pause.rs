//! Pauses of this node: times in which its process did not run, since it was stopped, its host was
//! suspended or its processor was taken away.
//!
//! What others changed meanwhile waits unread in this node's sockets, or was never sent to it, and
//! the requests that arrived meanwhile are read no later. So after a pause the [`Gate`] is
//! closed: no request is admitted or started, and no slot is granted, until the node has confirmed
//! what it knows, or for so long that it can't.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The shortest pause after which the gate closes. A node observes itself many times within that,
/// also while it is late with its work.
pub const MIN_PAUSE: Span = Span::from_millis(500);

/// The longest time for which the gate stays closed.
const MAX_CLOSED: Span = Span::from_secs(1);

/// The same if the platform was out of reach before the pause already, so that only other nodes
/// can tell what changed.
const MAX_CLOSED_WITHOUT_PLATFORM: Span = Span::from_millis(250);

/// Identifies a call to the platform by which a node confirms what it knows, after a pause or since it
/// doesn't hear all others. Later calls have higher numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(pub u64);

/// How the gate opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opened {
    /// The node's knowledge was confirmed.
    Confirmed,
    /// It could not be confirmed in time.
    Unconfirmed,
}

impl Opened {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Opened::Confirmed => "confirmed",
            Opened::Unconfirmed => "unconfirmed",
        }
    }
}

/// A change of the gate, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It closed after a pause of this length.
    Closed(Span),
    /// It opened again, this long after it had closed.
    Opened(Opened, Span),
}

#[derive(Debug, Clone, Copy)]
struct Closed {
    since: Time,
    until: Time,
    generation: Generation,
}

/// Closed from the end of a pause until the node has confirmed what it knows.
#[derive(Debug, Default)]
pub struct Gate {
    /// When the node last observed that it runs.
    observed_at: Option<Time>,
    generation: Generation,
    closed: Option<Closed>,
}

impl Gate {
    /// Observes that the node runs. Returns the length of the pause that has just ended, if one has;
    /// the gate is closed then.
    pub fn observe(&mut self, now: Time, is_platform_reachable: bool) -> Option<Span> {
        let before = self.observed_at.replace(now)?;
        let gap = now.since(before);
        if gap < MIN_PAUSE {
            return None;
        }
        let max_closed = match is_platform_reachable {
            true => MAX_CLOSED,
            false => MAX_CLOSED_WITHOUT_PLATFORM,
        };
        self.closed = Some(Closed {
            since: now,
            until: now + max_closed,
            generation: self.next_generation(),
        });
        Some(gap)
    }

    /// Whether the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    /// Identifies the call that opens the gate, if it is closed.
    pub fn generation_opt(&self) -> Option<Generation> {
        self.closed.map(|closed| closed.generation)
    }

    /// Identifies the next call.
    pub fn next_generation(&mut self) -> Generation {
        self.generation.0 += 1;
        self.generation
    }

    /// Opens the gate if what the node knows was confirmed after the last pause. Returns for how long it
    /// was closed.
    pub fn confirm(&mut self, now: Time, generation: Generation) -> Option<Span> {
        let closed = self
            .closed
            .take_if(|closed| generation >= closed.generation)?;
        Some(now.since(closed.since))
    }

    /// Opens the gate if it was closed for too long. Returns for how long it was.
    pub fn expire(&mut self, now: Time) -> Option<Span> {
        let closed = self.closed.take_if(|closed| now >= closed.until)?;
        Some(now.since(closed.since))
    }
}
