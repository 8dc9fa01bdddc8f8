//! Endpoints that turned a request away and asked this node for rest: they want nothing
//! from it for so long.
//!
//! An endpoint asks each node for itself, so its word binds the node that it told.

use woadstage_types::unit;
use woadstage_types::unit::MICROS_PER_SECOND;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The longest rest that is kept; who asks for more is asked again after it.
const LONGEST: Span = Span::from_secs(24 * 3_600);

/// By how much a rest must become longer for that to be told.
const TOLD_FROM: Span = Span::from_millis(500);

/// Reads a rest: seconds, with a fraction or without.
///
/// # Errors
/// Where the text is no number from 0 on, such as a date.
pub fn parse(text: &str) -> Result<Span, unit::Error> {
    let number: Option<f64> = text.trim().parse().ok();
    let usable = number.filter(|number| number.is_finite() && *number >= 0.0);
    let seconds = usable.ok_or_else(|| unit::Error {
        text: text.into(),
        expected: "seconds such as \"2.5\"",
    })?;
    let micros = seconds * MICROS_PER_SECOND as f64;
    // What is too large to be held is cut to the longest.
    Ok(Span(micros as u64).min(LONGEST))
}

/// What is known of one endpoint's rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    until: Time,
    /// True until it was told that the rest is over.
    told: bool,
}

impl State {
    /// Notes that the endpoint asked for rest. What was promised before is not cut.
    ///
    /// True where the rest is new, or ends noticeably later than before.
    pub fn ask(&mut self, now: Time, rest: Span) -> bool {
        let until = now + rest;
        let changed = !self.is_resting(now) || until.since(self.until) >= TOLD_FROM;
        self.until = self.until.max(until);
        self.told = true;
        changed
    }

    /// True while the endpoint wants nothing.
    pub fn is_resting(&self, now: Time) -> bool {
        now < self.until
    }

    /// True where the rest is over, once for each rest.
    pub fn take_end(&mut self, now: Time) -> bool {
        let ends = self.told && !self.is_resting(now);
        self.told &= !ends;
        ends
    }
}
