//! Requests under which endpoints ended: charged, barred, and tried once more.

use std::collections::HashSet;
use std::net::SocketAddrV4;

use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Refusal;
use crate::job;
use crate::job::Fingerprint;
use crate::job::Job;
use crate::message::Message;
use crate::quarantine::Finding;
use crate::quarantine::Record;
use crate::quarantine::Registry;

/// What a suspect is taken to cost, in microseconds, for each request that runs at an
/// endpoint and would end with it.
const BESIDE: f64 = 50_000.0;

/// What it is taken to cost, in microseconds, that two suspects begin at one endpoint:
/// were it to end, nobody could tell under which.
const BESIDE_SUSPECT: f64 = 300_000.0;

/// How long after its beginning a request may still end its endpoint: those that do so
/// did within 0.75 s in logs of fourteen such ends.
const BEGINS_FOR: Span = Span::from_secs(1);

/// When the caller of a request comes back that is not tried again: by then its
/// endpoints may be mended and the fleet restarted.
const MENDED_AFTER: Span = Span::from_secs(3_600);

/// Nodes beyond its cell, about, from which a node that knows less is sent findings. Were
/// it all of 414, one that starts would be sent each finding 413 times (worked out).
const TELLERS: u64 = 16;

/// How far the part of nodes that may begin a trial is doubled at the most.
const TURNS_MOST: u64 = 16;

/// What became known of a request, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How.
    pub what: Evidence,
    /// Endpoints that ended under it since it was last sound.
    pub ends: usize,
    /// True where it is not run any more.
    pub barred: bool,
}

/// How something became known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// An endpoint ended while this node had the request there.
    Charged,
    /// Another node knew more.
    Heard,
    /// Its whole answer came.
    Cleared,
    /// It is barred, and is tried once more.
    Trial,
}

impl Evidence {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Evidence::Charged => "charged",
            Evidence::Heard => "heard",
            Evidence::Cleared => "cleared",
            Evidence::Trial => "trial",
        }
    }
}

/// How a suspect is kept apart from others.
pub(super) struct Apart {
    /// True while the same request begins elsewhere: one at a time is enough to tell.
    pub begins: bool,
    /// Endpoints, by their place, at which another suspect begins.
    beside: HashSet<usize>,
}

impl Apart {
    /// What it counts that a suspect runs at an endpoint that has so many requests.
    pub fn risk(&self, place: usize, busy: u32) -> f64 {
        let suspect = match self.beside.contains(&place) {
            true => BESIDE_SUSPECT,
            false => 0.0,
        };
        suspect + f64::from(busy) * BESIDE
    }
}

impl Dispatcher {
    /// All that is known of requests that endpoints ended under.
    pub fn quarantine(&self) -> &Registry {
        &self.quarantine
    }

    /// Takes what became known since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// True where a request is not run any more.
    pub fn is_barred(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let record = self.quarantine.get(fingerprint);
        record.is_some_and(|record| record.ends.len() >= self.barred_from(now, record))
    }

    /// Ends of endpoints from which on a request is barred. A node that hears less than
    /// half of the fleet may be one of several parts, of which each would go through as
    /// many as the whole.
    fn barred_from(&self, now: Time, record: &Record) -> usize {
        let options = self.quarantine.options();
        let reach = self.members.reach(now);
        let heard = reach.nodes - reach.silent;
        match record.was_sound() {
            _ if heard * 2 < reach.nodes => options.cut_off_barred_from,
            true => options.sound_barred_from,
            false => options.barred_from,
        }
    }

    /// An endpoint is known to have ended: nothing listens at its address, or the
    /// platform lists it no more although it was not leaving.
    pub fn note_endpoint_ended(&mut self, now: Time, endpoint: u32) {
        for fingerprint in self.quarantine.note_ended(now, endpoint) {
            self.note_change(now, fingerprint, Evidence::Charged);
        }
    }

    /// An endpoint lives at which an attempt broke.
    pub fn note_endpoint_alive(&mut self, endpoint: u32) {
        self.quarantine.note_alive(endpoint);
    }

    /// The whole answer to a request came.
    pub(super) fn note_whole(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.quarantine.note_whole(now, fingerprint) {
            self.note_change(now, fingerprint, Evidence::Cleared);
        }
    }

    /// Takes what another node knows.
    pub fn take_findings(&mut self, now: Time, findings: &[Finding]) {
        for finding in findings {
            if self.quarantine.take(now, finding) {
                self.note_change(now, finding.fingerprint, Evidence::Heard);
            }
        }
    }

    fn note_change(&mut self, now: Time, fingerprint: Fingerprint, what: Evidence) {
        let barred = self.is_barred(now, fingerprint);
        let record = self.quarantine.get(fingerprint);
        self.changes.push(Change {
            fingerprint,
            what,
            ends: record.map_or(0, |record| record.ends.len()),
            barred,
        });
        // Others are to know before the request comes to them.
        self.urgent = true;
        self.news = true;
        if barred {
            self.refuse_barred(now, fingerprint);
        }
    }

    /// Refuses what waits of a request that is barred from now on. What waits for
    /// other nodes, these withdraw.
    fn refuse_barred(&mut self, now: Time, fingerprint: Fingerprint) {
        let is_it = |job: &Job| job.fingerprint == fingerprint && !job.trial;
        let queues = self.pools.values().map(|pool| &pool.queue);
        let waiting = queues.flat_map(|queue| queue.iter());
        let waiting = waiting.filter(|(_, job)| job.origin.is_none() && is_it(job));
        let asked = self.questions.iter();
        let asked = asked.filter(|(_, question)| question.job.as_ref().is_some_and(is_it));
        let ids: Vec<job::Id> = waiting
            .map(|(id, _)| id)
            .chain(asked.map(|(id, _)| *id))
            .collect();
        for id in ids {
            let target = self.places.get(&id).cloned();
            self.withdraw(id);
            if let Some(pool) = target.and_then(|target| self.pools.get_mut(&target)) {
                pool.queue.remove(id);
            }
            let refusal = self.barred(now, fingerprint);
            self.refuse(now, id, None, refusal);
        }
    }

    /// Says why a request of this node's callers is not run, if it is barred; or begins
    /// the one more trial that it may have.
    pub(super) fn bar(&mut self, now: Time, job: &mut Job) -> Option<Refusal> {
        if job.trial || !self.is_barred(now, job.fingerprint) {
            return None;
        }
        if !job.is_newcomer() || !self.may_try(now, job.fingerprint) {
            return Some(self.barred(now, job.fingerprint));
        }
        job.trial = true;
        self.quarantine.note_trial(now, job.fingerprint);
        let record = self.quarantine.get(job.fingerprint);
        self.changes.push(Change {
            fingerprint: job.fingerprint,
            what: Evidence::Trial,
            ends: record.map_or(0, |record| record.ends.len()),
            barred: true,
        });
        self.urgent = true;
        self.news = true;
        None
    }

    /// What the caller of a barred request is told: to come back when it may be tried
    /// once more, but not at once, since many may come; and where it is not tried again,
    /// after [`MENDED_AFTER`].
    fn barred(&self, now: Time, fingerprint: Fingerprint) -> Refusal {
        let options = self.quarantine.options();
        let record = self.quarantine.get(fingerprint);
        let after = record.and_then(|record| {
            let after = self.quarantine.trial_after_opt(record)?;
            let left = after.0.saturating_sub(now.since(record.last).0);
            Some(Span(left).max(after.min(options.trial_after)))
        });
        Refusal {
            code: Code::Barred,
            retry_after: Some(after.unwrap_or(MENDED_AFTER)),
            wait: None,
            owner: None,
        }
    }

    /// True where this node may try a barred request once more: its time has come, no
    /// node is silent, which might do the same, and it is this node's turn. The turn is
    /// that of the request's owner among the nodes at first, and then of twice as many
    /// for each while that nothing is heard of a trial.
    fn may_try(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.quarantine.get(fingerprint) else {
            return false;
        };
        let Some(after) = self.quarantine.trial_after_opt(record) else {
            return false;
        };
        let since = now.since(record.last);
        if since < after || self.members.reach(now).silent > 0 {
            return false;
        }
        let turn = (since.0 - after.0) / self.quarantine.options().trial_turn.0.max(1);
        let score = |node: &SocketAddrV4| hash::chain(fingerprint.0, &node.ip().octets());
        let own = score(&self.options.own);
        let before = self.members.live(now);
        let before = before.filter(|(node, _)| score(node) > own).count() as u64;
        before < 1 << turn.min(TURNS_MOST)
    }

    /// How a request is kept apart from suspects, where it is one itself. One that was
    /// sound before need not wait for another of its kind.
    pub(super) fn keep_apart(&self, now: Time, target: &id::Target, job: &Job) -> Option<Apart> {
        let record = self.quarantine.get(job.fingerprint)?;
        if record.ends.is_empty() {
            return None;
        }
        let runs = self.runs.values();
        let begun = runs.filter(|run| {
            run.job.target == *target
                && now.since(run.started) < BEGINS_FOR
                && self.quarantine.is_suspect(run.job.fingerprint)
        });
        let mut apart = Apart {
            begins: false,
            beside: HashSet::new(),
        };
        for run in begun {
            apart.begins |= run.job.fingerprint == job.fingerprint && !record.was_sound();
            apart.beside.insert(run.worker);
        }
        Some(apart)
    }

    /// Sends what this node knows to one that knows other things.
    pub(super) fn answer_digest(&mut self, now: Time, to: SocketAddrV4, theirs: u32) {
        let ours = self.quarantine.digest();
        if ours == theirs || ours == 0 || !self.is_teller(now, to) {
            return;
        }
        let every = self.quarantine.options().send_every;
        if !self
            .members
            .record_findings_sent(now, to, (ours, theirs), every)
        {
            return;
        }
        let findings = self.quarantine.findings(now);
        self.outbox.push((to, Message::Findings(findings)));
    }

    /// True for the nodes of the cell of another, and some beyond it.
    fn is_teller(&self, now: Time, to: SocketAddrV4) -> bool {
        if self.members.is_in_cell(to) {
            return true;
        }
        let mixed = hash::chain(self.options.incarnation, &now.0.to_le_bytes());
        let mixed = hash::chain(mixed, &to.ip().octets());
        mixed % (self.members.len() as u64).max(1) < TELLERS
    }
}
