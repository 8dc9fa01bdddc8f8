//! Endpoints that name a rate limit: how many requests a second they take from all
//! nodes together, for as long as their answers say so.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit;
use woadstage_types::unit::Time;

/// Steps of a limit in one request a second.
const STEPS: f64 = 1_000.0;

/// Requests a second that an endpoint takes, in thousandths. Text form: `2.75`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Limit(u32);

impl Limit {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / STEPS
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
        let number: Option<f64> = text.trim().parse().ok();
        let usable = number.filter(|number| number.is_finite() && *number >= 0.0);
        let per_second = usable.ok_or_else(|| unit::Error {
            text: text.into(),
            expected: "requests a second such as \"2.75\"",
        })?;
        // What is too large to be held bounds nothing.
        Ok(Limit((per_second * STEPS) as u32))
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

/// What is known of one endpoint's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    report: Option<Report>,
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
        let before = self.limit_opt();
        let is_older = |report: Report| report.limit.is_some() && sent <= report.at;
        if limit.is_none() && self.report.is_none_or(is_older) {
            return false;
        }
        self.report = Some(Report { limit, at: now });
        before != limit
    }
}
