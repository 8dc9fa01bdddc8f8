//! What is known of one request, and how what two nodes know is joined.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::job::Fingerprint;

/// Ends that are kept of one request: more than any bound from which it is barred.
pub const MAX_ENDS: usize = 8;

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// How often it was cleared: its whole answer came, so that it was charged wrongly.
    pub cleared: u32,
    /// Numbers of endpoints that ended under it since then, in order.
    pub ends: Vec<u32>,
    /// How often it was tried again since it was barred.
    pub trials: u8,
    /// When the last of them ended or was tried.
    pub last: Time,
}

/// What one node tells another of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The request.
    pub fingerprint: Fingerprint,
    /// As in [`Record::cleared`].
    pub cleared: u32,
    /// As in [`Record::ends`].
    pub ends: Vec<u32>,
    /// As in [`Record::trials`].
    pub trials: u8,
    /// Whole seconds since [`Record::last`]: clocks of nodes do not agree.
    pub age_s: u32,
}

impl Record {
    /// Charges it with the end of an endpoint.
    pub fn charge(&mut self, now: Time, endpoint: u32) {
        self.last = now;
        if let Err(at) = self.ends.binary_search(&endpoint) {
            self.ends.insert(at, endpoint);
            self.ends.truncate(MAX_ENDS);
        }
    }

    /// Clears it of all it was charged with.
    pub fn clear(&mut self, now: Time) {
        *self = Record {
            cleared: self.cleared.saturating_add(1),
            last: now,
            ..Record::default()
        };
    }

    /// True where it was sound at some time.
    pub fn was_cleared(&self) -> bool {
        self.cleared > 0
    }

    /// Joins what another node knows. Who has seen it cleared more often knows better;
    /// else both know a part.
    pub fn join(&mut self, other: &Record) {
        if other.cleared < self.cleared {
            return;
        }
        if other.cleared > self.cleared {
            *self = other.clone();
            return;
        }
        for endpoint in &other.ends {
            if let Err(at) = self.ends.binary_search(endpoint) {
                self.ends.insert(at, *endpoint);
            }
        }
        self.ends.truncate(MAX_ENDS);
        self.trials = self.trials.max(other.trials);
        self.last = self.last.max(other.last);
    }

    /// What is told of it.
    pub fn to_finding(&self, now: Time, fingerprint: Fingerprint) -> Finding {
        let age = now.since(self.last).0 / Span::from_secs(1).0;
        Finding {
            fingerprint,
            cleared: self.cleared,
            ends: self.ends.clone(),
            trials: self.trials,
            age_s: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// A hash of all but the time, which is no part of what nodes must agree on.
    pub fn digest(&self, fingerprint: Fingerprint) -> u32 {
        let seed = hash::chain(fingerprint.0, &self.cleared.to_le_bytes());
        let seed = hash::chain(seed, &[self.trials]);
        let ends = self.ends.iter();
        ends.fold(seed, |seed, end| hash::chain(seed, &end.to_le_bytes())) as u32
    }
}

impl Finding {
    /// What it says, by this node's clock.
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
