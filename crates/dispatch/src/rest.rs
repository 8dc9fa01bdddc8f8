//! Endpoints that turned a request away and asked this node for rest: they want nothing
//! from it for so long.
//!
//! An endpoint asks each node for itself, so its word binds the node that it told. Other
//! nodes hear of it and turn to other endpoints first: one that rests for one node may
//! serve another.
//!
//! An endpoint that turns away at once runs nothing, so that it looks free. After its rest
//! it is therefore in doubt until it has taken a request: one at a time is sent there, and
//! another endpoint that has room goes before it.

use woadstage_types::unit;
use woadstage_types::unit::MICROS_PER_SECOND;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The longest rest that is kept; who asks for more is asked again after it.
const LONGEST: Span = Span::from_secs(24 * 3_600);

/// By how much a rest must become longer for that to be told.
const TOLD_FROM: Span = Span::from_millis(500);

/// How long after a second rest in a row the endpoint is tried again while others have
/// room; doubles with each further one.
const TRIED_AFTER: Span = Span::from_secs(1);

/// How long an endpoint stays in doubt that nobody tries; doubles with each rest in a row.
const DOUBTED_FOR: Span = Span::from_secs(4);

/// How often both double at the most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The part of a rest over which nodes that rest until the same moment come back, and the
/// longest time that this takes.
const SPREAD_PART: u64 = 8;
const SPREAD_MOST: Span = Span::from_millis(250);

/// Reads a rest: seconds, with a fraction or without.
///
/// # Errors
/// Where the text is no number from 0 on, such as a date.
pub fn parse(text: &str) -> Result<Span, unit::Error> {
    let seconds = unit::parse_from_zero(text, "seconds such as \"2.5\"")?;
    let micros = seconds * MICROS_PER_SECOND as f64;
    // What is too large to be held is cut to the longest.
    Ok(Span(micros as u64).min(LONGEST))
}

/// What is known of one endpoint's rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    until: Time,
    /// True until its end was taken ([`State::take_end`]).
    is_end_due: bool,
    /// Rests that it asked for since it last took a request.
    rests: u32,
    /// When the request was sent of which nothing is known yet, after the rest.
    trial: Option<Time>,
    /// Until when it wants nothing from another node, as far as heard.
    others_until: Time,
}

impl State {
    /// Notes that the endpoint asked for rest. What was promised before is not cut.
    /// `drawn` spreads the nodes that come back.
    ///
    /// True where the rest is new, or ends noticeably later than before.
    pub fn ask(&mut self, now: Time, rest: Span, drawn: u64) -> bool {
        let spread = (rest.0 / SPREAD_PART).min(SPREAD_MOST.0);
        let until = now + rest + Span(drawn.checked_rem(spread).unwrap_or(0));
        let new = !self.is_resting(now);
        let changed = new || until.since(self.until) >= TOLD_FROM;
        self.until = self.until.max(until);
        self.rests += u32::from(new);
        self.trial = None;
        self.is_end_due = true;
        changed
    }

    /// True while the endpoint wants nothing.
    pub fn is_resting(&self, now: Time) -> bool {
        now < self.until
    }

    /// How much longer it wants nothing; zero where it does not rest.
    pub fn left(&self, now: Time) -> Span {
        self.until.since(now)
    }

    /// Takes until when the endpoint rests for another node.
    pub fn hear(&mut self, until: Time) {
        self.others_until = self.others_until.max(until);
    }

    /// True while it is not known whether the endpoint takes requests again.
    pub fn is_in_doubt(&self, now: Time) -> bool {
        self.rests > 0 && now < self.until + doubled(DOUBTED_FOR, self.rests)
    }

    /// The same by what was heard from others.
    pub fn is_in_doubt_elsewhere(&self, now: Time) -> bool {
        now < self.others_until + DOUBTED_FOR
    }

    /// True while a request is on its way that will show whether it takes requests.
    pub fn is_on_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// True where it is time to try the endpoint though others have room.
    pub fn is_trial_due(&self, now: Time) -> bool {
        let after = match self.rests {
            0 | 1 => Span::ZERO,
            rests => doubled(TRIED_AFTER, rests - 2),
        };
        self.trial.is_none() && now >= self.others_until && now >= self.until + after
    }

    /// Notes that a request was sent there while it is in doubt.
    pub fn start(&mut self, now: Time) {
        self.trial = Some(now);
    }

    /// Notes that the endpoint took a request that was sent at `sent`.
    pub fn serve(&mut self, sent: Time) {
        if sent >= self.until {
            self.rests = 0;
            self.trial = None;
            self.others_until = Time(0);
        }
    }

    /// Notes that a request sent at `sent` ended and showed nothing.
    pub fn end_trial(&mut self, sent: Time) {
        if self.trial == Some(sent) {
            self.trial = None;
        }
    }

    /// True where the rest is over, once for each rest.
    pub fn take_end(&mut self, now: Time) -> bool {
        let ends = self.is_end_due && !self.is_resting(now);
        self.is_end_due &= !ends;
        ends
    }
}

fn doubled(span: Span, times: u32) -> Span {
    Span(span.0 << times.min(MAX_BACKOFF_DOUBLINGS))
}
