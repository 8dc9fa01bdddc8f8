//! All requests during which endpoints crashed, in bounded memory.

use std::collections::HashMap;
use std::collections::VecDeque;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Finding;
use super::Options;
use super::Record;
use crate::job::Fingerprint;

/// A broken attempt whose endpoint may have crashed.
#[derive(Debug)]
struct BrokenAttempt {
    fingerprint: Fingerprint,
    endpoint: u32,
    at: Time,
}

/// The quarantine knowledge of one node.
#[derive(Debug)]
pub struct Registry {
    options: Options,
    records: HashMap<Fingerprint, Record>,
    /// The digests of all records, combined by XOR.
    digest: u32,
    /// Recent changes, oldest first.
    recent_changes: VecDeque<(Time, Fingerprint)>,
    broken_attempts: VecDeque<BrokenAttempt>,
    /// Requests that were answered completely, in a table indexed by hash. A later
    /// request replaces an earlier one in the same slot.
    known_good: Vec<Option<Fingerprint>>,
    /// The offset of the next message's findings, so that all of them are sent
    /// eventually.
    rotation: usize,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(options: Options) -> Registry {
        Registry {
            known_good: vec![None; options.max_known_good.max(1)],
            options,
            records: HashMap::new(),
            digest: 0,
            recent_changes: VecDeque::new(),
            broken_attempts: VecDeque::new(),
            rotation: 0,
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the record of a request, if endpoints crashed while running it.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// Whether an endpoint crashed while running a request since it was last cleared.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| !record.ends.is_empty())
    }

    /// Returns a digest that is equal on nodes with the same knowledge.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Record)> + '_ {
        let records = self.records.iter();
        records.map(|(fingerprint, record)| (*fingerprint, record))
    }

    /// Records a complete answer. Returns true if the request had been charged.
    pub fn record_whole(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let slot = self.known_good_slot(fingerprint);
        self.known_good[slot] = Some(fingerprint);
        if !self.is_suspect(fingerprint) {
            return false;
        }
        self.change(now, fingerprint, |record| record.clear(now));
        true
    }

    /// Records that an attempt broke and its endpoint may have crashed.
    pub fn record_broken(&mut self, now: Time, fingerprint: Fingerprint, endpoint: u32) {
        if self.broken_attempts.len() >= self.options.max_unconfirmed {
            self.broken_attempts.pop_front();
        }
        self.broken_attempts.push_back(BrokenAttempt {
            fingerprint,
            endpoint,
            at: now,
        });
    }

    /// Records that an endpoint is alive, so that its broken attempts are not charged.
    pub fn record_alive(&mut self, endpoint: u32) {
        self.broken_attempts
            .retain(|attempt| attempt.endpoint != endpoint);
    }

    /// Records that an endpoint crashed. Charges the requests whose attempts broke at the
    /// endpoint and returns their fingerprints.
    pub fn record_ended(&mut self, now: Time, endpoint: u32) -> Vec<Fingerprint> {
        let broken = self.broken_attempts.iter();
        let broken = broken.filter(|attempt| attempt.endpoint == endpoint);
        let mut charged: Vec<Fingerprint> = broken.map(|attempt| attempt.fingerprint).collect();
        charged.sort_unstable();
        charged.dedup();
        self.record_alive(endpoint);
        for fingerprint in &charged {
            let known_good = self.is_known_good(*fingerprint);
            self.change(now, *fingerprint, |record| {
                record.cleared = record.cleared.max(u32::from(known_good));
                record.charge(now, endpoint);
            });
        }
        charged
    }

    /// Records the trial of a barred request.
    pub fn record_trial(&mut self, now: Time, fingerprint: Fingerprint) {
        self.change(now, fingerprint, |record| {
            record.trials = record.trials.saturating_add(1);
            record.last = now;
        });
    }

    /// Merges the finding of another node. Returns true if it changed the record.
    pub fn merge(&mut self, now: Time, finding: &Finding) -> bool {
        let mut record = finding.to_record(now);
        let old = now.since(record.last) > self.options.forget_after;
        if old && record.ends.len() < self.options.bar_threshold {
            return false;
        }
        if self.is_known_good(finding.fingerprint) {
            record.cleared = record.cleared.max(1);
        }
        self.change(now, finding.fingerprint, |known| known.join(&record))
    }

    /// Returns the findings to include in a status: recent changes, newest first.
    pub fn recent_findings(&self, now: Time) -> Vec<Finding> {
        let mut findings: Vec<Finding> = Vec::new();
        for (at, fingerprint) in self.recent_changes.iter().rev() {
            if findings.len() >= self.options.max_findings_per_status
                || now.since(*at) > self.options.announce_for
            {
                break;
            }
            let included = findings
                .iter()
                .any(|finding| finding.fingerprint == *fingerprint);
            if let Some(record) = self.records.get(fingerprint).filter(|_| !included) {
                findings.push(record.to_finding(now, *fingerprint));
            }
        }
        findings
    }

    /// Returns the findings to send to a node with a different digest. If they do not fit
    /// in one message, half of it holds the requests with the most crashes, and the other
    /// half rotates through the rest over successive calls.
    pub fn findings(&mut self, now: Time) -> Vec<Finding> {
        let max_findings = self.options.max_findings_per_message;
        let mut all: Vec<(Fingerprint, &Record)> = self.iter().collect();
        all.sort_unstable_by_key(|(fingerprint, record)| {
            (std::cmp::Reverse(record.ends.len()), *fingerprint)
        });
        if all.len() > max_findings {
            let rest = &mut all[max_findings / 2..];
            let turns = self.rotation % rest.len();
            rest.rotate_left(turns);
        }
        let selected = all.iter().take(max_findings);
        let findings = selected.map(|(fingerprint, record)| record.to_finding(now, *fingerprint));
        let findings = findings.collect();
        self.rotation = self.rotation.wrapping_add(max_findings / 2);
        findings
    }

    /// Removes broken attempts that were not confirmed in time, and old records with
    /// fewer crashes than [`Options::bar_threshold`].
    pub fn expire(&mut self, now: Time) {
        let timeout = self.options.unconfirmed_timeout;
        while let Some(attempt) = self.broken_attempts.front() {
            if now.since(attempt.at) <= timeout {
                break;
            }
            self.broken_attempts.pop_front();
        }
        while let Some((at, _)) = self.recent_changes.front() {
            if now.since(*at) <= self.options.announce_for {
                break;
            }
            self.recent_changes.pop_front();
        }
        let expired = self.iter().filter(|(_, record)| {
            record.ends.len() < self.options.bar_threshold
                && now.since(record.last) > self.options.forget_after
        });
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| fingerprint).collect();
        for fingerprint in expired {
            self.remove(fingerprint);
        }
    }

    /// Returns the time after which a barred request may get a trial; `None` if it may
    /// not.
    pub fn trial_delay_opt(&self, record: &Record) -> Option<Span> {
        if record.was_cleared() {
            let delay =
                self.options.cleared_trial_delay.0 << record.trials.min(MAX_TRIAL_DOUBLINGS);
            return Some(Span(delay));
        }
        (record.trials < self.options.max_trials).then_some(self.options.trial_delay)
    }

    /// Changes a record. Returns true if the result differs.
    fn change(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        change: impl FnOnce(&mut Record),
    ) -> bool {
        let before = self.records.get(&fingerprint).cloned().unwrap_or_default();
        let mut after = before.clone();
        change(&mut after);
        if after.digest(fingerprint) == before.digest(fingerprint) {
            return false;
        }
        self.remove(fingerprint);
        self.evict_if_full();
        self.digest ^= after.digest(fingerprint);
        self.records.insert(fingerprint, after);
        self.recent_changes.push_back((now, fingerprint));
        if self.recent_changes.len() > self.options.max_records {
            self.recent_changes.pop_front();
        }
        true
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.remove(&fingerprint) {
            self.digest ^= record.digest(fingerprint);
        }
    }

    /// Removes a record if the registry is full: the oldest with fewer crashes than
    /// [`Options::bar_threshold`], or the oldest of all if there is none.
    fn evict_if_full(&mut self) {
        if self.records.len() < self.options.max_records {
            return;
        }
        let bar_threshold = self.options.bar_threshold;
        let oldest = self.iter().min_by_key(|(fingerprint, record)| {
            (
                record.ends.len() >= bar_threshold,
                record.last,
                *fingerprint,
            )
        });
        if let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint) {
            self.remove(oldest);
        }
    }

    fn is_known_good(&self, fingerprint: Fingerprint) -> bool {
        self.known_good[self.known_good_slot(fingerprint)] == Some(fingerprint)
    }

    fn known_good_slot(&self, fingerprint: Fingerprint) -> usize {
        (fingerprint.0 % self.known_good.len() as u64) as usize
    }
}

/// The maximum number of times that the delay of a trial doubles: from a second up to 17
/// minutes.
const MAX_TRIAL_DOUBLINGS: u8 = 10;
