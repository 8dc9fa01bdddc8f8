//! Endpoints as the platform lists them.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::edition::Edition;
use crate::edition::Era;
use crate::map::HashSet;

/// One start of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name, which it keeps across restarts.
    pub name: id::Endpoint,
    /// When it was started, in milliseconds since 1970 by its own host's clock; 0 if that
    /// is not known. Compared only with other start times of the same endpoint, never with
    /// a clock.
    pub started_at: u64,
    /// The service that it belongs to.
    pub service: id::Target,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// The number of requests it works on concurrently.
    pub slots: u32,
    /// Whether it is listed as leaving.
    pub leaving: bool,
    /// The remaining time for which it is cold, as of its last record; zero if it is not.
    pub cold_for: Span,
    /// The version of its software; `None` if not known. Not part of the serialised layout of
    /// endpoints; [`crate::section::Difference`] carries it.
    #[serde(skip)]
    pub software: Option<id::Software>,
}

impl Endpoint {
    /// Returns the number that identifies this start in messages between nodes. A restarted
    /// endpoint gets a new number, as earlier observations of it no longer apply.
    /// Endpoints whose numbers collide share their counts, which affects only the balance
    /// of load.
    pub fn to_number(&self) -> u32 {
        let name = hash::of(self.name.as_str().as_bytes());
        match self.started_at {
            0 => name as u32,
            started_at => hash::chain(name, &started_at.to_le_bytes()) as u32,
        }
    }

    /// Returns the identifier of this start of the endpoint.
    pub fn to_instance(&self) -> Instance {
        Instance {
            name: self.name.clone(),
            started_at: self.started_at,
        }
    }
}

/// Identifies one start of an endpoint. Connections to an earlier start are of no use for a
/// later one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Instance {
    name: id::Endpoint,
    started_at: u64,
}

/// Returns the number that identifies a name in messages between nodes.
pub fn number_of(name: &str) -> u32 {
    hash::of(name.as_bytes()) as u32
}

/// All endpoints that the platform lists.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The platform's era in which the list was read.
    #[serde(skip)]
    pub era: Era,
    /// The platform's revision of the list; higher is newer within an era.
    pub revision: u64,
    /// Whether the list is complete. After an outage of the platform, endpoints that still
    /// run may be missing until they have had time to record themselves again.
    pub settled: bool,
    /// Data centres that an operator evacuated. No request is sent to their endpoints until
    /// the evacuation is lifted.
    pub evacuated: Vec<id::DataCentre>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl List {
    /// Returns the edition, by which lists are ordered.
    pub fn edition(&self) -> Edition {
        Edition {
            era: self.era,
            revision: self.revision,
            settled: self.settled,
        }
    }

    /// Whether the version of an endpoint's software is not known.
    pub fn lacks_software(&self) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|endpoint| endpoint.software.is_none())
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &id::DataCentre) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns the endpoints of an older list that this one lacks, except those that were leaving.
    pub fn missing<'a>(&self, older: &'a List) -> Vec<&'a Endpoint> {
        let names: HashSet<&id::Endpoint> = self
            .endpoints
            .iter()
            .map(|endpoint| &endpoint.name)
            .collect();
        let missing = older.endpoints.iter();
        missing
            .filter(|endpoint| !endpoint.leaving && !names.contains(&endpoint.name))
            .collect()
    }

    /// Returns this list plus the endpoints of an older one that it lacks, except those
    /// that were leaving. Evacuations come from this list alone: they are set by an
    /// operator and never expire, so they can't be missing.
    pub fn merge(&self, older: &List) -> List {
        let kept = self.missing(older);
        List {
            era: self.era,
            revision: self.revision,
            settled: self.settled,
            evacuated: self.evacuated.clone(),
            endpoints: self.endpoints.iter().chain(kept).cloned().collect(),
        }
    }
}
