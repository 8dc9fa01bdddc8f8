//! The state that a node tracks for an endpoint: its load, its speed and whether it accepts work.

use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::cold;
use crate::endpoint::Endpoint;
use crate::link;
use crate::link::Link;
use crate::protocol::Protocol;
use crate::rate_limit;
use crate::rest;
use crate::slot_depth;
use crate::start;
use crate::stated_load;
use crate::tolerance;

mod availability;

pub use availability::Failure;

/// Settings for tracking endpoint state.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The backoff after the first failure. Doubles up to [`Options::max_backoff`].
    pub initial_backoff: Span,
    /// The longest backoff after failures.
    pub max_backoff: Span,
    /// The time without progress, with requests in flight, after which an endpoint gets no more
    /// requests.
    pub stall_timeout: Span,
    /// The time in which half of what was learnt about an idle endpoint is forgotten.
    pub half_life: Span,
    /// How long an endpoint that reported to be full gets no requests.
    pub full_backoff: Span,
    /// How long an endpoint is reported to other nodes as gone. Covers the time until
    /// endpoint lists no longer contain it.
    pub gone_report_period: Span,
    /// Settings for tracking this node's links to endpoints.
    pub link: link::Options,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            initial_backoff: Span::from_millis(300),
            max_backoff: Span::from_secs(4),
            stall_timeout: Span::from_millis(900),
            half_life: Span::from_secs(4),
            full_backoff: Span::from_millis(60),
            gone_report_period: Span::from_secs(6),
            link: link::Options::default(),
        }
    }
}

/// The weight of a new observation of speed.
const PACE_WEIGHT: f64 = 0.2;

/// The weights of a pause below and above the current step estimate. They balance where about one
/// pause in seven is shorter.
const SHORTER_STEP_WEIGHT: f64 = 0.3;
const LONGER_STEP_WEIGHT: f64 = 0.05;

/// The longest pause that is counted, in steps.
const MAX_STEP_RATIO: f64 = 4.0;

/// The weight of a new observation of whether a call succeeded.
const OUTCOME_WEIGHT: f64 = 0.15;

/// The minimum ratio of a call's or step's time to the typical one that is counted.
pub const MIN_PACE: f64 = 0.1;

/// The maximum ratio that is counted. Beyond it the endpoint stalled rather than being slow.
pub const MAX_PACE: f64 = 20.0;

/// The part of a half-life below which values are not updated.
const MIN_DECAY_HALF_LIVES: f64 = 0.05;

/// The maximum number of times the backoff doubles; [`Options::max_backoff`] usually limits it
/// earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// How long a successful call outweighs the reports of other nodes.
const SUCCESS_VALID_FOR: Span = Span::from_millis(500);

/// The number of consecutive broken calls after which an endpoint backs off, while other calls
/// succeeded within [`SUCCESS_VALID_FOR`]. Otherwise an endpoint that loses one answer in twenty
/// would be unused for half of the time where one node sees all its calls (40 calls a second, two
/// of which break, and a backoff of 300 ms for each).
const BREAKS_BEFORE_BACKOFF: u32 = 3;

/// How long a node's report that its calls to an endpoint failed is remembered.
const FAILURE_REPORT_VALID_FOR: Span = Span::from_secs(2);

/// The number of other nodes that report each kind of problem with an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reports {
    /// Nodes whose calls to it broke.
    pub failing: u32,
    /// Nodes that cannot connect to it.
    pub unreachable: u32,
    /// Nodes that found it gone for good.
    pub gone: u32,
}

/// The state of an endpoint as tracked by one node.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The endpoint as listed by the platform.
    pub endpoint: Arc<Endpoint>,
    /// The number that identifies it between nodes.
    pub number: u32,
    /// Whether the platform still lists it.
    pub listed: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Whether it is cold.
    pub cold: cold::State,
    /// The rate limit that it stated, if any.
    pub rate_limit: rate_limit::State,
    /// How many rejections it tolerates, and the recent ones.
    pub tolerance: tolerance::State,
    /// Whether it stated in an answer that it is leaving.
    pub leaving: bool,
    /// Whether it asked this node to send nothing for a while.
    pub rest: rest::State,
    /// Whether it belongs to this node's cell.
    pub own_cell: bool,
    /// The load that it last stated, and when this node learned it.
    pub stated_load: Option<(Time, stated_load::Load)>,
    /// How much slower it is at present than usual, by its own statements.
    pub slowness: stated_load::Slowness,
    /// The requests that it is given beyond its slots.
    pub depth: slot_depth::Depth,
    /// This node's link to it.
    pub link: Link,
    /// Requests in progress, of this node's callers and in slots granted to other nodes.
    pub running: u32,
    /// Requests of this node's callers in progress.
    pub own_running: u32,
    /// The number of nodes that hold its slots and do not state that their links to the service are
    /// lost. Counts this node.
    pub holders: u32,
    /// Prompt tokens of this node's requests that have no event yet.
    pub pending: u64,
    /// Requests of other nodes in progress.
    pub remote_running: u32,
    /// Prompt tokens of other nodes' requests that have no event yet.
    pub remote_pending: u64,
    /// The problems reported by other nodes.
    pub remote_reports: Reports,
    /// Whether a connection could not be established at its last failure.
    pub unreachable: bool,
    /// When another endpoint answered at its address. It is then gone even if still listed.
    pub gone_at: Option<Time>,
    /// Whether another start of it may answer at its address, with other software.
    pub start: start::State,
    /// When a call to it last succeeded.
    pub last_success: Option<Time>,
    /// Its time for a call as a multiple of the typical one. For an engine, the ratio of steps,
    /// which follows [`Worker::step_us`].
    pub pace: f64,
    /// An engine's time between two events of a stream while it reads no prompt, in microseconds.
    /// `None` until a stream was observed.
    pub step_us: Option<f64>,
    /// The share of recent calls that failed.
    pub failure_rate: f64,
    /// Calls that broke since the last success.
    consecutive_breaks: u32,
    /// Consecutive failures that caused a backoff.
    pub consecutive_failures: u32,
    /// The time until which this node sends it nothing.
    pub backoff_until: Time,
    /// The time until which its slots are not granted to other nodes.
    pub lending_backoff_until: Time,
    /// The nodes whose calls to it failed since one succeeded, and when.
    failure_reporters: Vec<(SocketAddrV4, Time)>,
    /// When it last made progress or became busy after being idle.
    pub last_progress: Time,
    /// The same for requests of this node's callers.
    own_progress: Time,
    /// When `pace` and `failure_rate` were last updated.
    updated_at: Time,
}

impl Worker {
    /// Creates the state of an endpoint without observations.
    pub fn new(endpoint: Arc<Endpoint>) -> Worker {
        Worker {
            number: endpoint.to_number(),
            endpoint,
            listed: true,
            evacuated: false,
            cold: cold::State::default(),
            rate_limit: rate_limit::State::default(),
            tolerance: tolerance::State::default(),
            leaving: false,
            rest: rest::State::default(),
            own_cell: true,
            stated_load: None,
            slowness: stated_load::Slowness::default(),
            depth: slot_depth::Depth::default(),
            link: Link::default(),
            running: 0,
            own_running: 0,
            holders: 0,
            pending: 0,
            remote_running: 0,
            remote_pending: 0,
            remote_reports: Reports::default(),
            unreachable: false,
            gone_at: None,
            start: start::State::default(),
            last_success: None,
            pace: 1.0,
            step_us: None,
            failure_rate: 0.0,
            consecutive_breaks: 0,
            consecutive_failures: 0,
            backoff_until: Time(0),
            lending_backoff_until: Time(0),
            failure_reporters: Vec::new(),
            last_progress: Time(0),
            own_progress: Time(0),
            updated_at: Time(0),
        }
    }

    /// Requests in progress, of this node and others.
    pub fn busy(&self) -> u32 {
        self.running + self.remote_running
    }

    /// Adds a request to the endpoint's load. `is_own` tells whether a caller of this node sent it.
    pub fn start(&mut self, now: Time, uncached: u64, is_own: bool) {
        if self.running == 0 {
            self.last_progress = now;
        }
        if is_own && self.own_running == 0 {
            self.own_progress = now;
        }
        self.running += 1;
        self.own_running += u32::from(is_own);
        self.pending += uncached;
    }

    /// Removes a request from the endpoint's load, with the prompt tokens that were still unread.
    pub fn end(&mut self, pending: u64, is_own: bool) {
        self.running = self.running.saturating_sub(1);
        self.own_running = self.own_running.saturating_sub(u32::from(is_own));
        self.pending = self.pending.saturating_sub(pending);
    }

    /// Records that a request makes progress. `is_own` tells whether a caller of this node sent it.
    pub fn record_progress(&mut self, now: Time, is_own: bool) {
        self.last_progress = now;
        if is_own {
            self.own_progress = now;
        }
    }

    /// Moves the failure rate, and the pace unless it follows [`Worker::step_us`], towards their
    /// initial values, so that an endpoint that was slow or failing is tried again.
    pub fn decay(&mut self, now: Time, options: &Options) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let half_lives = elapsed / options.half_life.as_secs_f64().max(1e-3);
        if self.updated_at == Time(0) || half_lives > MIN_DECAY_HALF_LIVES {
            let decay_factor = 0.5f64.powf(half_lives);
            if self.step_us.is_none() {
                self.pace = 1.0 + (self.pace - 1.0) * decay_factor;
            }
            self.failure_rate *= decay_factor;
            self.updated_at = now;
        }
    }

    /// The time to a response of this endpoint, given the typical one of its service.
    pub fn typical_time(&self, typical: Span) -> Span {
        Span((typical.0 as f64 * self.pace.max(1.0)) as u64)
    }

    /// Updates the pace from a step or call that took `ratio` times the typical time.
    pub fn learn_pace(&mut self, now: Time, ratio: f64) {
        self.pace += (ratio.clamp(MIN_PACE, MAX_PACE) - self.pace) * PACE_WEIGHT;
        self.updated_at = now;
    }

    /// Updates an engine's step from a pause between two events, in microseconds. Reading prompts
    /// beside a stream only ever makes its pauses longer, so short pauses have more weight than
    /// long ones.
    pub fn learn_step(&mut self, now: Time, gap: f64) -> f64 {
        let step = match self.step_us {
            None => gap,
            Some(step) if gap < step => step + (gap - step) * SHORTER_STEP_WEIGHT,
            Some(step) => step + (gap.min(step * MAX_STEP_RATIO) - step) * LONGER_STEP_WEIGHT,
        };
        self.step_us = Some(step);
        self.updated_at = now;
        step
    }

    /// Records a successful call.
    pub fn record_success(&mut self, now: Time, is_own: bool) {
        self.record_progress(now, is_own);
        self.failure_reporters.clear();
        self.last_success = Some(now);
        self.consecutive_failures = 0;
        self.consecutive_breaks = 0;
        self.failure_rate -= self.failure_rate * OUTCOME_WEIGHT;
    }

    /// Records that the endpoint began to answer a request.
    pub fn record_accepted(&mut self, now: Time) {
        if self.is_brittle() {
            self.tolerance.record_accepted(now, self.busy());
        }
    }

    /// Records a call answered with an error. Causes no backoff, because some services answer
    /// certain requests that way.
    pub fn record_fault(&mut self, now: Time, is_own: bool) {
        self.record_progress(now, is_own);
        self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
    }

    /// Records a call that broke or could not be made, and backs off unless other calls succeed and
    /// only this one broke.
    pub fn record_failure(&mut self, now: Time, unreachable: bool, options: &Options) {
        self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
        self.consecutive_breaks += 1;
        let succeeded = self
            .last_success
            .is_some_and(|last| now.since(last) < SUCCESS_VALID_FOR);
        if succeeded && !unreachable && self.consecutive_breaks < BREAKS_BEFORE_BACKOFF {
            return;
        }
        self.unreachable = unreachable;
        let backoff =
            options.initial_backoff.0 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        self.backoff_until = now + Span(backoff.min(options.max_backoff.0));
    }

    /// Records that a call of a node, this one or one that holds a slot, failed. One node's link may
    /// be broken, so only the failures of two show that the endpoint is down for all.
    pub fn record_failure_at(&mut self, now: Time, node: SocketAddrV4, options: &Options) {
        self.failure_reporters.retain(|(reporter, at)| {
            *reporter != node && now.since(*at) < FAILURE_REPORT_VALID_FOR
        });
        self.failure_reporters.push((node, now));
        if self.failure_reporters.len() > 1 {
            self.lending_backoff_until = now + options.initial_backoff;
        }
    }

    /// Records that the endpoint reported to be full.
    pub fn record_full(&mut self, now: Time, options: &Options, is_own: bool) {
        self.record_progress(now, is_own);
        let mut backoff = options.full_backoff;
        if self.is_brittle() {
            backoff = backoff.max(tolerance::BACKOFF);
            self.tolerance.record_full(now, self.busy());
            if is_own {
                self.tolerance.record_rejection(now);
            }
        }
        let until = now + backoff;
        self.backoff_until = self.backoff_until.max(until);
        self.lending_backoff_until = self.lending_backoff_until.max(until);
    }

    /// The number of requests that it is given at once, cold starts and rate limits apart.
    pub fn usable_slots(&self) -> u32 {
        self.tolerance.usable_slots(self.endpoint.slots)
    }

    /// Whether the endpoint stated a rate limit.
    pub fn is_rate_limited(&self) -> bool {
        self.rate_limit.limit_opt().is_some()
    }

    /// Whether the endpoint fails if it has to reject too many requests, as far as known.
    pub fn is_brittle(&self) -> bool {
        self.tolerance.tolerance_opt().is_some()
    }

    /// Whether all requests to the endpoint go through the owner of its slots, also in a fleet of
    /// one cell: its rate, or the number of requests that it may have to reject, has one account.
    pub fn needs_owner(&self) -> bool {
        self.owner_protocol_opt().is_some()
    }

    /// The protocol from which on builds can be that owner, if the endpoint needs one.
    pub fn owner_protocol_opt(&self) -> Option<Protocol> {
        match self.is_rate_limited() {
            true => Some(Protocol::RATE_LIMITS),
            false => self.is_brittle().then_some(Protocol::TOLERANCES),
        }
    }
}
