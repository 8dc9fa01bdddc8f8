//! How new a list of endpoints is.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Counts how often the platform came back with an older copy of what it had
/// acknowledged. Revisions of one era tell nothing of those of another: they go back
/// and are given out again. 0 where the platform does not count.
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

/// Orders lists: by era, then by revision, and of one revision the settled list is
/// newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Edition {
    /// The era of the revision. Not part of the first layout of messages:
    /// [`crate::wire`] adds it behind.
    #[serde(skip)]
    pub era: Era,
    /// The platform's revision; 0 for no list.
    pub revision: u64,
    /// Whether the list is settled.
    pub settled: bool,
}

impl Edition {
    /// Later than any list.
    pub const MAX: Edition = Edition {
        era: Era(u64::MAX),
        revision: u64::MAX,
        settled: true,
    };

    /// The same without its era, as nodes see it that do not know of eras.
    pub fn without_era(self) -> Edition {
        Edition {
            era: Era::default(),
            ..self
        }
    }
}
