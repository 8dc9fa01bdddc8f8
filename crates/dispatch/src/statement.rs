//! What an endpoint states in all its answers for as long as it holds.
//!
//! Nodes pass it on in their statuses, and the newest statement counts.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// How much newer another node's report of an answer without a value must be to end a known one.
/// Reports are in transit for some milliseconds, which could make an older answer look newer.
const END_MIN_NEWER_BY: Span = Span::from_millis(100);

/// How much newer a report of the same value must be to replace the known one.
const REFRESH_MIN_NEWER_BY: Span = Span::from_secs(1);

/// How long the end of a statement is announced.
const ANNOUNCE_END_FOR: Span = Span::from_secs(5);

/// A statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report<T> {
    /// The value; `None` if the endpoint stated none.
    pub value: Option<T>,
    /// When the statement became known.
    pub at: Time,
}

/// A statement as one node announces it to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement<T> {
    /// The endpoint's number.
    pub endpoint: u32,
    /// The value; `None` if the endpoint stated one before and no longer does.
    pub value: Option<T>,
    /// Milliseconds since the answer that stated it.
    pub age_ms: u32,
}

impl<T> Announcement<T> {
    /// Converts this to a report, as seen by a node that receives it now.
    pub fn to_report(self, now: Time) -> Report<T> {
        Report {
            value: self.value,
            at: now - Span::from_millis(u64::from(self.age_ms)),
        }
    }
}

/// The most recent statement of an endpoint, if there is one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement<T> {
    report: Option<Report<T>>,
}

impl<T> Default for Statement<T> {
    fn default() -> Statement<T> {
        Statement { report: None }
    }
}

impl<T: Copy + PartialEq> Statement<T> {
    /// Returns the value in force, if any.
    pub fn value_opt(&self) -> Option<T> {
        self.report?.value
    }

    /// Records the statement in an answer that arrived now, to a request sent at `sent`. An answer
    /// without a value ends the known one only if the request was sent after the value became known,
    /// because heads of earlier requests may be older.
    ///
    /// Returns true if the value changed.
    pub fn record_answer(&mut self, now: Time, sent: Time, value: Option<T>) -> bool {
        let is_older = |report: Report<T>| report.value.is_some() && sent <= report.at;
        if value.is_none() && self.report.is_none_or(is_older) {
            return false;
        }
        self.replace(Report { value, at: now })
    }

    /// Records a report of another node. Returns true if the value changed.
    pub fn record_report(&mut self, report: Report<T>) -> bool {
        let Some(known) = self.report else {
            return report.value.is_some() && self.replace(report);
        };
        let newer_by = match report.value {
            value if value == known.value => REFRESH_MIN_NEWER_BY,
            Some(_) => Span::ZERO,
            None => END_MIN_NEWER_BY,
        };
        report.at > known.at + newer_by && self.replace(report)
    }

    fn replace(&mut self, report: Report<T>) -> bool {
        let before = self.value_opt();
        self.report = Some(report);
        before != report.value
    }

    /// Returns the announcement about the endpoint with this number, if there is one.
    pub fn to_announcement_opt(&self, now: Time, endpoint: u32) -> Option<Announcement<T>> {
        let report = self.report?;
        let age = now.since(report.at);
        let is_announced = report.value.is_some() || age < ANNOUNCE_END_FOR;
        is_announced.then_some(Announcement {
            endpoint,
            value: report.value,
            age_ms: u32::try_from(age.0 / 1_000).unwrap_or(u32::MAX),
        })
    }
}
