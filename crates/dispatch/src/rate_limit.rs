//! Endpoints with a rate limit: the number of requests a second that they accept from all
//! nodes together, for as long as their answers state it.
//!
//! One node enforces the limit of an endpoint: the owner of its slots, which alone sends
//! requests there or grants slots to others. It spaces requests evenly, at least the
//! limit's interval apart, and accumulates no credit while idle: with a saved start at
//! each of many nodes, or at each of several successive owners, a low limit would be
//! exceeded at once. Stated limits reach all nodes in statuses, and the newest one
//! counts, so that an owner which received no such answer, or follows another owner,
//! enforces the limit too.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit;
use woadstage_types::unit::MICROS_PER_SECOND;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::statement;
use crate::statement::Statement;

/// The resolution of a limit: steps in one request a second.
const STEPS_PER_REQUEST: f64 = 1_000.0;

/// The maximum interval between two requests to an endpoint, however low its limit. Only
/// answers show that a limit has ended, so an endpoint that receives no requests would
/// stay limited for good.
const MAX_INTERVAL: Span = Span::from_secs(10);

/// The maximum time by which the next request may follow sooner after a delayed one.
/// Queues are examined only a few dozen times a second.
const MAX_CATCH_UP: Span = Span::from_millis(40);

/// A rate limit in thousandths of a request a second. Text form: `2.75`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Limit(u32);

impl Limit {
    /// Returns the limit in requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / STEPS_PER_REQUEST
    }

    /// Returns the interval between two requests.
    pub fn to_interval(self) -> Span {
        let micros = MICROS_PER_SECOND as f64 / self.per_second();
        Span(micros as u64).min(MAX_INTERVAL)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for Limit {
    type Err = unit::Error;

    fn from_str(text: &str) -> Result<Limit, unit::Error> {
        let expected = "requests a second such as \"2.75\"";
        let per_second = unit::parse_non_negative(text, expected)?;
        // A value that cannot be represented saturates, which limits nothing.
        Ok(Limit((per_second * STEPS_PER_REQUEST) as u32))
    }
}

/// The most recent statement of an endpoint about its limit.
pub type Report = statement::Report<Limit>;

/// An endpoint's limit as one node announces it to others.
pub type Announcement = statement::Announcement<Limit>;

/// The limit of one endpoint, and when the next request may be sent to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    statement: Statement<Limit>,
    /// The start of the interval before the next request.
    interval_start: Time,
}

impl State {
    /// Returns the limit in force, if any.
    pub fn limit_opt(&self) -> Option<Limit> {
        self.statement.value_opt()
    }

    /// Records the statement in an answer that arrived now, to a request sent at `sent`.
    ///
    /// Returns true if the limit changed.
    pub fn record_answer(&mut self, now: Time, sent: Time, limit: Option<Limit>) -> bool {
        self.update(now, |statement| statement.record_answer(now, sent, limit))
    }

    /// Records a report of another node. Returns true if the limit changed.
    pub fn record_report(&mut self, now: Time, report: Report) -> bool {
        self.update(now, |statement| statement.record_report(report))
    }

    fn update(&mut self, now: Time, change: impl FnOnce(&mut Statement<Limit>) -> bool) -> bool {
        let before = self.limit_opt();
        let is_changed = change(&mut self.statement);
        if before.is_none() && is_changed {
            // The endpoint has just answered, so a request was sent there recently.
            self.interval_start = now;
        }
        is_changed
    }

    /// Returns the announcement about the endpoint with this number, if there is one.
    pub fn to_announcement_opt(&self, now: Time, endpoint: u32) -> Option<Announcement> {
        self.statement.to_announcement_opt(now, endpoint)
    }

    /// Whether a request may follow the previous one, at an interval of `spacing`.
    pub fn may_start(&self, now: Time, spacing: Span) -> bool {
        now >= self.interval_start + spacing
    }

    /// Records that a request is sent, at an interval of `spacing`.
    pub fn record_start(&mut self, now: Time, spacing: Span) {
        let due = self.interval_start + spacing;
        self.interval_start = due.clamp(now - MAX_CATCH_UP, now);
    }

    /// Records that another node enforces the limit. If this node takes over, its first
    /// request keeps the full interval to the other node's last one.
    pub fn restart_interval(&mut self, now: Time) {
        self.interval_start = now;
    }
}
