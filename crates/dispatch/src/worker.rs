//! What one node has learnt of one endpoint: what it runs for us and for the
//! others, how fast it has been, and whether it takes work.

use std::sync::Arc;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::cold;
use crate::endpoint::Endpoint;
use crate::message::Unavailability;
use crate::rate_limit;
use crate::rest;

/// Bounds of what is learnt.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// First rest after a failure; doubles up to [`Options::rest_limit`].
    pub rest: Span,
    /// Longest rest after failures.
    pub rest_limit: Span,
    /// Silence, with work in progress, after which an endpoint gets no more.
    pub silence: Span,
    /// Time in which half of what was learnt of an endpoint is forgotten while
    /// it has nothing to do.
    pub half_life: Span,
    /// How long an endpoint that said it was full gets nothing.
    pub full_for: Span,
    /// How long others are told of an endpoint that is gone: until lists lack
    /// it too.
    pub gone_told_for: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            rest: Span::from_millis(300),
            rest_limit: Span::from_secs(4),
            silence: Span::from_millis(900),
            half_life: Span::from_secs(4),
            full_for: Span::from_millis(60),
            gone_told_for: Span::from_secs(6),
        }
    }
}

/// Weight of a new observation of speed.
const NEWEST: f64 = 0.2;

/// Weight of a pause shorter than the step that is believed, and of a longer
/// one: about one pause in seven is shorter than where the two balance.
const SHORTER: f64 = 0.3;
const LONGER: f64 = 0.05;

/// How many times the step a single pause counts at the most.
const LONGEST: f64 = 4.0;

/// Weight of a new observation of whether a call succeeded.
const NEWEST_OUTCOME: f64 = 0.15;

/// The least that a call's or a step's time counts as a multiple of the usual.
pub const PACE_LEAST: f64 = 0.1;

/// The most that it counts: what lies beyond says that something stood still,
/// not how fast the endpoint is.
pub const PACE_MOST: f64 = 20.0;

/// The part of a half-life after which it is worth forgetting a little more.
const FADE_FROM: f64 = 0.05;

/// How often the rest after a failure doubles; the longest rest ends it sooner.
const DOUBLINGS_MOST: u32 = 10;

/// Nodes that must say that an endpoint cannot be connected to before one that
/// saw no failure itself believes it: a single node may be cut off from it.
const BELIEVED_FROM: u32 = 2;

/// How long a call that worked outweighs what others say.
const PROVED_FOR: Span = Span::from_millis(500);

/// Calls that break in a row, among calls that worked within [`PROVED_FOR`],
/// before work is kept away: an endpoint that loses one answer in twenty would
/// otherwise stand still for half of the time where one node sees all its calls
/// (worked out: 40 calls a second, two of which break, and 300 ms for each).
const BROKEN_MOST: u32 = 3;

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
    pub others: u32,
    /// Prompt tokens that others sent and of which they saw no event.
    pub others_pending: u64,
    /// What other nodes say that keep work away from it.
    pub others_trouble: Reports,
    /// True where its last failure was that it could not be connected to.
    pub unreachable: bool,
    /// When another answered in its place: it is gone, whatever lists say.
    pub gone_at: Option<Time>,
    /// When a call to it last worked.
    pub proved_at: Option<Time>,
    /// Its time for a call, as a multiple of the usual one. Of an engine it is
    /// its time for a step, and follows [`Worker::step`].
    pub pace: f64,
    /// An engine's time between two events of a stream while no prompt is read
    /// beside it, in microseconds; none until a stream was seen.
    pub step: Option<f64>,
    /// The share of calls that it spoilt lately.
    pub failing: f64,
    /// Calls that broke since one last worked.
    broken: u32,
    /// Failures in a row that kept work away.
    pub failures: u32,
    /// No work before this time.
    pub rests_until: Time,
    /// When it last showed progress, or got work after none.
    pub heard: Time,
    /// When `pace` and `failing` were last brought up to date.
    learnt: Time,
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
            others: 0,
            others_pending: 0,
            others_trouble: Reports::default(),
            unreachable: false,
            gone_at: None,
            proved_at: None,
            pace: 1.0,
            step: None,
            failing: 0.0,
            broken: 0,
            failures: 0,
            rests_until: Time(0),
            heard: Time(0),
            learnt: Time(0),
        }
    }

    /// Requests in progress, ours and others'.
    pub fn busy(&self) -> u32 {
        self.running + self.others
    }

    /// Counts a request in.
    pub fn start(&mut self, now: Time, uncached: u64) {
        if self.running == 0 {
            self.heard = now;
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
    pub fn fade(&mut self, now: Time, options: &Options) {
        let since = now.since(self.learnt).as_secs_f64();
        let halves = since / options.half_life.as_secs_f64().max(1e-3);
        if self.learnt == Time(0) || halves > FADE_FROM {
            let keep = 0.5f64.powf(halves);
            if self.step.is_none() {
                self.pace = 1.0 + (self.pace - 1.0) * keep;
            }
            self.failing *= keep;
            self.learnt = now;
        }
    }

    /// Learns the pace from a step or a call that took `ratio` times the usual.
    pub fn learn_pace(&mut self, now: Time, ratio: f64) {
        self.pace += (ratio.clamp(PACE_LEAST, PACE_MOST) - self.pace) * NEWEST;
        self.learnt = now;
    }

    /// Learns an engine's step from a pause between two events, in microseconds.
    /// Prompts that are read beside a stream make its pauses longer and never
    /// shorter, so a short one says more than a long one.
    pub fn learn_step(&mut self, now: Time, gap: f64) -> f64 {
        let step = match self.step {
            None => gap,
            Some(step) if gap < step => step + (gap - step) * SHORTER,
            Some(step) => step + (gap.min(step * LONGEST) - step) * LONGER,
        };
        self.step = Some(step);
        self.learnt = now;
        step
    }

    /// Counts a call that worked.
    pub fn succeed(&mut self, now: Time) {
        self.heard = now;
        self.proved_at = Some(now);
        self.failures = 0;
        self.broken = 0;
        self.failing -= self.failing * NEWEST_OUTCOME;
    }

    /// Counts a call that was answered with a fault: some services answer so
    /// to some requests, so this alone brings no rest.
    pub fn fault(&mut self, now: Time) {
        self.heard = now;
        self.failing += (1.0 - self.failing) * NEWEST_OUTCOME;
        self.learnt = now;
    }

    /// Counts a call that broke or could not be made, and keeps work away for a
    /// while; unless calls work there and just this one broke.
    pub fn fail(&mut self, now: Time, unreachable: bool, options: &Options) {
        self.failing += (1.0 - self.failing) * NEWEST_OUTCOME;
        self.learnt = now;
        self.broken += 1;
        let works = self.proved_at.is_some_and(|at| now.since(at) < PROVED_FOR);
        if works && !unreachable && self.broken < BROKEN_MOST {
            return;
        }
        self.unreachable = unreachable;
        let doubled = options.rest.0 << self.failures.min(DOUBLINGS_MOST);
        self.failures += 1;
        self.rests_until = now + Span(doubled.min(options.rest_limit.0));
    }

    /// Notes that it said it was full.
    pub fn fill(&mut self, now: Time, options: &Options) {
        self.heard = now;
        self.rests_until = self.rests_until.max(now + options.full_for);
    }

    /// True while it has shown nothing for long though it has work.
    pub fn is_silent(&self, now: Time, options: &Options) -> bool {
        self.running > 0 && now.since(self.heard) > options.silence
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
    pub fn is_staying(&self) -> bool {
        self.listed && !self.is_leaving() && self.gone_at.is_none()
    }

    /// True unless it is to be sent nothing, whatever state it is in: it is
    /// leaving, gone, or in an evacuated data centre.
    pub fn is_open(&self) -> bool {
        self.is_staying() && !self.evacuated
    }

    /// True while new work of this node may go there.
    pub fn takes_work(&self, now: Time, options: &Options) -> bool {
        self.lends(now, options) && !self.rest.is_resting(now)
    }

    /// True while its slots may be given to other nodes: its rest binds this one alone.
    pub fn lends(&self, now: Time, options: &Options) -> bool {
        self.is_open()
            && now >= self.rests_until
            && !self.is_silent(now, options)
            && !self.is_distrusted(now)
    }

    /// True while it may turn away what is sent there: it did so lately, here or at another
    /// node, and no call of this node worked since.
    pub fn is_in_doubt(&self, now: Time) -> bool {
        let proved = self.proved_at.is_some_and(|at| now.since(at) < PROVED_FOR);
        self.rest.is_in_doubt(now) || (!proved && self.rest.is_in_doubt_elsewhere(now))
    }

    /// True where others found it gone, or several could not connect to it, and
    /// no call of ours worked lately. Those who say so try it again.
    fn is_distrusted(&self, now: Time) -> bool {
        let proved = self.proved_at.is_some_and(|at| now.since(at) < PROVED_FOR);
        let reports = self.others_trouble;
        let unreachable = self.failures == 0 && reports.unreachable >= BELIEVED_FROM;
        !proved && (reports.gone > 0 || unreachable)
    }

    /// What this node tells the others of it, if anything is wrong.
    pub fn trouble(&self, now: Time, options: &Options) -> Option<Unavailability> {
        if self
            .gone_at
            .is_some_and(|at| now.since(at) < options.gone_told_for)
        {
            return Some(Unavailability::Gone);
        }
        let resting = self.failures > 0 && now < self.rests_until;
        let trouble = match self.unreachable {
            true => Unavailability::Unreachable,
            false => Unavailability::Failing,
        };
        resting.then_some(trouble)
    }
}
