//! Whether an endpoint is still the start of which the platform's entry tells.
//!
//! An endpoint may end and start again under its name, with other software. A node that can't rule
//! that out doubts the start, until the platform would have listed another one.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// Why a start is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The endpoint refused a connection while others were reached.
    Refused,
    /// Several other nodes could not connect to it.
    Reported,
}

impl Cause {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Refused => "refused",
            Cause::Reported => "reported",
        }
    }
}

/// A change of what is known of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is in doubt from now on.
    Doubted(Cause),
    /// It was in doubt for this long, and is confirmed.
    Confirmed(Span),
}

#[derive(Debug, Clone, Copy)]
struct Doubt {
    since: Time,
    /// When it was last in doubt for a new reason, or still for the same one.
    renewed: Time,
}

/// What is known of the start of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct State {
    doubt: Option<Doubt>,
}

impl State {
    /// Whether another start may answer at the endpoint's address.
    pub fn is_doubted(&self) -> bool {
        self.doubt.is_some()
    }

    /// When it was last in doubt for a new reason, or still for the same one, unless it is confirmed.
    pub fn doubted_at_opt(&self) -> Option<Time> {
        self.doubt.map(|doubt| doubt.renewed)
    }

    /// Doubts the start. Returns the change if it was not in doubt.
    pub fn doubt(&mut self, now: Time, cause: Cause) -> Option<Change> {
        let is_new = self.doubt.is_none();
        let doubt = self.doubt.get_or_insert(Doubt {
            since: now,
            renewed: now,
        });
        doubt.renewed = now;
        is_new.then_some(Change::Doubted(cause))
    }

    /// Confirms the start. Returns the change if it was in doubt.
    pub fn confirm(&mut self, now: Time) -> Option<Change> {
        let doubt = self.doubt.take()?;
        Some(Change::Confirmed(now.since(doubt.since)))
    }
}
