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
const MAX_REST: Span = Span::from_secs(24 * 3_600);

/// By how much a rest must become longer for that to be told.
const MIN_REPORTED_EXTENSION: Span = Span::from_millis(500);

/// How long after a second rest in a row the endpoint is tried again while others have
/// room; doubles with each further one.
const FIRST_PROBE_DELAY: Span = Span::from_secs(1);

/// How long an endpoint stays in doubt that nobody tries; doubles with each rest in a row.
const UNCONFIRMED_FOR: Span = Span::from_secs(4);

/// How often both double at the most.
const MAX_DOUBLINGS: u32 = 4;

/// The part of a rest over which nodes that rest until the same moment come back, and the
/// longest time that this takes.
const JITTER_DIVISOR: u64 = 8;
const MAX_JITTER: Span = Span::from_millis(250);

/// Reads a rest: seconds, with a fraction or without.
///
/// # Errors
/// Where the text is no number from 0 on, such as a date.
pub fn parse(text: &str) -> Result<Span, unit::Error> {
    let seconds = unit::parse_from_zero(text, "seconds such as \"2.5\"")?;
    let micros = seconds * MICROS_PER_SECOND as f64;
    // What is too large to be held is cut to the longest.
    Ok(Span(micros as u64).min(MAX_REST))
}

/// What is known of one endpoint's rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    until: Time,
    /// True until its end was taken ([`State::take_end`]).
    is_end_pending: bool,
    /// Rests that it asked for since it last took a request.
    consecutive_rests: u32,
    /// When the request was sent of which nothing is known yet, after the rest.
    probe: Option<Time>,
    /// Until when it wants nothing from another node, as far as heard.
    remote_until: Time,
}

impl State {
    /// Notes that the endpoint asked for rest. What was promised before is not cut.
    /// `drawn` spreads the nodes that come back.
    ///
    /// True where the rest is new, or ends noticeably later than before.
    pub fn extend(&mut self, now: Time, rest: Span, drawn: u64) -> bool {
        let spread = (rest.0 / JITTER_DIVISOR).min(MAX_JITTER.0);
        let until = now + rest + Span(drawn.checked_rem(spread).unwrap_or(0));
        let new = !self.is_resting(now);
        let changed = new || until.since(self.until) >= MIN_REPORTED_EXTENSION;
        self.until = self.until.max(until);
        self.consecutive_rests += u32::from(new);
        self.probe = None;
        self.is_end_pending = true;
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
    pub fn extend_remote(&mut self, until: Time) {
        self.remote_until = self.remote_until.max(until);
    }

    /// True while it is not known whether the endpoint takes requests again.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.consecutive_rests > 0
            && now < self.until + doubled(UNCONFIRMED_FOR, self.consecutive_rests)
    }

    /// The same by what was heard from others.
    pub fn is_unconfirmed_elsewhere(&self, now: Time) -> bool {
        now < self.remote_until + UNCONFIRMED_FOR
    }

    /// True while a request is on its way that will show whether it takes requests.
    pub fn is_probing(&self) -> bool {
        self.probe.is_some()
    }

    /// True where it is time to try the endpoint though others have room.
    pub fn is_probe_due(&self, now: Time) -> bool {
        let after = match self.consecutive_rests {
            0 | 1 => Span::ZERO,
            consecutive_rests => doubled(FIRST_PROBE_DELAY, consecutive_rests - 2),
        };
        self.probe.is_none() && now >= self.remote_until && now >= self.until + after
    }

    /// Notes that a request was sent there while it is in doubt.
    pub fn start_probe(&mut self, now: Time) {
        self.probe = Some(now);
    }

    /// Notes that the endpoint took a request that was sent at `sent`.
    pub fn note_served(&mut self, sent: Time) {
        if sent >= self.until {
            self.consecutive_rests = 0;
            self.probe = None;
            self.remote_until = Time(0);
        }
    }

    /// Notes that a request sent at `sent` ended and showed nothing.
    pub fn end_probe(&mut self, sent: Time) {
        if self.probe == Some(sent) {
            self.probe = None;
        }
    }

    /// True where the rest is over, once for each rest.
    pub fn take_end(&mut self, now: Time) -> bool {
        let ends = self.is_end_pending && !self.is_resting(now);
        self.is_end_pending &= !ends;
        ends
    }
}

fn doubled(span: Span, times: u32) -> Span {
    Span(span.0 << times.min(MAX_DOUBLINGS))
}
