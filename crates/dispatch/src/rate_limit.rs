//! Endpoints that name a rate limit: how many requests a second they take from all
//! nodes together, for as long as their answers say so.
//!
//! One node keeps the limit of an endpoint: the owner of its slots, which alone sends
//! requests there or gives others leave to. It spaces them evenly, the next no sooner than
//! the limit says, and saves nothing up while none come: with a saved start at each of many
//! nodes, or at each of several owners that follow each other, a low limit would be
//! exceeded at once. What an answer said goes to all nodes by their statuses, newest first,
//! so that an owner which got no such answer, or follows another, keeps the limit too.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit;
use woadstage_types::unit::MICROS_PER_SECOND;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// Steps of a limit in one request a second.
const STEPS_PER_REQUEST: f64 = 1_000.0;

/// The longest time between two requests to an endpoint, however low its limit. Only
/// answers say that a limit has ended, so an endpoint that is sent nothing would stay
/// limited for good.
const MAX_INTERVAL: Span = Span::from_secs(10);

/// How much sooner the next request may follow where one was later than its time: what
/// waits is looked at a few dozen times a second.
const MAX_CATCH_UP: Span = Span::from_millis(40);

/// How much later than a limit an answer without one must have come, by what other nodes
/// say, to end it: their reports are on their way for some milliseconds, which would make
/// an older answer look newer.
const END_MIN_NEWER_BY: Span = Span::from_millis(100);

/// How much newer a report of the limit that is known already must be to be taken.
const REFRESH_MIN_NEWER_BY: Span = Span::from_secs(1);

/// How long others are told that a limit has ended.
const ANNOUNCE_END_FOR: Span = Span::from_secs(5);

/// Requests a second that an endpoint takes, in thousandths. Text form: `2.75`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Limit(u32);

impl Limit {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / STEPS_PER_REQUEST
    }

    /// The time from one request to the next.
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
        let per_second = unit::parse_from_zero(text, expected)?;
        // What is too large to be held bounds nothing.
        Ok(Limit((per_second * STEPS_PER_REQUEST) as u32))
    }
}

/// What an endpoint last said of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The limit; none where it named none.
    pub limit: Option<Limit>,
    /// When that became known.
    pub at: Time,
}

/// What one node tells others of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's number.
    pub endpoint: u32,
    /// The limit; none where it named one and does so no more.
    pub limit: Option<Limit>,
    /// Milliseconds since the answer that said so.
    pub age_ms: u32,
}

impl Announcement {
    /// The same as a report of a node that heard it now.
    pub fn to_report(self, now: Time) -> Report {
        Report {
            limit: self.limit,
            at: now - Span::from_millis(u64::from(self.age_ms)),
        }
    }
}

/// What is known of one endpoint's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    report: Option<Report>,
    /// From when on the time until the next request counts.
    interval_start: Time,
}

impl State {
    /// The limit in force; none where there is none.
    pub fn limit_opt(&self) -> Option<Limit> {
        self.report?.limit
    }

    /// Takes what an answer said that came now, to a request sent at `sent`. An answer
    /// that names no limit ends one only where the request was sent since the limit
    /// became known: the heads of others may be older than it.
    ///
    /// True where the limit is another than before.
    pub fn note_answer(&mut self, now: Time, sent: Time, limit: Option<Limit>) -> bool {
        let is_older = |report: Report| report.limit.is_some() && sent <= report.at;
        if limit.is_none() && self.report.is_none_or(is_older) {
            return false;
        }
        self.replace(now, Report { limit, at: now })
    }

    /// Takes what another node reports. True where the limit is another than before.
    pub fn note_report(&mut self, now: Time, report: Report) -> bool {
        let Some(known) = self.report else {
            return report.limit.is_some() && self.replace(now, report);
        };
        let newer_by = match report.limit {
            same if same == known.limit => REFRESH_MIN_NEWER_BY,
            Some(_) => Span::ZERO,
            None => END_MIN_NEWER_BY,
        };
        report.at > known.at + newer_by && self.replace(now, report)
    }

    fn replace(&mut self, now: Time, report: Report) -> bool {
        let before = self.limit_opt();
        if before.is_none() {
            // A request was sent there a moment ago, since it answered.
            self.interval_start = now;
        }
        self.report = Some(report);
        before != report.limit
    }

    /// What others are told of the endpoint with this number, if anything.
    pub fn to_announcement_opt(&self, now: Time, endpoint: u32) -> Option<Announcement> {
        let report = self.report?;
        let age = now.since(report.at);
        let told = report.limit.is_some() || age < ANNOUNCE_END_FOR;
        told.then_some(Announcement {
            endpoint,
            limit: report.limit,
            age_ms: u32::try_from(age.0 / 1_000).unwrap_or(u32::MAX),
        })
    }

    /// True where a request may follow the one before, with `spacing` between two.
    pub fn may_start(&self, now: Time, spacing: Span) -> bool {
        now >= self.interval_start + spacing
    }

    /// Notes that a request is sent, with `spacing` between two.
    pub fn note_start(&mut self, now: Time, spacing: Span) {
        let due = self.interval_start + spacing;
        self.interval_start = due.clamp(now - MAX_CATCH_UP, now);
    }

    /// Notes that another node keeps the limit. Once this one does, its first request is
    /// as far from what the other sent as any two are.
    pub fn restart_interval(&mut self, now: Time) {
        self.interval_start = now;
    }
}
