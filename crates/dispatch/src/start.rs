//! Whether an endpoint is still the start of which the platform's entry tells.
//!
//! An endpoint may end and start again under its name, with other software. A node that can't rule
//! that out doubts the start, until the platform would have listed another one.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// How long after an endpoint started again the platform lists that at the latest: a node finds out
/// that the platform is out of reach, or endpoints write their entries again once it is back.
pub const LISTED_WITHIN: Span = Span::from_secs(4);

/// The same if nothing shows that the endpoint ended: it is not assumed then that the platform went out
/// of reach at the same time. Endpoints write their entries within about two seconds of their start.
const WRITTEN_WITHIN: Span = Span::from_millis(2_200);

/// Returns when a doubt is settled that is due at `due`. `platform_lost_at` is when the platform was last
/// out of reach.
pub fn settled_at(due: Time, platform_lost_at: Time) -> Time {
    match platform_lost_at {
        Time(0) => due,
        lost_at => due.max(lost_at + LISTED_WITHIN),
    }
}

/// Why a start is in doubt. A later one outweighs an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No node that is heard watched the endpoint before this one started, or was suspended.
    Unwatched,
    /// This node's link to it is lost, or was until now.
    LinkLost,
    /// Several other nodes could not connect to it.
    Reported,
    /// The endpoint refused a connection while others were reached.
    Refused,
}

impl Cause {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Unwatched => "unwatched",
            Cause::LinkLost => "link-lost",
            Cause::Reported => "reported",
            Cause::Refused => "refused",
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
    /// The weightiest reason.
    cause: Cause,
    /// When there was last a reason for it.
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

    /// Whether anything shows that the endpoint ended.
    pub fn has_shown_end(&self) -> bool {
        self.doubt
            .is_some_and(|doubt| doubt.cause >= Cause::Reported)
    }

    /// Whether it is in doubt only since nobody watched the endpoint.
    pub fn is_unwatched(&self) -> bool {
        self.doubt
            .is_some_and(|doubt| doubt.cause == Cause::Unwatched)
    }

    /// When the doubt is settled if the platform lists no other start, if there is one.
    pub fn settled_at_opt(&self, platform_lost_at: Time) -> Option<Time> {
        let doubt = self.doubt?;
        let listed_within = match doubt.cause {
            Cause::Unwatched | Cause::LinkLost => WRITTEN_WITHIN,
            Cause::Reported | Cause::Refused => LISTED_WITHIN,
        };
        Some(settled_at(doubt.renewed + listed_within, platform_lost_at))
    }

    /// Doubts the start. Returns the change if it was not in doubt.
    pub fn doubt(&mut self, now: Time, cause: Cause) -> Option<Change> {
        let is_new = self.doubt.is_none();
        let doubt = self.doubt.get_or_insert(Doubt {
            since: now,
            cause,
            renewed: now,
        });
        doubt.cause = doubt.cause.max(cause);
        doubt.renewed = now;
        is_new.then_some(Change::Doubted(cause))
    }

    /// Confirms the start. Returns the change if it was in doubt.
    pub fn confirm(&mut self, now: Time) -> Option<Change> {
        let doubt = self.doubt.take()?;
        Some(Change::Confirmed(now.since(doubt.since)))
    }
}
