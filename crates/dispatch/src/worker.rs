//! What one node has learnt of one endpoint: what it runs for us and for the
//! others, how fast it has been, and whether it takes work.

use std::sync::Arc;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::cold;
use crate::endpoint::Endpoint;
use crate::message::Trouble;
use crate::rate_limit;
use crate::rest;

/// Bounds of what is learnt.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// First rest after a failure; doubles up to [`Options::rest_limit`].
    pub initial_backoff: Span,
    /// Longest rest after failures.
    pub max_backoff: Span,
    /// Silence, with work in progress, after which an endpoint gets no more.
    pub stall_timeout: Span,
    /// Time in which half of what was learnt of an endpoint is forgotten while
    /// it has nothing to do.
    pub half_life: Span,
    /// How long an endpoint that said it was full gets nothing.
    pub full_backoff: Span,
    /// How long others are told of an endpoint that is gone: until lists lack
    /// it too.
    pub gone_report_period: Span,
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
        }
    }
}

/// Weight of a new observation of speed.
const PACE_WEIGHT: f64 = 0.2;

/// Weight of a pause shorter than the step that is believed, and of a longer
/// one: about one pause in seven is shorter than where the two balance.
const SHORTER_STEP_WEIGHT: f64 = 0.3;
const LONGER_STEP_WEIGHT: f64 = 0.05;

/// How many times the step a single pause counts at the most.
const MAX_STEP_RATIO: f64 = 4.0;

/// Weight of a new observation of whether a call succeeded.
const OUTCOME_WEIGHT: f64 = 0.15;

/// The least that a call's or a step's time counts as a multiple of the usual.
pub const MIN_PACE: f64 = 0.1;

/// The most that it counts: what lies beyond says that something stood still,
/// not how fast the endpoint is.
pub const MAX_PACE: f64 = 20.0;

/// The part of a half-life after which it is worth forgetting a little more.
const MIN_DECAY_HALF_LIVES: f64 = 0.05;

/// How often the rest after a failure doubles; the longest rest ends it sooner.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Nodes that must say that an endpoint cannot be connected to before one that
/// saw no failure itself believes it: a single node may be cut off from it.
const MIN_UNREACHABLE_REPORTS: u32 = 2;

/// How long a call that worked outweighs what others say.
const SUCCESS_VALID_FOR: Span = Span::from_millis(500);

/// Calls that break in a row, among calls that worked within [`PROVED_FOR`],
/// before work is kept away: an endpoint that loses one answer in twenty would
/// otherwise stand still for half of the time where one node sees all its calls
/// (worked out: 40 calls a second, two of which break, and 300 ms for each).
const BREAKS_BEFORE_BACKOFF: u32 = 3;

/// How many other nodes say what of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reports {
    /// That calls to it broke.
    pub failing: u32,
    /// That it cannot be connected to.
    pub unreachable: u32,
    /// That it is gone for good.
    pub gone: u32,
}

/// An endpoint, as one node knows it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// What the platform says of it.
    pub endpoint: Arc<Endpoint>,
    /// The number by which nodes name it.
    pub number: u32,
    /// False once the platform lists it no more.
    pub listed: bool,
    /// True where its data centre is evacuated.
    pub evacuated: bool,
    /// Whether it is cold.
    pub cold: cold::State,
    /// How many requests a second it says it takes.
    pub rate_limit: rate_limit::State,
    /// True where it said in an answer that it leaves.
    pub leaving: bool,
    /// How long it wants nothing from this node.
    pub rest: rest::State,
    /// True where it belongs to this node's cell.
    pub own_cell: bool,
    /// Requests in progress that we sent.
    pub running: u32,
    /// Prompt tokens that we sent and of which no event was seen.
    pub pending: u64,
    /// Requests in progress that others sent.
    pub remote_running: u32,
    /// Prompt tokens that others sent and of which they saw no event.
    pub remote_pending: u64,
    /// What other nodes say that keep work away from it.
    pub remote_reports: Reports,
    /// True where its last failure was that it could not be connected to.
    pub unreachable: bool,
    /// When another answered in its place: it is gone, whatever lists say.
    pub gone_at: Option<Time>,
    /// When a call to it last worked.
    pub last_success: Option<Time>,
    /// Its time for a call, as a multiple of the usual one. Of an engine it is
    /// its time for a step, and follows [`Worker::step`].
    pub pace: f64,
    /// An engine's time between two events of a stream while no prompt is read
    /// beside it, in microseconds; none until a stream was seen.
    pub step_us: Option<f64>,
    /// The share of calls that it spoilt lately.
    pub failure_rate: f64,
    /// Calls that broke since one last worked.
    consecutive_breaks: u32,
    /// Failures in a row that kept work away.
    pub consecutive_failures: u32,
    /// No work before this time.
    pub backoff_until: Time,
    /// When it last showed progress, or got work after none.
    pub last_progress: Time,
    /// When `pace` and `failing` were last brought up to date.
    updated_at: Time,
}

impl Worker {
    /// An endpoint of which nothing was learnt.
    pub fn new(endpoint: Arc<Endpoint>) -> Worker {
        Worker {
            number: endpoint.to_number(),
            endpoint,
            listed: true,
            evacuated: false,
            cold: cold::State::default(),
            rate_limit: rate_limit::State::default(),
            leaving: false,
            rest: rest::State::default(),
            own_cell: true,
            running: 0,
            pending: 0,
            remote_running: 0,
            remote_pending: 0,
            remote_reports: Reports::default(),
            unreachable: false,
            gone_at: None,
            last_success: None,
            pace: 1.0,
            step_us: None,
            failure_rate: 0.0,
            consecutive_breaks: 0,
            consecutive_failures: 0,
            backoff_until: Time(0),
            last_progress: Time(0),
            updated_at: Time(0),
        }
    }

    /// Requests in progress, ours and others'.
    pub fn busy(&self) -> u32 {
        self.running + self.remote_running
    }

    /// Counts a request in.
    pub fn start(&mut self, now: Time, uncached: u64) {
        if self.running == 0 {
            self.last_progress = now;
        }
        self.running += 1;
        self.pending += uncached;
    }

    /// Counts a request out, with the prompt tokens that were still unread.
    pub fn end(&mut self, pending: u64) {
        self.running = self.running.saturating_sub(1);
        self.pending = self.pending.saturating_sub(pending);
    }

    /// Forgets by and by what was learnt, so that an endpoint which was slow
    /// or failing is tried again.
    pub fn decay(&mut self, now: Time, options: &Options) {
        let since = now.since(self.updated_at).as_secs_f64();
        let halves = since / options.half_life.as_secs_f64().max(1e-3);
        if self.updated_at == Time(0) || halves > MIN_DECAY_HALF_LIVES {
            let keep = 0.5f64.powf(halves);
            if self.step_us.is_none() {
                self.pace = 1.0 + (self.pace - 1.0) * keep;
            }
            self.failure_rate *= keep;
            self.updated_at = now;
        }
    }

    /// Learns the pace from a step or a call that took `ratio` times the usual.
    pub fn learn_pace(&mut self, now: Time, ratio: f64) {
        self.pace += (ratio.clamp(MIN_PACE, MAX_PACE) - self.pace) * PACE_WEIGHT;
        self.updated_at = now;
    }

    /// Learns an engine's step from a pause between two events, in microseconds.
    /// Prompts that are read beside a stream make its pauses longer and never
    /// shorter, so a short one says more than a long one.
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

    /// Counts a call that worked.
    pub fn record_success(&mut self, now: Time) {
        self.last_progress = now;
        self.last_success = Some(now);
        self.consecutive_failures = 0;
        self.consecutive_breaks = 0;
        self.failure_rate -= self.failure_rate * OUTCOME_WEIGHT;
    }

    /// Counts a call that was answered with a fault: some services answer so
    /// to some requests, so this alone brings no rest.
    pub fn record_fault(&mut self, now: Time) {
        self.last_progress = now;
        self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
    }

    /// Counts a call that broke or could not be made, and keeps work away for a
    /// while; unless calls work there and just this one broke.
    pub fn record_failure(&mut self, now: Time, unreachable: bool, options: &Options) {
        self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
        self.consecutive_breaks += 1;
        let works = self
            .last_success
            .is_some_and(|at| now.since(at) < SUCCESS_VALID_FOR);
        if works && !unreachable && self.consecutive_breaks < BREAKS_BEFORE_BACKOFF {
            return;
        }
        self.unreachable = unreachable;
        let doubled =
            options.initial_backoff.0 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        self.backoff_until = now + Span(doubled.min(options.max_backoff.0));
    }

    /// Notes that it said it was full.
    pub fn record_full(&mut self, now: Time, options: &Options) {
        self.last_progress = now;
        self.backoff_until = self.backoff_until.max(now + options.full_backoff);
    }

    /// True while it has shown nothing for long though it has work.
    pub fn is_stalled(&self, now: Time, options: &Options) -> bool {
        self.running > 0 && now.since(self.last_progress) > options.stall_timeout
    }

    /// True while it names a rate limit.
    pub fn is_rate_limited(&self) -> bool {
        self.rate_limit.limit_opt().is_some()
    }

    /// True where it leaves, by the platform's word or by its own.
    pub fn is_leaving(&self) -> bool {
        self.endpoint.leaving || self.leaving
    }

    /// True unless it is leaving or gone.
    pub fn is_present(&self) -> bool {
        self.listed && !self.is_leaving() && self.gone_at.is_none()
    }

    /// True unless it is to be sent nothing, whatever state it is in: it is
    /// leaving, gone, or in an evacuated data centre.
    pub fn is_open(&self) -> bool {
        self.is_present() && !self.evacuated
    }

    /// True while new work of this node may go there.
    pub fn accepts_work(&self, now: Time, options: &Options) -> bool {
        self.is_lendable(now, options) && !self.rest.is_resting(now)
    }

    /// True while its slots may be given to other nodes: its rest binds this one alone.
    pub fn is_lendable(&self, now: Time, options: &Options) -> bool {
        self.is_open()
            && now >= self.backoff_until
            && !self.is_stalled(now, options)
            && !self.is_reported_down(now)
    }

    /// True while it may turn away what is sent there: it did so lately, here or at another
    /// node, and no call of this node worked since.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        let proved = self
            .last_success
            .is_some_and(|at| now.since(at) < SUCCESS_VALID_FOR);
        self.rest.is_in_doubt(now) || (!proved && self.rest.is_in_doubt_elsewhere(now))
    }

    /// True where others found it gone, or several could not connect to it, and
    /// no call of ours worked lately. Those who say so try it again.
    fn is_reported_down(&self, now: Time) -> bool {
        let proved = self
            .last_success
            .is_some_and(|at| now.since(at) < SUCCESS_VALID_FOR);
        let reports = self.remote_reports;
        let unreachable =
            self.consecutive_failures == 0 && reports.unreachable >= MIN_UNREACHABLE_REPORTS;
        !proved && (reports.gone > 0 || unreachable)
    }

    /// What this node tells the others of it, if anything is wrong.
    pub fn trouble(&self, now: Time, options: &Options) -> Option<Trouble> {
        if self
            .gone_at
            .is_some_and(|at| now.since(at) < options.gone_report_period)
        {
            return Some(Trouble::Gone);
        }
        let resting = self.consecutive_failures > 0 && now < self.backoff_until;
        let trouble = match self.unreachable {
            true => Trouble::Unreachable,
            false => Trouble::Failing,
        };
        resting.then_some(trouble)
    }
}
