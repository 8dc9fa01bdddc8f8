//! Features of requests during which endpoints crashed: charging, barring and trials.

use std::net::SocketAddrV4;

use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Refusal;
use super::Run;
use crate::binding::KEEPERS;
use crate::job;
use crate::job::End;
use crate::job::Job;
use crate::map::HashMap;
use crate::map::HashSet;
use crate::message::Message;
use crate::quarantine::Attempt;
use crate::quarantine::AttemptEnd;
use crate::quarantine::Feature;
use crate::quarantine::Features;
use crate::quarantine::Finding;
use crate::quarantine::Registry;

/// The assumed cost in microseconds of placing a suspect beside one running request,
/// which would be lost if the endpoint crashed.
const NEIGHBOUR_COST_US: f64 = 50_000.0;

/// The assumed cost in microseconds of two suspects starting at one endpoint: if it
/// crashed, it would be unknown which one was the cause.
const SUSPECT_NEIGHBOUR_COST_US: f64 = 300_000.0;

/// How long after its start a request may still crash its endpoint, and how long after its first
/// event its answer shows that the parts of its prompt are harmless.
const CRASH_WINDOW: Span = Span::from_secs(1);

/// The retry delay for a request that gets no further trial: by then the endpoints may be
/// fixed and the fleet restarted.
const FINAL_RETRY_AFTER: Span = Span::from_secs(3_600);

/// The approximate number of nodes outside a node's cell that send it missing findings.
/// If all 414 nodes of a fleet sent them, a starting node would receive each finding 413
/// times.
const REMOTE_RESPONDERS: u64 = 16;

/// The maximum number of times that the share of nodes allowed to start a trial is
/// doubled.
const MAX_TURN_DOUBLINGS: u64 = 16;

/// A change in what is known of a feature, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The feature.
    pub feature: Feature,
    /// What caused the change.
    pub what: Evidence,
    /// The number of endpoints that crashed while running requests with it since it was last
    /// cleared.
    pub ends: usize,
    /// Whether requests with it are no longer run.
    pub barred: bool,
}

/// Why a request is barred.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bar {
    /// The features for which it is: what it asks for, or parts that only together are.
    pub features: Vec<Feature>,
    /// The ids of these parts.
    pub part_ids: Vec<u64>,
    /// The number of endpoints that crashed while running requests with them since they were last
    /// cleared.
    pub ends: usize,
    /// The number of trials since then.
    pub trials: u8,
    /// The time of the last crash or trial.
    last: Time,
    /// The time from then on until the next trial, if there is one.
    trial_delay: Option<Span>,
}

/// What changed the knowledge of a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// An endpoint crashed while it ran a request with it for this node.
    Charged,
    /// Another node had further findings.
    Heard,
    /// A request with it was answered completely, or a prompt's answer went on for long.
    Cleared,
    /// It is barred, and a request with it gets a trial.
    Trial,
}

impl Evidence {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Evidence::Charged => "charged",
            Evidence::Heard => "heard",
            Evidence::Cleared => "cleared",
            Evidence::Trial => "trial",
        }
    }
}

/// Constraints that keep a suspect away from other suspects.
pub(super) struct Isolation {
    /// Whether the same request is starting elsewhere: one at a time is enough to learn
    /// whether it crashes endpoints.
    pub is_starting: bool,
    /// The indices of endpoints at which another suspect is starting.
    suspect_starts: HashSet<usize>,
}

impl Isolation {
    /// Returns the cost of running a suspect at the endpoint with this index, which has `busy`
    /// running requests.
    pub fn risk(&self, index: usize, busy: u32) -> f64 {
        let suspect_cost = match self.suspect_starts.contains(&index) {
            true => SUSPECT_NEIGHBOUR_COST_US,
            false => 0.0,
        };
        suspect_cost + f64::from(busy) * NEIGHBOUR_COST_US
    }
}

impl Dispatcher {
    /// Returns the records of all features of requests during which endpoints crashed.
    pub fn quarantine(&self) -> &Registry {
        &self.quarantine
    }

    /// Returns and clears the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.quarantine_changes)
    }

    /// Whether requests with a feature are no longer run.
    pub fn is_barred(&self, now: Time, feature: impl Into<Feature>) -> bool {
        let attribution = self.quarantine.attribution(self.is_partitioned(now));
        attribution.contains(feature.into())
    }

    /// Returns why a request is no longer run, if it isn't.
    pub fn bar_opt(&self, now: Time, features: &Features) -> Option<Bar> {
        let attribution = self.quarantine.attribution(self.is_partitioned(now));
        let barred = attribution.bar_opt(features)?;
        let records = barred
            .iter()
            .filter_map(|feature| self.quarantine.get(*feature));
        let latest = records.max_by_key(|record| (record.trials, record.last))?;
        let part_ids = barred.iter();
        let part_ids = part_ids.filter_map(|feature| features.part_id_opt(*feature));
        Some(Bar {
            part_ids: part_ids.collect(),
            ends: latest.ends.len(),
            trials: latest.trials,
            last: latest.last,
            trial_delay: self.quarantine.trial_delay_opt(latest),
            features: barred,
        })
    }

    /// Whether this node reaches less than half of the fleet. It may be in one of several
    /// partitions, each of which would lose as many endpoints as an undivided fleet.
    fn is_partitioned(&self, now: Time) -> bool {
        let reach = self.members.reach(now);
        (reach.nodes - reach.silent) * 2 < reach.nodes
    }

    /// Records that an endpoint crashed: nothing listens at its address, or the platform
    /// no longer lists it although it was not leaving.
    pub fn record_endpoint_ended(&mut self, now: Time, endpoint: u32) {
        let charged = self.quarantine.record_ended(now, endpoint);
        self.tell_keepers(now, &charged);
        self.record_changes(now, charged, Evidence::Charged);
    }

    /// Tells the keepers of charged features, at which the charges of all nodes meet. Statuses would
    /// take too long to tell everybody, as most of the features are harmless.
    fn tell_keepers(&mut self, now: Time, charged: &[Feature]) {
        let mut findings: HashMap<SocketAddrV4, Vec<Finding>> = HashMap::default();
        for feature in charged {
            let Some(record) = self.quarantine.get(*feature) else {
                continue;
            };
            for keeper in self.members.keepers(now, feature.number(), KEEPERS) {
                let finding = record.to_finding(now, *feature);
                findings.entry(keeper.node).or_default().push(finding);
            }
        }
        let max_findings = self.quarantine.options().max_findings_per_message;
        for (node, findings) in findings {
            for part in findings.chunks(max_findings) {
                self.outbox.push((node, Message::Findings(part.to_vec())));
            }
        }
    }

    /// Records that an endpoint at which an attempt broke is alive.
    pub fn record_endpoint_alive(&mut self, endpoint: u32) {
        self.quarantine.record_alive(endpoint);
    }

    /// Records that an endpoint answers a request, so that answers which ended with their connections
    /// some time ago were complete.
    pub(super) fn record_endpoint_answering(&mut self, now: Time, endpoint: u32) {
        let cleared = self.quarantine.record_answering(now, endpoint);
        self.record_changes(now, cleared, Evidence::Cleared);
    }

    /// Records that an attempt at an endpoint ended, which may have crashed.
    pub(super) fn record_unconfirmed(&mut self, now: Time, run: &Run, endpoint: u32, end: End) {
        let attempt = Attempt {
            features: Features::of(&run.job),
            endpoint,
            end: match end {
                End::Whole => AttemptEnd::Closed,
                _ if run.has_gone_on(now) => AttemptEnd::BrokenLate,
                _ => AttemptEnd::Broken,
            },
        };
        self.quarantine.record_unconfirmed(now, attempt);
    }

    /// Records that a request was answered completely.
    pub(super) fn record_whole(&mut self, now: Time, job: &Job) {
        let features = Features::of(job);
        let cleared = self.quarantine.record_whole(now, features.iter());
        self.record_changes(now, cleared, Evidence::Cleared);
    }

    /// Records that the answer to a prompt has gone on for longer than its parts take to crash an
    /// endpoint.
    pub(super) fn record_gone_on(&mut self, now: Time, id: job::Id) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.is_recorded_gone_on || !run.has_gone_on(now) {
            return;
        }
        run.is_recorded_gone_on = true;
        let features = Features::of(&run.job);
        let parts = features.parts.iter().map(|(part, _)| *part);
        let cleared = self.quarantine.record_whole(now, parts);
        self.record_changes(now, cleared, Evidence::Cleared);
    }

    /// Merges the findings of another node.
    pub fn take_findings(&mut self, now: Time, findings: &[Finding]) {
        let changed = findings
            .iter()
            .filter(|finding| self.quarantine.merge(now, finding));
        let changed: Vec<Feature> = changed.map(|finding| finding.feature).collect();
        self.record_changes(now, changed, Evidence::Heard);
    }

    fn record_changes(&mut self, now: Time, features: Vec<Feature>, what: Evidence) {
        if features.is_empty() {
            return;
        }
        self.quarantine.refresh(now);
        for feature in features {
            let record = self.quarantine.get(feature);
            self.quarantine_changes.push(Change {
                feature,
                what,
                ends: record.map_or(0, |record| record.ends.len()),
                barred: self.is_barred(now, feature),
            });
        }
        // Other nodes should receive the findings before a request with them reaches them.
        self.urgent = true;
        self.has_news |= self.quarantine.take_significant_change();
        self.refuse_barred(now);
    }

    /// Refuses the waiting requests that are barred from now on. Requests of other nodes
    /// that wait here are cancelled by those nodes.
    fn refuse_barred(&mut self, now: Time) {
        let attribution = self.quarantine.attribution(self.is_partitioned(now));
        if attribution.is_empty() {
            return;
        }
        let is_barred = |job: &Job| !job.trial && attribution.bar_opt(&Features::of(job)).is_some();
        let queues = self.pools.values().map(|pool| &pool.queue);
        let waiting = queues.flat_map(|queue| queue.iter());
        let waiting = waiting.filter(|(_, job)| job.origin.is_none() && is_barred(job));
        let requested = self.open_requests.iter();
        let requested =
            requested.filter(|(_, open_request)| open_request.job.as_ref().is_some_and(is_barred));
        let ids: Vec<job::Id> = waiting
            .map(|(id, _)| id)
            .chain(requested.map(|(id, _)| *id))
            .collect();
        for id in ids {
            let target = self.targets.get(&id).cloned();
            let pool = target.and_then(|target| self.pools.get_mut(&target));
            let waiting = pool.and_then(|pool| pool.queue.remove(id));
            let requested = || self.open_requests.get(&id)?.job.clone();
            if let Some(job) = waiting.or_else(requested)
                && let Some(bar) = self.bar_opt(now, &Features::of(&job))
            {
                let refusal = self.barred_refusal(now, &bar);
                self.refuse(now, id, &job, refusal);
            }
            self.cancel_open_request(id);
        }
    }

    /// Returns the refusal if a request of this node's callers is barred. If a trial is
    /// allowed, starts it instead.
    pub(super) fn check_barred(&mut self, now: Time, job: &mut Job) -> Option<Refusal> {
        let attribution = self.quarantine.attribution(self.is_partitioned(now));
        if job.trial || attribution.is_empty() {
            return None;
        }
        let bar = self.bar_opt(now, &Features::of(job))?;
        if !job.is_untried() || !self.may_start_trial(now, &bar) {
            return Some(self.barred_refusal(now, &bar));
        }
        job.trial = true;
        for feature in &bar.features {
            self.quarantine.record_trial(now, *feature);
        }
        self.record_changes(now, bar.features, Evidence::Trial);
        None
    }

    /// Returns the refusal of a barred request. The caller may retry when a trial is due,
    /// but not immediately, since many callers may retry; if no trial remains, after
    /// [`FINAL_RETRY_AFTER`].
    fn barred_refusal(&self, now: Time, bar: &Bar) -> Refusal {
        let options = self.quarantine.options();
        let after = bar.trial_delay.map(|after| {
            let remaining = after.0.saturating_sub(now.since(bar.last).0);
            Span(remaining).max(after.min(options.trial_delay))
        });
        Refusal {
            code: match bar.part_ids.is_empty() {
                true => Code::Barred,
                false => Code::PartBarred,
            },
            retry_after: Some(after.unwrap_or(FINAL_RETRY_AFTER)),
            wait: None,
            owner: None,
        }
    }

    /// Whether this node may start a trial of a barred request: the trial is due, no node
    /// is silent that might start one as well, and it is this node's turn. Nodes are
    /// ordered by a hash of the feature and their address. The first one starts, and as
    /// long as no other node announces a trial, the number of nodes allowed doubles with each turn.
    fn may_start_trial(&self, now: Time, bar: &Bar) -> bool {
        let Some((after, first)) = bar.trial_delay.zip(bar.features.iter().min()) else {
            return false;
        };
        let since = now.since(bar.last);
        if since < after || self.members.reach(now).silent > 0 {
            return false;
        }
        let turn = (since.0 - after.0) / self.quarantine.options().trial_turn_duration.0.max(1);
        let score = |node: &SocketAddrV4| hash::chain(first.number(), &node.ip().octets());
        let own = score(&self.options.own);
        let live = self.members.live(now);
        let preceding = live.filter(|(node, _)| score(node) > own).count() as u64;
        preceding < 1 << turn.min(MAX_TURN_DOUBLINGS)
    }

    /// Whether a request has a feature that may have crashed an endpoint.
    pub(super) fn is_suspect(&self, job: &Job) -> bool {
        !self.quarantine.is_empty() && self.quarantine.has_unexplained_suspect(&Features::of(job))
    }

    /// Returns the constraints on placing a request, if it is a suspect. One that was
    /// cleared before need not wait for other copies of itself.
    pub(super) fn isolation_opt(
        &self,
        now: Time,
        target: &id::Target,
        job: &Job,
    ) -> Option<Isolation> {
        if !self.is_suspect(job) {
            return None;
        }
        let record = self.quarantine.get(job.fingerprint);
        let is_one_enough =
            record.is_some_and(|record| !record.ends.is_empty() && !record.was_cleared());
        let runs = self.runs.values();
        let begun = runs.filter(|run| {
            run.job.target == *target
                && now.since(run.started) < CRASH_WINDOW
                && self.is_suspect(&run.job)
        });
        let mut isolation = Isolation {
            is_starting: false,
            suspect_starts: HashSet::default(),
        };
        for run in begun {
            isolation.is_starting |= run.job.fingerprint == job.fingerprint && is_one_enough;
            isolation.suspect_starts.insert(run.worker);
        }
        Some(isolation)
    }

    /// Sends this node's findings to a node whose digest differs.
    pub(super) fn answer_digest(&mut self, now: Time, to: SocketAddrV4, theirs: u32) {
        let ours = self.quarantine.digest();
        if ours == theirs || ours == 0 || !self.should_answer_digest(now, to) {
            return;
        }
        let min_interval = self.quarantine.options().min_send_interval;
        if !self
            .members
            .record_findings_sent(now, to, (ours, theirs), min_interval)
        {
            return;
        }
        let findings = self.quarantine.findings(now);
        self.outbox.push((to, Message::Findings(findings)));
    }

    /// Whether this node sends findings to another one: to all nodes of its own cell, and
    /// to a few outside it.
    fn should_answer_digest(&self, now: Time, to: SocketAddrV4) -> bool {
        if self.members.is_in_cell(to) {
            return true;
        }
        let mixed = hash::chain(self.options.incarnation, &now.0.to_le_bytes());
        let mixed = hash::chain(mixed, &to.ip().octets());
        mixed % (self.members.len() as u64).max(1) < REMOTE_RESPONDERS
    }
}

impl Run {
    /// Whether the answer has gone on for longer than a request takes to crash its endpoint.
    fn has_gone_on(&self, now: Time) -> bool {
        let first = self.first;
        first.is_some_and(|first| now.since(first) >= CRASH_WINDOW)
    }
}
