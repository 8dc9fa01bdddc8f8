//! Order of lists of endpoints by recency.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// The number of times that the platform was restored from an older copy of the data it had
/// acknowledged. Revisions of different eras are not comparable, because a restore resets the
/// revision counter and numbers are reused. 0 if the platform does not count restores.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Era, ParseIntError> {
        text.parse().map(Era)
    }
}

/// The position of a list of endpoints in the order of recency: by era, then by revision; of
/// one revision the settled list is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Edition {
    /// The era of the revision. It is not part of the base layout of messages: [`crate::wire`]
    /// appends it.
    #[serde(skip)]
    pub era: Era,
    /// The platform's revision; 0 for no list.
    pub revision: u64,
    /// Whether the list is settled.
    pub settled: bool,
}

impl Edition {
    /// An edition that is newer than that of any list.
    pub const MAX: Edition = Edition {
        era: Era(u64::MAX),
        revision: u64::MAX,
        settled: true,
    };

    /// Returns the same edition without its era, as nodes without support for eras see it.
    pub fn without_era(self) -> Edition {
        Edition {
            era: Era::default(),
            ..self
        }
    }
}
