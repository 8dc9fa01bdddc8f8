//! What the platform says of endpoints.

use std::collections::HashSet;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::edition::Edition;
use crate::edition::Era;

/// One start of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name. One that is started again may have the same.
    pub name: id::Endpoint,
    /// When it was started, in milliseconds since 1970 by its own host's clock; 0 where
    /// that is not known. Only compared with what it said before, never with a clock.
    pub born: u64,
    /// The service that it belongs to.
    pub service: id::Target,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Requests it works on at once.
    pub slots: u32,
    /// True once it was said to be leaving.
    pub leaving: bool,
    /// How much longer it said that it is cold, when it last recorded itself;
    /// zero where it is not.
    pub cold_for: Span,
}

impl Endpoint {
    /// The number by which nodes name this start of it to each other: of one that was
    /// started again under its name nothing holds that was known before. Two endpoints
    /// with one number would share their counts, which costs balance and nothing else.
    pub fn to_number(&self) -> u32 {
        let name = hash::of(self.name.as_str().as_bytes());
        match self.born {
            0 => name as u32,
            born => hash::chain(name, &born.to_le_bytes()) as u32,
        }
    }

    /// Names this start of it.
    pub fn to_life(&self) -> Life {
        Life {
            name: self.name.clone(),
            born: self.born,
        }
    }
}

/// One start of an endpoint: what was open to it before belongs to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Life {
    name: id::Endpoint,
    born: u64,
}

/// The number by which nodes name anything that has a name.
pub fn number_of(name: &str) -> u32 {
    hash::of(name.as_bytes()) as u32
}

/// All endpoints that the platform lists.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The platform's era in which the list was read.
    #[serde(skip)]
    pub era: Era,
    /// The platform's revision of this list; higher is newer within an era.
    pub revision: u64,
    /// False where endpoints may be missing that are still there, as after an
    /// outage of the platform, until they have had time to record themselves
    /// anew.
    pub settled: bool,
    /// Data centres that an operator evacuated: nothing is sent to their
    /// endpoints until they are taken back.
    pub evacuated: Vec<id::DataCentre>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl List {
    /// Its place among other lists.
    pub fn edition(&self) -> Edition {
        Edition {
            era: self.era,
            revision: self.revision,
            settled: self.settled,
        }
    }

    /// True where the endpoints of a data centre are to be sent nothing.
    pub fn is_evacuated(&self, data_centre: &id::DataCentre) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// This list with the endpoints of an older one that it lacks, unless those
    /// were leaving. Which data centres are evacuated is an operator's word and
    /// never lapses, so the newer list alone says it.
    pub fn merge(&self, older: &List) -> List {
        let names: HashSet<&id::Endpoint> = self.endpoints.iter().map(|one| &one.name).collect();
        let kept = older.endpoints.iter();
        let kept = kept.filter(|one| !one.leaving && !names.contains(&one.name));
        List {
            era: self.era,
            revision: self.revision,
            settled: self.settled,
            evacuated: self.evacuated.clone(),
            endpoints: self.endpoints.iter().chain(kept).cloned().collect(),
        }
    }
}
