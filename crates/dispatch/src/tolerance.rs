//! Endpoints that fail if they have to reject too many requests within a second: how many each
//! tolerates, for as long as its answers state it.
//!
//! Such an endpoint is sent fewer requests than its slots hold. Its rejections are counted over the
//! whole fleet: each node announces its own, and once half of what the endpoint tolerates is known,
//! no node sends it more. The other half is left for requests that are on their way meanwhile.

use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::statement;
use crate::statement::Statement;

/// The time over which rejections count. Longer than a second by what messages need.
const COUNTED_FOR: Span = Span::from_millis(1_250);

/// The part of the tolerated rejections after which the endpoint gets no more requests.
const STOP_DIVISOR: u32 = 2;

/// One in this many slots is kept free, and at least one of several.
const RESERVE_DIVISOR: u32 = 8;

/// How long an endpoint's window is kept without an accepted request.
const WINDOW_KEPT_FOR: Span = Span::from_secs(1);

/// How long the tolerance of other endpoints is assumed for one that did not answer yet.
const ASSUMED_FOR: Span = Span::from_secs(10);

/// How long a node sends the endpoint nothing after a rejection.
pub const BACKOFF: Span = Span::from_millis(250);

/// The number of rejections within a second that an endpoint tolerates. Text form: `12`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tolerance(u32);

impl Tolerance {
    /// The number of rejections from which on the endpoint gets no more requests.
    fn to_stop(self) -> u32 {
        (self.0 / STOP_DIVISOR).max(1)
    }
}

impl fmt::Display for Tolerance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tolerance {
    type Err = unit::Error;

    fn from_str(text: &str) -> Result<Tolerance, unit::Error> {
        let count = text.trim().parse().map_err(|_| unit::Error {
            text: text.to_owned(),
            expected: "a whole number of rejections such as \"12\"",
        })?;
        Ok(Tolerance(count))
    }
}

/// What one node announces to others of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// What the endpoint stated.
    pub statement: statement::Announcement<Tolerance>,
    /// How many of the node's requests it rejected recently.
    pub rejections: u16,
}

/// The rejections that one node announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Announced {
    node: SocketAddrV4,
    rejections: u32,
    at: Time,
}

/// What an endpoint tolerates, and what it had to reject recently.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    statement: Statement<Tolerance>,
    /// What is assumed until the endpoint answers for the first time, and since when.
    assumed: Option<(Tolerance, Time)>,
    /// When it rejected requests of this node's callers, the oldest first.
    rejected_at: Vec<Time>,
    /// The newest announcement of each node.
    announced: Vec<Announced>,
    /// The number of requests that may be in progress, as far as the endpoint accepted that many.
    window: u32,
    /// When it last accepted or rejected a request.
    answered_at: Time,
}

impl State {
    /// Returns what the endpoint tolerates, if it stated that or is assumed to.
    pub fn tolerance_opt(&self) -> Option<Tolerance> {
        let assumed = self.assumed.map(|(tolerance, _)| tolerance);
        self.statement.value_opt().or(assumed)
    }

    /// Assumes what the other endpoints of a service state, until this one answers.
    pub fn assume(&mut self, now: Time, tolerance: Tolerance) {
        self.assumed = Some((tolerance, now));
    }

    /// Drops an assumption that no answer replaced. A node that sends the endpoint nothing gets
    /// none.
    pub fn expire_assumption(&mut self, now: Time) {
        self.assumed = self
            .assumed
            .filter(|(_, since)| now.since(*since) < ASSUMED_FOR);
    }

    /// Records the statement in an answer that arrived now, to a request sent at `sent`.
    ///
    /// Returns true if the tolerance changed.
    pub fn record_answer(&mut self, now: Time, sent: Time, tolerance: Option<Tolerance>) -> bool {
        let assumed = self.assumed.take();
        self.statement.record_answer(now, sent, tolerance) || assumed.is_some()
    }

    /// Records that the endpoint accepted a request, while it has so many in progress.
    pub fn record_accepted(&mut self, now: Time, busy: u32) {
        let window = self.window(now);
        self.window = window + u32::from(busy >= window);
        self.answered_at = now;
    }

    /// Records that the endpoint had no room for one more request than it has in progress.
    pub fn record_full(&mut self, now: Time, busy: u32) {
        self.window = busy;
        self.answered_at = now;
    }

    /// Records that the endpoint rejected a request of this node's callers for want of room.
    pub fn record_rejection(&mut self, now: Time) {
        self.rejected_at.retain(|at| now.since(*at) < COUNTED_FOR);
        self.rejected_at.push(now);
    }

    /// Records what another node announced. Returns true if the tolerance changed.
    pub fn record_announcement(
        &mut self,
        now: Time,
        node: SocketAddrV4,
        announcement: Announcement,
    ) -> bool {
        self.announced
            .retain(|known| known.node != node && now.since(known.at) < COUNTED_FOR);
        if announcement.rejections > 0 {
            self.announced.push(Announced {
                node,
                rejections: u32::from(announcement.rejections),
                at: now,
            });
        }
        self.assumed = None;
        self.statement
            .record_report(announcement.statement.to_report(now))
    }

    /// The rejections of this node's requests that still count.
    fn own_rejections(&self, now: Time) -> u32 {
        let recent = self.rejected_at.iter();
        recent.filter(|at| now.since(**at) < COUNTED_FOR).count() as u32
    }

    /// Whether the endpoint tolerates further requests, as far as its rejections are known.
    pub fn accepts_work(&self, now: Time) -> bool {
        let Some(tolerance) = self.tolerance_opt() else {
            return true;
        };
        let announced = self.announced.iter();
        let announced = announced.filter(|known| now.since(known.at) < COUNTED_FOR);
        let announced: u32 = announced.map(|known| known.rejections).sum();
        self.own_rejections(now) + announced < tolerance.to_stop()
    }

    /// Returns how many requests an endpoint with so many slots may have in progress. A node that
    /// begins to send requests there does not know what others left in progress, so it starts with a
    /// few and has one more for each that is accepted.
    pub fn capacity(&self, now: Time, slots: u32) -> u32 {
        self.usable_slots(slots).min(self.window(now))
    }

    fn window(&self, now: Time) -> u32 {
        let first = self.tolerance_opt().map_or(1, Tolerance::to_stop);
        match now.since(self.answered_at) < WINDOW_KEPT_FOR {
            true => self.window.max(1),
            false => first,
        }
    }

    /// Returns how many of an endpoint's slots are used.
    pub fn usable_slots(&self, slots: u32) -> u32 {
        match self.tolerance_opt() {
            Some(_) if slots > 1 => slots - slots.div_ceil(RESERVE_DIVISOR),
            _ => slots,
        }
    }

    /// Returns the announcement about the endpoint with this number, if there is one.
    pub fn to_announcement_opt(&self, now: Time, endpoint: u32) -> Option<Announcement> {
        let statement = self.statement.to_announcement_opt(now, endpoint)?;
        Some(Announcement {
            statement,
            rejections: u16::try_from(self.own_rejections(now)).unwrap_or(u16::MAX),
        })
    }
}
