//! The features of all requests during which endpoints crashed, in bounded memory.

use std::collections::VecDeque;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Attribution;
use super::Feature;
use super::Features;
use super::Finding;
use super::Options;
use super::Record;
use super::attribution::Settling;
use crate::map::HashMap;

/// An attempt whose endpoint may have crashed.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The features of its request.
    pub features: Features,
    /// The number of its endpoint.
    pub endpoint: u32,
    /// How it ended.
    pub end: AttemptEnd,
}

/// How an attempt ended whose endpoint may have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its answer did not come, or broke off soon after it began.
    Broken,
    /// Its answer broke off after it had gone on for so long that it is unlikely to be the cause.
    BrokenLate,
    /// Its answer ended with its connection, which the crash may have closed.
    Closed,
}

/// A change to announce in statuses.
#[derive(Debug)]
struct RecentChange {
    at: Time,
    feature: Feature,
    /// Whether the record is significant or was before the change.
    is_significant: bool,
}

/// The quarantine knowledge of one node.
#[derive(Debug)]
pub struct Registry {
    options: Options,
    records: HashMap<Feature, Record>,
    /// The digests of all significant records, combined by XOR.
    digest: u32,
    /// Recent changes, oldest first.
    recent_changes: VecDeque<RecentChange>,
    /// Whether a significant record has changed since this was last asked for.
    has_significant_change: bool,
    /// Attempts whose endpoints may have crashed, and when they ended.
    unconfirmed: VecDeque<(Time, Attempt)>,
    /// Features of requests that were answered completely, and when, in a table indexed by
    /// hash. A later one replaces an earlier one in the same slot.
    known_good: Vec<Option<(Feature, Time)>>,
    /// The offset of the next message's findings, so that all of them are sent
    /// eventually.
    rotation: usize,
    /// The same for statuses.
    status_rotation: usize,
    /// What is barred while this node hears at least half of the fleet, and while it doesn't.
    attributions: [Attribution; 2],
    /// Parts that are not barred yet because a complete answer may still clear them.
    settling: Settling,
    /// Whether records changed since the attributions were computed.
    is_outdated: bool,
    /// When they were last computed, or found up to date.
    refreshed_at: Time,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(options: Options) -> Registry {
        Registry {
            known_good: vec![None; options.max_known_good.max(1)],
            options,
            records: HashMap::default(),
            digest: 0,
            recent_changes: VecDeque::new(),
            has_significant_change: false,
            unconfirmed: VecDeque::new(),
            rotation: 0,
            status_rotation: 0,
            attributions: Default::default(),
            settling: Settling::default(),
            is_outdated: false,
            refreshed_at: Time(0),
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the record of a feature, if endpoints crashed while running requests with it.
    pub fn get(&self, feature: impl Into<Feature>) -> Option<&Record> {
        self.records.get(&feature.into())
    }

    /// Whether an endpoint crashed while running a request with a feature since it was last
    /// cleared.
    pub fn is_suspect(&self, feature: impl Into<Feature>) -> bool {
        let record = self.records.get(&feature.into());
        record.is_some_and(|record| !record.ends.is_empty())
    }

    /// Whether a feature is charged with a crash that no other barred feature explains. A part
    /// that was cleared before doesn't count: it is charged with most crashes if it is common.
    pub fn is_unexplained_suspect(&self, feature: Feature) -> bool {
        let Some(record) = self.records.get(&feature) else {
            return false;
        };
        if feature.is_part() && record.was_cleared() {
            return false;
        }
        let [attribution, _] = &self.attributions;
        let mut ends = record.ends.iter();
        attribution.contains(feature) || ends.any(|end| !attribution.explains(*end))
    }

    /// Whether any feature of a request is such a suspect.
    pub fn has_unexplained_suspect(&self, features: &Features) -> bool {
        let mut features = features.iter();
        features.any(|feature| self.is_unexplained_suspect(feature))
    }

    /// Returns what is barred, as of the last [`Registry::refresh`]. `is_partitioned` tells whether
    /// this node hears less than half of the fleet.
    pub fn attribution(&self, is_partitioned: bool) -> &Attribution {
        let [whole, partitioned] = &self.attributions;
        match is_partitioned {
            true => partitioned,
            false => whole,
        }
    }

    /// Computes what is barred, if that may have changed.
    pub fn refresh(&mut self, now: Time) {
        let settle_time = self.options.settle_time;
        let last = std::mem::replace(&mut self.refreshed_at, now);
        let mut settling = self.settling.values();
        let has_settled =
            settling.any(|since| *since + settle_time > last && *since + settle_time <= now);
        if !self.is_outdated && !has_settled {
            return;
        }
        self.is_outdated = false;
        let threshold = self.options.cleared_bar_threshold;
        self.settling.retain(|feature, _| {
            let record = self.records.get(feature);
            record.is_some_and(|record| record.was_cleared() && record.ends.len() >= threshold)
        });
        for (attribution, is_partitioned) in self.attributions.iter_mut().zip([false, true]) {
            let records = self.records.iter();
            let records = records.map(|(feature, record)| (*feature, record));
            *attribution = Attribution::new(
                now,
                &self.options,
                is_partitioned,
                records,
                &mut self.settling,
            );
        }
    }

    /// Returns a digest that is equal on nodes with the same significant records.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Whether no endpoint crashed as far as is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = (Feature, &Record)> + '_ {
        let records = self.records.iter();
        records.map(|(feature, record)| (*feature, record))
    }

    /// Records that a request with these features was answered completely. Returns those that
    /// had been charged.
    pub fn record_whole(
        &mut self,
        now: Time,
        features: impl Iterator<Item = Feature>,
    ) -> Vec<Feature> {
        let mut cleared = Vec::new();
        for feature in features {
            let slot = self.known_good_slot(feature);
            self.known_good[slot] = Some((feature, now));
            if self.is_suspect(feature) {
                self.change(now, feature, |record| record.clear(now));
                cleared.push(feature);
            }
        }
        cleared
    }

    /// Records that an attempt ended and its endpoint may have crashed.
    pub fn record_unconfirmed(&mut self, now: Time, attempt: Attempt) {
        if self.unconfirmed.len() >= self.options.max_unconfirmed {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back((now, attempt));
    }

    /// Records that an endpoint is alive, so that the attempts that broke there are not charged.
    pub fn record_alive(&mut self, endpoint: u32) {
        self.unconfirmed.retain(|(_, attempt)| {
            attempt.endpoint != endpoint || attempt.end == AttemptEnd::Closed
        });
    }

    /// Records that an endpoint answers a request: answers that ended with their connections some
    /// time ago were complete. Returns those of their features that had been charged.
    pub fn record_answering(&mut self, now: Time, endpoint: u32) -> Vec<Feature> {
        let mut complete = Vec::new();
        let closed_time = self.options.closed_time;
        self.unconfirmed.retain(|(at, attempt)| {
            let is_complete = attempt.endpoint == endpoint
                && attempt.end == AttemptEnd::Closed
                && now.since(*at) >= closed_time;
            if is_complete {
                complete.extend(attempt.features.iter());
            }
            !is_complete
        });
        self.record_whole(now, complete.into_iter())
    }

    /// Records that an endpoint crashed. Charges the features of the requests whose attempts
    /// broke there and returns them. A request whose answer had gone on for long is charged only
    /// if there is no other.
    pub fn record_ended(&mut self, now: Time, endpoint: u32) -> Vec<Feature> {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let (here, elsewhere): (VecDeque<_>, VecDeque<_>) = unconfirmed
            .into_iter()
            .partition(|(_, attempt)| attempt.endpoint == endpoint);
        self.unconfirmed = elsewhere;
        let (late, likely): (Vec<_>, Vec<_>) = here
            .into_iter()
            .partition(|(_, attempt)| attempt.end == AttemptEnd::BrokenLate);
        let attempts = if likely.is_empty() { late } else { likely };
        let features = attempts
            .iter()
            .flat_map(|(_, attempt)| attempt.features.iter());
        let mut charged: Vec<Feature> = features
            .filter(|feature| !feature.is_part() || !self.was_good_recently(now, *feature))
            .collect();
        charged.sort_unstable();
        charged.dedup();
        for feature in &charged {
            let known_good = self.is_known_good(*feature);
            self.change(now, *feature, |record| {
                record.cleared = record.cleared.max(u32::from(known_good));
                record.charge(now, endpoint);
            });
        }
        charged
    }

    /// Records the trial of a barred request.
    pub fn record_trial(&mut self, now: Time, feature: Feature) {
        self.change(now, feature, |record| {
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
        if self.is_known_good(finding.feature) {
            record.cleared = record.cleared.max(1);
        }
        let known = self.records.get(&finding.feature);
        let is_outdated = known.is_some_and(|known| record.cleared < known.cleared);
        if is_outdated {
            self.announce(now, finding.feature, record.is_significant());
            return false;
        }
        self.change(now, finding.feature, |known| known.join(&record))
    }

    /// Returns the findings to include in a status: recent changes, few of them insignificant. They
    /// rotate over successive calls.
    pub fn recent_findings(&mut self, now: Time) -> Vec<Finding> {
        let recent = self.recent_changes.iter().rev();
        let recent = recent.take_while(|change| now.since(change.at) <= self.options.announce_for);
        let mut is_significant: HashMap<Feature, bool> = HashMap::default();
        for change in recent {
            *is_significant.entry(change.feature).or_default() |= change.is_significant;
        }
        let features = is_significant.keys().copied();
        let records = features.filter_map(|feature| Some((feature, self.records.get(&feature)?)));
        let (significant, others): (Vec<_>, Vec<_>) =
            records.partition(|(feature, _)| is_significant[feature]);
        let options = &self.options;
        let rotation = &mut self.status_rotation;
        let mut selected = select(significant, options.max_findings_per_status, rotation);
        let left = options.max_findings_per_status - selected.len();
        let max_others = left.min(options.max_insignificant_per_status);
        selected.extend(select(others, max_others, rotation));
        let findings = selected.into_iter();
        let findings = findings.map(|(feature, record)| record.to_finding(now, feature));
        findings.collect()
    }

    /// Returns whether a significant record has changed since the last call, so that other nodes
    /// should hear of it at once.
    pub fn take_significant_change(&mut self) -> bool {
        std::mem::take(&mut self.has_significant_change)
    }

    /// Returns the findings, without the insignificant ones, for a node with a different digest. If they do not fit
    /// in one message, half of it holds the features with the most crashes, and the other
    /// half rotates through the rest over successive calls.
    pub fn findings(&mut self, now: Time) -> Vec<Finding> {
        let max_findings = self.options.max_findings_per_message;
        let records = self.records.iter();
        let records = records.map(|(feature, record)| (*feature, record));
        let told = records.filter(|(_, record)| record.is_significant() || record.was_cleared());
        let selected = select(told.collect(), max_findings, &mut self.rotation);
        let findings = selected.into_iter();
        let findings = findings.map(|(feature, record)| record.to_finding(now, feature));
        findings.collect()
    }

    /// Removes attempts that were not confirmed in time, and old records with
    /// fewer crashes than [`Options::bar_threshold`].
    pub fn expire(&mut self, now: Time) {
        let timeout = self.options.unconfirmed_timeout;
        while let Some((at, _)) = self.unconfirmed.front() {
            if now.since(*at) <= timeout {
                break;
            }
            self.unconfirmed.pop_front();
        }
        while let Some(change) = self.recent_changes.front() {
            if now.since(change.at) <= self.options.announce_for {
                break;
            }
            self.recent_changes.pop_front();
        }
        let expired = self.iter().filter(|(_, record)| {
            record.ends.len() < self.options.bar_threshold
                && now.since(record.last) > self.options.forget_after
        });
        let expired: Vec<Feature> = expired.map(|(feature, _)| feature).collect();
        for feature in expired {
            self.remove(feature);
        }
        self.refresh(now);
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
    fn change(&mut self, now: Time, feature: Feature, change: impl FnOnce(&mut Record)) -> bool {
        let before = self.records.get(&feature).cloned().unwrap_or_default();
        let mut after = before.clone();
        change(&mut after);
        if after.digest(feature) == before.digest(feature) {
            return false;
        }
        self.remove(feature);
        self.evict_if_full();
        if after.is_significant() {
            self.digest ^= after.digest(feature);
        }
        let is_significant = before.is_significant() || after.is_significant();
        self.records.insert(feature, after);
        self.announce(now, feature, is_significant);
        true
    }

    /// Includes a feature in the statuses from now on for a while.
    fn announce(&mut self, now: Time, feature: Feature, is_significant: bool) {
        self.has_significant_change |= is_significant;
        self.recent_changes.push_back(RecentChange {
            at: now,
            feature,
            is_significant,
        });
        if self.recent_changes.len() > self.options.max_records {
            self.recent_changes.pop_front();
        }
    }

    fn remove(&mut self, feature: Feature) {
        self.is_outdated = true;
        let removed = self.records.remove(&feature);
        if let Some(record) = removed.filter(Record::is_significant) {
            self.digest ^= record.digest(feature);
        }
    }

    /// Removes a record if the registry is full: the oldest with fewer crashes than
    /// [`Options::bar_threshold`], or the oldest of all if there is none.
    fn evict_if_full(&mut self) {
        if self.records.len() < self.options.max_records {
            return;
        }
        let bar_threshold = self.options.bar_threshold;
        let oldest = self.iter().min_by_key(|(feature, record)| {
            (record.ends.len() >= bar_threshold, record.last, *feature)
        });
        if let Some(oldest) = oldest.map(|(feature, _)| feature) {
            self.remove(oldest);
        }
    }

    fn is_known_good(&self, feature: Feature) -> bool {
        let slot = self.known_good[self.known_good_slot(feature)];
        slot.is_some_and(|(known, _)| known == feature)
    }

    fn was_good_recently(&self, now: Time, feature: Feature) -> bool {
        let slot = self.known_good[self.known_good_slot(feature)];
        slot.is_some_and(|(known, at)| {
            known == feature && now.since(at) < self.options.known_good_time
        })
    }

    fn known_good_slot(&self, feature: Feature) -> usize {
        (feature.number() % self.known_good.len() as u64) as usize
    }
}

/// Selects `max` records: half of them with the most crashes, the other half by `rotation`, which
/// moves on.
fn select<'a>(
    mut records: Vec<(Feature, &'a Record)>,
    max: usize,
    rotation: &mut usize,
) -> Vec<(Feature, &'a Record)> {
    records
        .sort_unstable_by_key(|(feature, record)| (std::cmp::Reverse(record.ends.len()), *feature));
    if records.len() > max {
        let rest = &mut records[max / 2..];
        let turns = *rotation % rest.len();
        rest.rotate_left(turns);
    }
    records.truncate(max);
    *rotation = rotation.wrapping_add(max.div_ceil(2));
    records
}

/// The maximum number of times that the delay of a trial doubles: from a second up to 17
/// minutes.
const MAX_TRIAL_DOUBLINGS: u8 = 10;
