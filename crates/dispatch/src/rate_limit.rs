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

/// The resolution of a limit: steps in one request a second.
const STEPS_PER_REQUEST: f64 = 1_000.0;

/// The maximum interval between two requests to an endpoint, however low its limit. Only
/// answers show that a limit has ended, so an endpoint that receives no requests would
/// stay limited for good.
const MAX_INTERVAL: Span = Span::from_secs(10);

/// The maximum time by which the next request may follow sooner after a delayed one.
/// Queues are examined only a few dozen times a second.
const MAX_CATCH_UP: Span = Span::from_millis(40);

/// How much newer another node's report of an answer without a limit must be to end a
/// known limit. Reports are in transit for some milliseconds, which could make an older
/// answer look newer.
const END_MIN_NEWER_BY: Span = Span::from_millis(100);

/// How much newer a report of the same limit must be to replace the known one.
const REFRESH_MIN_NEWER_BY: Span = Span::from_secs(1);

/// How long the end of a limit is announced.
const ANNOUNCE_END_FOR: Span = Span::from_secs(5);

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The limit; `None` if it stated none.
    pub limit: Option<Limit>,
    /// When the statement became known.
    pub at: Time,
}

/// An endpoint's limit as one node announces it to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's number.
    pub endpoint: u32,
    /// The limit; `None` if the endpoint stated one before and no longer does.
    pub limit: Option<Limit>,
    /// Milliseconds since the answer that stated it.
    pub age_ms: u32,
}

impl Announcement {
    /// Converts this to a report, as seen by a node that receives it now.
    pub fn to_report(self, now: Time) -> Report {
        Report {
            limit: self.limit,
            at: now - Span::from_millis(u64::from(self.age_ms)),
        }
    }
}

/// The limit of one endpoint, and when the next request may be sent to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    report: Option<Report>,
    /// The start of the interval before the next request.
    interval_start: Time,
}

impl State {
    /// Returns the limit in force, if any.
    pub fn limit_opt(&self) -> Option<Limit> {
        self.report?.limit
    }

    /// Records the statement in an answer that arrived now, to a request sent at `sent`. An
    /// answer without a limit ends the known limit only if the request was sent after the
    /// limit became known, because heads of earlier requests may be older.
    ///
    /// Returns true if the limit changed.
    pub fn record_answer(&mut self, now: Time, sent: Time, limit: Option<Limit>) -> bool {
        let is_older = |report: Report| report.limit.is_some() && sent <= report.at;
        if limit.is_none() && self.report.is_none_or(is_older) {
            return false;
        }
        self.replace(now, Report { limit, at: now })
    }

    /// Records a report of another node. Returns true if the limit changed.
    pub fn record_report(&mut self, now: Time, report: Report) -> bool {
        let Some(known) = self.report else {
            return report.limit.is_some() && self.replace(now, report);
        };
        let newer_by = match report.limit {
            limit if limit == known.limit => REFRESH_MIN_NEWER_BY,
            Some(_) => Span::ZERO,
            None => END_MIN_NEWER_BY,
        };
        report.at > known.at + newer_by && self.replace(now, report)
    }

    fn replace(&mut self, now: Time, report: Report) -> bool {
        let before = self.limit_opt();
        if before.is_none() {
            // The endpoint has just answered, so a request was sent there recently.
            self.interval_start = now;
        }
        self.report = Some(report);
        before != report.limit
    }

    /// Returns the announcement about the endpoint with this number, if there is one.
    pub fn to_announcement_opt(&self, now: Time, endpoint: u32) -> Option<Announcement> {
        let report = self.report?;
        let age = now.since(report.at);
        let is_announced = report.limit.is_some() || age < ANNOUNCE_END_FOR;
        is_announced.then_some(Announcement {
            endpoint,
            limit: report.limit,
            age_ms: u32::try_from(age.0 / 1_000).unwrap_or(u32::MAX),
        })
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
