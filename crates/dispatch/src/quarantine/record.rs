//! The knowledge of one feature, and how the knowledge of two nodes is joined.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Feature;

/// The maximum number of crashes kept of one feature: above every threshold that bars it.
pub const MAX_ENDS: usize = 8;

/// The knowledge of one feature.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// How often the feature was cleared by a complete answer, which shows that the charges
    /// were wrong. At least 1 if a complete answer preceded the first charge.
    pub cleared: u32,
    /// The numbers of the endpoints that crashed while running a request with it since it was
    /// last cleared, sorted.
    pub ends: Vec<u32>,
    /// The number of trials since it was barred.
    pub trials: u8,
    /// The time of the last crash or trial.
    pub last: Time,
}

/// The knowledge of one feature as sent to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The feature.
    pub feature: Feature,
    /// As in [`Record::cleared`].
    pub cleared: u32,
    /// As in [`Record::ends`].
    pub ends: Vec<u32>,
    /// As in [`Record::trials`].
    pub trials: u8,
    /// Whole seconds since [`Record::last`]. An age is sent because the nodes' clocks
    /// differ.
    pub age_s: u32,
}

impl Record {
    /// Charges the feature with the crash of an endpoint.
    pub fn charge(&mut self, now: Time, endpoint: u32) {
        self.last = now;
        if let Err(position) = self.ends.binary_search(&endpoint) {
            self.ends.insert(position, endpoint);
            self.ends.truncate(MAX_ENDS);
        }
    }

    /// Clears the feature of all charges.
    pub fn clear(&mut self, now: Time) {
        *self = Record {
            cleared: self.cleared.saturating_add(1),
            last: now,
            ..Record::default()
        };
    }

    /// Whether a complete answer to a request with it is known of, also before its last charge.
    pub fn was_cleared(&self) -> bool {
        self.cleared > 0
    }

    /// Joins the knowledge of another node. The side that has seen the feature cleared
    /// more often replaces the other; otherwise the two are combined.
    pub fn join(&mut self, other: &Record) {
        if other.cleared < self.cleared {
            return;
        }
        if other.cleared > self.cleared {
            *self = other.clone();
            return;
        }
        for endpoint in &other.ends {
            if let Err(position) = self.ends.binary_search(endpoint) {
                self.ends.insert(position, *endpoint);
            }
        }
        self.ends.truncate(MAX_ENDS);
        self.trials = self.trials.max(other.trials);
        self.last = self.last.max(other.last);
    }

    /// Returns the finding to send to other nodes.
    pub fn to_finding(&self, now: Time, feature: Feature) -> Finding {
        let age = now.since(self.last).0 / Span::from_secs(1).0;
        Finding {
            feature,
            cleared: self.cleared,
            ends: self.ends.clone(),
            trials: self.trials,
            age_s: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Whether all nodes should know the record, even those that missed its announcement. Most
    /// features with a single crash only ran beside what caused it.
    pub fn is_significant(&self) -> bool {
        self.ends.len() > 1 || self.trials > 0
    }

    /// Returns a hash of everything but the time, on which nodes need not agree.
    pub fn digest(&self, feature: Feature) -> u32 {
        let seed = hash::chain(feature.number(), &self.cleared.to_le_bytes());
        let seed = hash::chain(seed, &[self.trials]);
        let ends = self.ends.iter();
        ends.fold(seed, |seed, end| hash::chain(seed, &end.to_le_bytes())) as u32
    }
}

impl Finding {
    /// Converts the finding to a record by this node's clock.
    pub fn to_record(&self, now: Time) -> Record {
        let mut ends = self.ends.clone();
        ends.sort_unstable();
        ends.dedup();
        ends.truncate(MAX_ENDS);
        Record {
            cleared: self.cleared,
            ends,
            trials: self.trials,
            last: now - Span::from_secs(u64::from(self.age_s)),
        }
    }
}
