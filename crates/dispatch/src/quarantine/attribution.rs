//! Which features explain the crashes of endpoints.
//!
//! An endpoint that crashes aborts everything that it runs, so that each feature of what ran there is
//! charged. The features that explain the most crashes are barred first. What they explain
//! is no evidence against the others, so that those which only ran beside them are not barred.

use std::cmp::Reverse;

use woadstage_types::unit::Time;

use super::Feature;
use super::Features;
use super::Options;
use super::Record;
use crate::map::HashMap;
use crate::map::HashSet;

/// The features that are barred.
#[derive(Debug, Clone, Default)]
pub struct Attribution {
    whole: HashSet<Feature>,
    /// Barred parts, and the index of their group.
    parts: HashMap<Feature, usize>,
    /// The number of parts in each group. They are charged with the same crashes, which each of
    /// them explains as well as the others do, so that only requests with all of them are barred.
    groups: Vec<usize>,
    /// The endpoints whose crashes barred features explain.
    explained: HashSet<u32>,
}

/// Features with the same evidence.
struct Suspects<'a> {
    is_cleared: bool,
    ends: &'a [u32],
    features: Vec<Feature>,
}

/// When parts that were cleared before had enough charges to be barred.
pub type Settling = HashMap<Feature, Time>;

impl Attribution {
    /// Attributes the crashes in `records`. `is_partitioned` tells whether this node hears less than
    /// half of the fleet.
    pub fn new<'a>(
        now: Time,
        options: &Options,
        is_partitioned: bool,
        records: impl Iterator<Item = (Feature, &'a Record)>,
        settling: &mut Settling,
    ) -> Attribution {
        let mut attribution = Attribution::default();
        let min_ends = match is_partitioned {
            true => options.partitioned_bar_threshold,
            false => options.bar_threshold.min(options.part_bar_threshold),
        };
        let mut suspects = group(records.filter(|(_, record)| record.ends.len() >= min_ends));
        // Features that were never cleared come first: a common one that was cleared is charged
        // with nearly every crash.
        suspects.sort_by_key(|one| (one.is_cleared, Reverse(one.ends.len())));
        for level in suspects.chunk_by(|one, other| one.rank() == other.rank()) {
            let mut explained = Vec::new();
            for one in level {
                let count = one.ends.iter();
                let count = count
                    .filter(|end| !attribution.explained.contains(end))
                    .count();
                let is_settled = |feature: &Feature| {
                    let since = *settling.entry(*feature).or_insert(now);
                    now.since(since) >= options.settle_time
                };
                if attribution.bar(one, count, options, is_partitioned, is_settled) {
                    explained.extend_from_slice(one.ends);
                }
            }
            attribution.explained.extend(explained);
        }
        attribution
    }

    /// Bars the features of a group that has enough unexplained crashes. Returns whether it barred
    /// any.
    fn bar(
        &mut self,
        suspects: &Suspects<'_>,
        count: usize,
        options: &Options,
        is_partitioned: bool,
        mut is_settled: impl FnMut(&Feature) -> bool,
    ) -> bool {
        let (parts, whole): (Vec<Feature>, Vec<Feature>) =
            suspects.features.iter().partition(|one| one.is_part());
        let whole_threshold = match suspects.is_cleared {
            _ if is_partitioned => options.partitioned_bar_threshold,
            true => options.cleared_bar_threshold,
            false => options.bar_threshold,
        };
        let part_threshold = match suspects.is_cleared {
            true => options.cleared_bar_threshold,
            false => options.part_bar_threshold,
        };
        let whole_count = match is_partitioned {
            true => suspects.ends.len(),
            false => count,
        };
        let bars_whole = !whole.is_empty() && whole_count >= whole_threshold;
        if bars_whole {
            self.whole.extend(whole);
        }
        let mut bars_parts = !parts.is_empty() && count >= part_threshold;
        if bars_parts && suspects.is_cleared {
            let mut settled = parts.iter().map(&mut is_settled);
            bars_parts = settled.all(|is_settled| is_settled);
        }
        if bars_parts {
            let index = self.groups.len();
            self.groups.push(parts.len());
            self.parts
                .extend(parts.into_iter().map(|part| (part, index)));
        }
        bars_whole || bars_parts
    }

    /// Whether no feature is barred.
    pub fn is_empty(&self) -> bool {
        self.whole.is_empty() && self.parts.is_empty()
    }

    /// Whether a feature is barred, alone or together with others.
    pub fn contains(&self, feature: Feature) -> bool {
        self.whole.contains(&feature) || self.parts.contains_key(&feature)
    }

    /// Whether barred features explain the crash of an endpoint.
    pub fn explains(&self, endpoint: u32) -> bool {
        self.explained.contains(&endpoint)
    }

    /// Returns the features for which a request is barred: what it asks for, or parts that only
    /// together are.
    pub fn bar_opt(&self, features: &Features) -> Option<Vec<Feature>> {
        if self.is_empty() {
            return None;
        }
        let mut found: HashMap<usize, Vec<Feature>> = HashMap::default();
        for (part, _) in &features.parts {
            if let Some(group) = self.parts.get(part) {
                found.entry(*group).or_default().push(*part);
            }
        }
        let complete = found.into_iter();
        let complete = complete.filter(|(group, parts)| parts.len() == self.groups[*group]);
        let first = complete.min_by_key(|(group, _)| *group);
        let whole = || {
            self.whole
                .contains(&features.whole)
                .then(|| vec![features.whole])
        };
        first.map(|(_, parts)| parts).or_else(whole)
    }
}

impl Suspects<'_> {
    fn rank(&self) -> (bool, usize) {
        (self.is_cleared, self.ends.len())
    }
}

fn group<'a>(records: impl Iterator<Item = (Feature, &'a Record)>) -> Vec<Suspects<'a>> {
    let mut groups: HashMap<(bool, &[u32]), Vec<Feature>> = HashMap::default();
    for (feature, record) in records {
        let evidence = (record.was_cleared(), record.ends.as_slice());
        groups.entry(evidence).or_default().push(feature);
    }
    let groups = groups.into_iter();
    let suspects = groups.map(|((is_cleared, ends), features)| Suspects {
        is_cleared,
        ends,
        features,
    });
    suspects.collect()
}
