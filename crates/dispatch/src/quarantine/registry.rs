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
struct Broken {
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
    fresh: VecDeque<(Time, Fingerprint)>,
    broken: VecDeque<Broken>,
    /// Requests whose whole answer came, each in a place of its own; a later one takes
    /// the place.
    sound: Vec<Option<Fingerprint>>,
    /// Turns what is sent, so that all of it is sent in time.
    sent: usize,
}

impl Registry {
    /// Nothing known yet.
    pub fn new(options: Options) -> Registry {
        Registry {
            sound: vec![None; options.sound.max(1)],
            options,
            records: HashMap::new(),
            digest: 0,
            fresh: VecDeque::new(),
            broken: VecDeque::new(),
            sent: 0,
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
        let place = self.place(fingerprint);
        self.sound[place] = Some(fingerprint);
        if !self.is_suspect(fingerprint) {
            return false;
        }
        self.change(now, fingerprint, |record| record.clear(now));
        true
    }

    /// An attempt broke: its endpoint may have ended.
    pub fn note_broken(&mut self, now: Time, fingerprint: Fingerprint, endpoint: u32) {
        if self.broken.len() >= self.options.unconfirmed {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken {
            fingerprint,
            endpoint,
            at: now,
        });
    }

    /// An endpoint has not ended: what broke there broke for another reason.
    pub fn note_alive(&mut self, endpoint: u32) {
        self.broken.retain(|broken| broken.endpoint != endpoint);
    }

    /// An endpoint has ended. Charges what broke there, and says what that was.
    pub fn note_ended(&mut self, now: Time, endpoint: u32) -> Vec<Fingerprint> {
        let under = self.broken.iter();
        let under = under.filter(|broken| broken.endpoint == endpoint);
        let mut charged: Vec<Fingerprint> = under.map(|broken| broken.fingerprint).collect();
        charged.sort_unstable();
        charged.dedup();
        self.note_alive(endpoint);
        for fingerprint in &charged {
            let sound = self.is_known_sound(*fingerprint);
            self.change(now, *fingerprint, |record| {
                record.cleared = record.cleared.max(u32::from(sound));
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
    pub fn take(&mut self, now: Time, finding: &Finding) -> bool {
        let mut record = finding.to_record(now);
        let old = now.since(record.last) > self.options.forget_after;
        if old && record.ends.len() < self.options.barred_from {
            return false;
        }
        if self.is_known_sound(finding.fingerprint) {
            record.cleared = record.cleared.max(1);
        }
        self.change(now, finding.fingerprint, |known| known.join(&record))
    }

    /// What is told in a status: what changed lately, the newest first.
    pub fn news(&self, now: Time) -> Vec<Finding> {
        let mut told: Vec<Finding> = Vec::new();
        for (at, fingerprint) in self.fresh.iter().rev() {
            if told.len() >= self.options.told || now.since(*at) > self.options.fresh_for {
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
        let most = self.options.sent;
        let mut all: Vec<(Fingerprint, &Record)> = self.iter().collect();
        all.sort_unstable_by_key(|(fingerprint, record)| {
            (std::cmp::Reverse(record.ends.len()), *fingerprint)
        });
        if all.len() > most {
            let rest = &mut all[most / 2..];
            let turns = self.sent % rest.len();
            rest.rotate_left(turns);
        }
        let told = all.iter().take(most);
        let findings = told.map(|(fingerprint, record)| record.to_finding(now, *fingerprint));
        let findings = findings.collect();
        self.sent = self.sent.wrapping_add(most / 2);
        findings
    }

    /// Forgets what is old: attempts that nothing was heard of, and requests that are
    /// not barred.
    pub fn forget(&mut self, now: Time) {
        let most = self.options.unconfirmed_for;
        while let Some(broken) = self.broken.front() {
            if now.since(broken.at) <= most {
                break;
            }
            self.broken.pop_front();
        }
        while let Some((at, _)) = self.fresh.front() {
            if now.since(*at) <= self.options.fresh_for {
                break;
            }
            self.fresh.pop_front();
        }
        let old = self.iter().filter(|(_, record)| {
            record.ends.len() < self.options.barred_from
                && now.since(record.last) > self.options.forget_after
        });
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| fingerprint).collect();
        for fingerprint in old {
            self.remove(fingerprint);
        }
    }

    /// The time after which a barred request may be tried once more; nothing where it
    /// is not.
    pub fn trial_after_opt(&self, record: &Record) -> Option<Span> {
        if record.was_sound() {
            let doubled =
                self.options.sound_trial_after.0 << record.trials.min(MAX_BACKOFF_DOUBLINGS);
            return Some(Span(doubled));
        }
        (record.trials < self.options.trials).then_some(self.options.trial_after)
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
        self.make_room();
        self.digest ^= after.digest(fingerprint);
        self.records.insert(fingerprint, after);
        self.fresh.push_back((now, fingerprint));
        if self.fresh.len() > self.options.records {
            self.fresh.pop_front();
        }
        true
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.remove(&fingerprint) {
            self.digest ^= record.digest(fingerprint);
        }
    }

    /// Forgets the oldest of those that are not barred, or the oldest of all.
    fn make_room(&mut self) {
        if self.records.len() < self.options.records {
            return;
        }
        let barred_from = self.options.barred_from;
        let oldest = self.iter().min_by_key(|(fingerprint, record)| {
            (record.ends.len() >= barred_from, record.last, *fingerprint)
        });
        if let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint) {
            self.remove(oldest);
        }
    }

    fn is_known_sound(&self, fingerprint: Fingerprint) -> bool {
        self.sound[self.place(fingerprint)] == Some(fingerprint)
    }

    fn place(&self, fingerprint: Fingerprint) -> usize {
        (fingerprint.0 % self.sound.len() as u64) as usize
    }
}

/// How often the time until the next trial doubles: up to 17 minutes from a second.
const MAX_BACKOFF_DOUBLINGS: u8 = 10;
