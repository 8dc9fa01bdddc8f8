//! Endpoints that rejected a request and asked this node for a rest: a time without
//! requests.
//!
//! An endpoint asks each node separately, so its answer binds the node that received it.
//! Other nodes learn of it and prefer other endpoints, but may still use this one, since
//! it may serve one node while it rests for another.
//!
//! An endpoint that rejects requests immediately runs nothing and so looks idle. After
//! its rest it is therefore unconfirmed until it has accepted a request: one probe
//! request is sent at a time, and other endpoints with room are preferred.

use woadstage_types::unit;
use woadstage_types::unit::MICROS_PER_SECOND;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// The maximum rest. An endpoint that asks for a longer one is probed after this time.
const MAX_REST: Span = Span::from_secs(24 * 3_600);

/// The minimum extension of a rest that is reported.
const MIN_REPORTED_EXTENSION: Span = Span::from_millis(500);

/// How long after a second consecutive rest the endpoint is probed although others have
/// room. Doubles with each further rest.
const FIRST_PROBE_DELAY: Span = Span::from_secs(1);

/// How long an endpoint without probes stays unconfirmed. Doubles with each consecutive
/// rest.
const UNCONFIRMED_FOR: Span = Span::from_secs(4);

/// The maximum number of times that either delay doubles.
const MAX_DOUBLINGS: u32 = 4;

/// The divisor of a rest that gives the span over which nodes return to the endpoint, up to
/// `MAX_JITTER`. Without it, all nodes with the same rest would return at the same moment.
const JITTER_DIVISOR: u64 = 8;
const MAX_JITTER: Span = Span::from_millis(250);

/// Parses a rest in seconds, with or without a fraction.
///
/// # Errors
/// Fails if the text is not a non-negative number, such as a date.
pub fn parse(text: &str) -> Result<Span, unit::Error> {
    let seconds = unit::parse_non_negative(text, "seconds such as \"2.5\"")?;
    let micros = seconds * MICROS_PER_SECOND as f64;
    // Caps values that cannot be represented.
    Ok(Span(micros as u64).min(MAX_REST))
}

/// The rest of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    until: Time,
    /// Whether the end of the rest has yet to be reported by [`State::take_end`].
    is_end_pending: bool,
    /// The number of rests that began since the endpoint last accepted a request.
    consecutive_rests: u32,
    /// When the probe in flight was sent, if there is one.
    probe: Option<Time>,
    /// Until when the endpoint rests for another node, as far as announced.
    remote_until: Time,
}

impl State {
    /// Records that the endpoint asked for a rest. An earlier, longer rest is not
    /// shortened. `drawn` is a random number that spreads the nodes' return.
    ///
    /// Returns true if the rest is new, or ends noticeably later than before.
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

    /// Whether the endpoint rests for this node.
    pub fn is_resting(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the remaining rest; zero if the endpoint does not rest.
    pub fn left(&self, now: Time) -> Span {
        self.until.since(now)
    }

    /// Records until when the endpoint rests for another node.
    pub fn extend_remote(&mut self, until: Time) {
        self.remote_until = self.remote_until.max(until);
    }

    /// Whether it is unknown if the endpoint accepts requests again.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.consecutive_rests > 0
            && now < self.until + doubled(UNCONFIRMED_FOR, self.consecutive_rests)
    }

    /// Whether the endpoint is unconfirmed because of a rest that another node announced.
    pub fn is_unconfirmed_elsewhere(&self, now: Time) -> bool {
        now < self.remote_until + UNCONFIRMED_FOR
    }

    /// Whether a probe is in flight.
    pub fn is_probing(&self) -> bool {
        self.probe.is_some()
    }

    /// Whether the endpoint is to be probed although others have room.
    pub fn is_probe_due(&self, now: Time) -> bool {
        let delay = match self.consecutive_rests {
            0 | 1 => Span::ZERO,
            consecutive_rests => doubled(FIRST_PROBE_DELAY, consecutive_rests - 2),
        };
        self.probe.is_none() && now >= self.remote_until && now >= self.until + delay
    }

    /// Records that a request was sent while the endpoint is unconfirmed.
    pub fn start_probe(&mut self, now: Time) {
        self.probe = Some(now);
    }

    /// Records that the endpoint accepted a request that was sent at `sent`.
    pub fn record_served(&mut self, sent: Time) {
        if sent >= self.until {
            self.consecutive_rests = 0;
            self.probe = None;
            self.remote_until = Time(0);
        }
    }

    /// Records that a request sent at `sent` ended without showing whether the endpoint
    /// accepts requests.
    pub fn end_probe(&mut self, sent: Time) {
        if self.probe == Some(sent) {
            self.probe = None;
        }
    }

    /// Returns true once for each rest that has ended.
    pub fn take_end(&mut self, now: Time) -> bool {
        let ends = self.is_end_pending && !self.is_resting(now);
        self.is_end_pending &= !ends;
        ends
    }
}

fn doubled(span: Span, times: u32) -> Span {
    Span(span.0 << times.min(MAX_DOUBLINGS))
}
