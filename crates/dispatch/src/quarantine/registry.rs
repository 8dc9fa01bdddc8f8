//! All requests under which endpoints ended, in bounded memory.

use std::collections::HashMap;
use std::collections::VecDeque;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Finding;
use super::Options;
use super::Record;
use crate::job::Fingerprint;

/// A broken attempt of which it is not known yet whether its endpoint has ended.
#[derive(Debug)]
struct BrokenAttempt {
    fingerprint: Fingerprint,
    endpoint: u32,
    at: Time,
}

/// All that one node knows.
#[derive(Debug)]
pub struct Registry {
    options: Options,
    records: HashMap<Fingerprint, Record>,
    /// The digests of all records, joined.
    digest: u32,
    /// What changed lately, oldest first.
    recent_changes: VecDeque<(Time, Fingerprint)>,
    broken_attempts: VecDeque<BrokenAttempt>,
    /// Requests whose whole answer came, each in a place of its own; a later one takes
    /// the place.
    known_good: Vec<Option<Fingerprint>>,
    /// Turns what is sent, so that all of it is sent in time.
    rotation: usize,
}

impl Registry {
    /// Nothing known yet.
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

    /// The bounds.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// What is known of a request, where endpoints ended under it.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// True where an endpoint ended under a request since it was last sound.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| !record.ends.is_empty())
    }

    /// Names all that is known: nodes that know the same have the same.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Everything that is known.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Record)> + '_ {
        let records = self.records.iter();
        records.map(|(fingerprint, record)| (*fingerprint, record))
    }

    /// A whole answer came. True where the request had been charged.
    pub fn note_whole(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let slot = self.known_good_slot(fingerprint);
        self.known_good[slot] = Some(fingerprint);
        if !self.is_suspect(fingerprint) {
            return false;
        }
        self.change(now, fingerprint, |record| record.clear(now));
        true
    }

    /// An attempt broke: its endpoint may have ended.
    pub fn note_broken(&mut self, now: Time, fingerprint: Fingerprint, endpoint: u32) {
        if self.broken_attempts.len() >= self.options.max_unconfirmed {
            self.broken_attempts.pop_front();
        }
        self.broken_attempts.push_back(BrokenAttempt {
            fingerprint,
            endpoint,
            at: now,
        });
    }

    /// An endpoint has not ended: what broke there broke for another reason.
    pub fn note_alive(&mut self, endpoint: u32) {
        self.broken_attempts
            .retain(|attempt| attempt.endpoint != endpoint);
    }

    /// An endpoint has ended. Charges what broke there, and says what that was.
    pub fn note_ended(&mut self, now: Time, endpoint: u32) -> Vec<Fingerprint> {
        let under = self.broken_attempts.iter();
        let under = under.filter(|attempt| attempt.endpoint == endpoint);
        let mut charged: Vec<Fingerprint> = under.map(|attempt| attempt.fingerprint).collect();
        charged.sort_unstable();
        charged.dedup();
        self.note_alive(endpoint);
        for fingerprint in &charged {
            let known_good = self.is_known_good(*fingerprint);
            self.change(now, *fingerprint, |record| {
                record.cleared = record.cleared.max(u32::from(known_good));
                record.charge(now, endpoint);
            });
        }
        charged
    }

    /// A barred request is tried once more.
    pub fn note_trial(&mut self, now: Time, fingerprint: Fingerprint) {
        self.change(now, fingerprint, |record| {
            record.trials = record.trials.saturating_add(1);
            record.last = now;
        });
    }

    /// Takes what another node knows; true where that was news.
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

    /// What is told in a status: what changed lately, the newest first.
    pub fn recent_findings(&self, now: Time) -> Vec<Finding> {
        let mut told: Vec<Finding> = Vec::new();
        for (at, fingerprint) in self.recent_changes.iter().rev() {
            if told.len() >= self.options.max_findings_per_status
                || now.since(*at) > self.options.announce_for
            {
                break;
            }
            let known = told.iter().any(|one| one.fingerprint == *fingerprint);
            if let Some(record) = self.records.get(fingerprint).filter(|_| !known) {
                told.push(record.to_finding(now, *fingerprint));
            }
        }
        told
    }

    /// What is sent to a node that knows others: what is barred first, and with each
    /// call others of the rest.
    pub fn findings(&mut self, now: Time) -> Vec<Finding> {
        let most = self.options.max_findings_per_message;
        let mut all: Vec<(Fingerprint, &Record)> = self.iter().collect();
        all.sort_unstable_by_key(|(fingerprint, record)| {
            (std::cmp::Reverse(record.ends.len()), *fingerprint)
        });
        if all.len() > most {
            let rest = &mut all[most / 2..];
            let turns = self.rotation % rest.len();
            rest.rotate_left(turns);
        }
        let told = all.iter().take(most);
        let findings = told.map(|(fingerprint, record)| record.to_finding(now, *fingerprint));
        let findings = findings.collect();
        self.rotation = self.rotation.wrapping_add(most / 2);
        findings
    }

    /// Forgets what is old: attempts that nothing was heard of, and requests that are
    /// not barred.
    pub fn expire(&mut self, now: Time) {
        let most = self.options.unconfirmed_timeout;
        while let Some(attempt) = self.broken_attempts.front() {
            if now.since(attempt.at) <= most {
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
        let old = self.iter().filter(|(_, record)| {
            record.ends.len() < self.options.bar_threshold
                && now.since(record.last) > self.options.forget_after
        });
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| fingerprint).collect();
        for fingerprint in old {
            self.remove(fingerprint);
        }
    }

    /// The time after which a barred request may be tried once more; nothing where it
    /// is not.
    pub fn trial_delay_opt(&self, record: &Record) -> Option<Span> {
        if record.was_cleared() {
            let doubled =
                self.options.cleared_trial_delay.0 << record.trials.min(MAX_TRIAL_DOUBLINGS);
            return Some(Span(doubled));
        }
        (record.trials < self.options.max_trials).then_some(self.options.trial_delay)
    }

    /// Changes what is known of a request; true where that is other than before.
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

    /// Forgets the oldest of those that are not barred, or the oldest of all.
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

/// How often the time until the next trial doubles: up to 17 minutes from a second.
const MAX_TRIAL_DOUBLINGS: u8 = 10;
