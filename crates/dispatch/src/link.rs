//! The state of this node's own link to an endpoint. A node that can't reach an endpoint learns
//! from it only that the path between the two is broken, and not that the endpoint has failed:
//! other nodes may still reach it.
//!
//! A link is up, in doubt, or lost. Evidence from calls puts it in doubt, and a probe decides. A
//! lost link is used again once a probe succeeds.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

/// Timeouts and intervals of link tracking.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The silence of an endpoint with calls in progress after which its link is in doubt, at
    /// least.
    pub min_silence: Span,
    /// The same for all links to a service, if several endpoints are silent and none is heard.
    pub min_common_silence: Span,
    /// The same as a multiple of the typical time to a response.
    pub silence_ratio: f64,
    /// How long a link stays in doubt if no probe decides.
    pub doubt_timeout: Span,
    /// The interval between two probes of a lost link. Doubles once.
    pub probe_interval: Span,
    /// The time within which a second loss counts as flapping.
    pub flap_window: Span,
    /// How long probes of a flapping link must succeed before it is used again.
    pub flap_hold: Span,
    /// How long the links of endpoints in trouble are compared with those of others.
    pub trouble_window: Span,
    /// The time after a contact within which reports of other nodes are not believed.
    pub contact_valid_for: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            min_silence: Span::from_millis(600),
            min_common_silence: Span::from_millis(300),
            silence_ratio: 3.0,
            doubt_timeout: Span::from_millis(1_200),
            probe_interval: Span::from_millis(1_000),
            flap_window: Span::from_secs(10),
            flap_hold: Span::from_millis(900),
            trouble_window: Span::from_secs(3),
            contact_valid_for: Span::from_secs(2),
        }
    }
}

impl Options {
    /// The silence to be expected of an endpoint that works, given the typical time to a response.
    fn expected_silence(&self, typical: Span) -> Span {
        Span((typical.0 as f64 * self.silence_ratio) as u64)
    }
}

/// The maximum number of times that the silence after which a link is in doubt doubles, while
/// probes find the link up.
const MAX_SILENCE_DOUBLINGS: u32 = 3;

/// What put a link in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A connection could not be opened.
    ConnectFailed,
    /// A connection broke during a call.
    CallBroke,
    /// Nothing arrived while calls were in progress.
    Silence,
    /// Other nodes report that they can't connect to the endpoint.
    Reported,
    /// Nothing arrived from several endpoints of the service, and none from any other.
    OthersSilent,
    /// Other links of this node were lost, and nothing arrived since.
    OthersLost,
}

impl Evidence {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Evidence::ConnectFailed => "connect-failed",
            Evidence::CallBroke => "call-broke",
            Evidence::Silence => "silence",
            Evidence::Reported => "reported",
            Evidence::OthersSilent => "others-silent",
            Evidence::OthersLost => "others-lost",
        }
    }
}

/// The result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The endpoint answered.
    Answered,
    /// A connection was opened, but no answer arrived in time.
    Connected,
    /// No connection could be opened, or it broke.
    Failed,
}

/// A change of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The link is lost, as found after this evidence.
    Lost(Evidence),
    /// The link is up again after this time.
    Regained(Span),
}

/// A link that may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Doubt {
    since: Time,
    evidence: Evidence,
}

/// A link that is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loss {
    since: Time,
    /// Whether the endpoint accepted connections and sent nothing, so that a connection alone
    /// does not show that the link is up.
    needs_answer: bool,
    /// The number of probes that failed in a row.
    failures: u32,
    next_probe: Time,
    /// Since when probes succeed, if the link is flapping.
    reachable_since: Option<Time>,
}

/// The link between this node and one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Link {
    /// When anything last arrived from the endpoint.
    heard_at: Option<Time>,
    doubt: Option<Doubt>,
    loss: Option<Loss>,
    /// When it was last regained.
    regained_at: Option<Time>,
    /// Whether a probe is in progress.
    is_probing: bool,
    /// How often a probe found the link up although the endpoint was silent, since it was heard.
    vain_doubts: u32,
}

impl Link {
    /// Whether the link is lost.
    pub fn is_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Whether new requests may use the link. What calls of this node show causes a backoff or a
    /// stall of its own, so a doubt that rests on them does not count.
    pub fn is_usable(&self) -> bool {
        let uncertain = |doubt: Doubt| {
            matches!(
                doubt.evidence,
                Evidence::Reported | Evidence::OthersSilent | Evidence::OthersLost
            )
        };
        !self.is_lost() && !self.doubt.is_some_and(uncertain)
    }

    /// Since when the link is lost or in doubt, if it is.
    pub fn troubled_since_opt(&self) -> Option<Time> {
        let lost = self.loss.map(|loss| loss.since);
        lost.or(self.doubt.map(|doubt| doubt.since))
    }

    /// When anything last arrived from the endpoint.
    pub fn heard_at(&self) -> Option<Time> {
        self.heard_at
    }

    /// When a probe of the lost link is due.
    pub fn next_probe_opt(&self) -> Option<Time> {
        self.loss.map(|loss| loss.next_probe)
    }

    /// Whether the link was regained within `span`.
    pub fn was_regained_within(&self, now: Time, span: Span) -> bool {
        self.regained_at.is_some_and(|at| now.since(at) < span)
    }

    /// Whether something arrived within `span`.
    pub fn was_heard_within(&self, now: Time, span: Span) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < span)
    }

    /// Records that something arrived from the endpoint. A lost link stays lost if new
    /// connections failed, since an open one may outlive them.
    pub fn record_heard(&mut self, now: Time) -> Option<Change> {
        self.heard_at = Some(now);
        self.vain_doubts = 0;
        self.doubt = None;
        match self.loss {
            Some(loss) if loss.needs_answer => self.regain(now),
            _ => None,
        }
    }

    /// Forgets how long the endpoint has been silent.
    pub fn forget_silence(&mut self, now: Time) {
        self.heard_at = Some(now);
        self.doubt = None;
    }

    /// Puts the link in doubt, unless it already is or is lost.
    pub fn doubt(&mut self, now: Time, evidence: Evidence) {
        if self.loss.is_none() && self.doubt.is_none() {
            self.doubt = Some(Doubt {
                since: now,
                evidence,
            });
        }
    }

    /// Returns the silence after which the link is in doubt, given the typical time to a response.
    pub fn max_silence(&self, typical: Span, options: &Options) -> Span {
        let silence = options.min_silence.max(options.expected_silence(typical));
        Span(silence.0 << self.vain_doubts)
    }

    /// Returns the silence of several endpoints after which their links are in doubt.
    pub fn max_common_silence(&self, typical: Span, options: &Options) -> Span {
        let expected = options.expected_silence(typical);
        Span(options.min_common_silence.max(expected).0 << self.vain_doubts)
    }

    /// Drops a doubt that no probe decided in time.
    pub fn expire_doubt(&mut self, now: Time, options: &Options) {
        if self
            .doubt
            .is_some_and(|doubt| now.since(doubt.since) > options.doubt_timeout)
        {
            self.doubt = None;
            self.is_probing = false;
        }
    }

    /// Whether a probe is due.
    pub fn is_probe_due(&self, now: Time) -> bool {
        let is_due = match self.loss {
            Some(loss) => now >= loss.next_probe,
            None => self.doubt.is_some(),
        };
        is_due && !self.is_probing
    }

    /// Lets the next probe of a lost link start at once.
    pub fn hasten_probe(&mut self, now: Time) {
        if let Some(loss) = &mut self.loss {
            loss.next_probe = now;
        }
    }

    /// Whether a probe is in progress.
    pub fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// Records that a probe starts.
    pub fn start_probe(&mut self, now: Time, options: &Options) {
        self.is_probing = true;
        if let Some(loss) = &mut self.loss {
            loss.next_probe = now + options.probe_interval;
        }
    }

    /// Records the result of a probe. `is_deaf` tells whether nothing arrives from any endpoint
    /// of the service: only then does a connection without an answer count as a lost link.
    pub fn finish_probe(
        &mut self,
        now: Time,
        probe: Probe,
        is_deaf: bool,
        options: &Options,
    ) -> Option<Change> {
        self.is_probing = false;
        match self.loss {
            Some(loss) => self.finish_lost_probe(now, probe, loss, options),
            None => self.decide_doubt(now, probe, is_deaf, options),
        }
    }

    fn decide_doubt(
        &mut self,
        now: Time,
        probe: Probe,
        is_deaf: bool,
        options: &Options,
    ) -> Option<Change> {
        let doubt = self.doubt.take()?;
        let is_lost = match probe {
            Probe::Answered => false,
            Probe::Connected => is_deaf && doubt.evidence != Evidence::ConnectFailed,
            Probe::Failed => true,
        };
        if !is_lost {
            if probe == Probe::Answered {
                self.heard_at = Some(now);
            }
            self.vain_doubts = (self.vain_doubts + 1).min(MAX_SILENCE_DOUBLINGS);
            return None;
        }
        self.loss = Some(Loss {
            since: doubt.since,
            needs_answer: probe == Probe::Connected,
            failures: 0,
            next_probe: now + options.probe_interval,
            reachable_since: None,
        });
        Some(Change::Lost(doubt.evidence))
    }

    fn finish_lost_probe(
        &mut self,
        now: Time,
        probe: Probe,
        loss: Loss,
        options: &Options,
    ) -> Option<Change> {
        let is_reached = match probe {
            Probe::Answered => true,
            Probe::Connected => !loss.needs_answer,
            Probe::Failed => false,
        };
        if !is_reached {
            let failures = loss.failures + 1;
            let interval = Span(options.probe_interval.0 << failures.min(2).saturating_sub(1));
            self.loss = Some(Loss {
                failures,
                next_probe: now + interval,
                reachable_since: None,
                ..loss
            });
            return None;
        }
        let is_flapping = self
            .regained_at
            .is_some_and(|at| loss.since.since(at) < options.flap_window);
        let since = loss.reachable_since.unwrap_or(now);
        if is_flapping && now.since(since) < options.flap_hold {
            self.loss = Some(Loss {
                reachable_since: Some(since),
                next_probe: now + options.probe_interval,
                ..loss
            });
            return None;
        }
        self.heard_at = Some(now);
        self.regain(now)
    }

    fn regain(&mut self, now: Time) -> Option<Change> {
        let loss = self.loss.take()?;
        self.regained_at = Some(now);
        Some(Change::Regained(now.since(loss.since)))
    }
}
