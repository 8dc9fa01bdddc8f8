//! What requests have in common that may be why endpoints crash.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;

use crate::endpoint;
use crate::job::Fingerprint;
use crate::job::Job;

/// The upper bits of every feature that is a part of a prompt, and of no other.
const PART_TAG: u64 = 0xfa17;

/// The number of the lower bits, which hold a hash.
const HASH_BITS: u32 = 48;

/// Identifies what requests have in common: all that a request asks for, or a part of the prompts
/// for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Feature(u64);

impl From<Fingerprint> for Feature {
    fn from(fingerprint: Fingerprint) -> Feature {
        match fingerprint.0 >> HASH_BITS {
            PART_TAG => Feature(fingerprint.0 ^ 1 << HASH_BITS),
            _ => Feature(fingerprint.0),
        }
    }
}

impl Feature {
    /// Returns the feature of a part of a prompt. The same part may be harmless to another service.
    pub fn of_part(service: u32, part: u64) -> Feature {
        let mixed = hash::chain(u64::from(service), &part.to_le_bytes());
        Feature(PART_TAG << HASH_BITS | mixed >> (u64::BITS - HASH_BITS))
    }

    /// Whether it is a part of a prompt.
    pub fn is_part(self) -> bool {
        self.0 >> HASH_BITS == PART_TAG
    }

    /// Returns the number that messages contain.
    pub(crate) fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The features of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Features {
    /// All that it asks for.
    pub whole: Feature,
    /// The parts of its prompt, each once, with their ids.
    pub parts: Vec<(Feature, u64)>,
}

impl From<Fingerprint> for Features {
    fn from(fingerprint: Fingerprint) -> Features {
        Features {
            whole: fingerprint.into(),
            parts: Vec::new(),
        }
    }
}

impl Features {
    /// Returns the features of a request.
    pub fn of(job: &Job) -> Features {
        let service = endpoint::number_of(job.target.as_str());
        let ids = job.prompt.part_ids();
        let mut parts: Vec<(Feature, u64)> =
            ids.map(|id| (Feature::of_part(service, id), id)).collect();
        parts.sort_unstable();
        parts.dedup();
        Features {
            whole: job.fingerprint.into(),
            parts,
        }
    }

    /// Iterates over all features.
    pub fn iter(&self) -> impl Iterator<Item = Feature> + '_ {
        let parts = self.parts.iter().map(|(part, _)| *part);
        std::iter::once(self.whole).chain(parts)
    }

    /// Returns the id of a part, if the request has it.
    pub fn part_id_opt(&self, feature: Feature) -> Option<u64> {
        let mut parts = self.parts.iter();
        let found = parts.find(|(part, _)| *part == feature);
        found.map(|(_, id)| *id)
    }
}
