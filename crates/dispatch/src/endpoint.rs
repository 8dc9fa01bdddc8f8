//! What the platform says of endpoints.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::id;

/// One start of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name; a restarted endpoint has another.
    pub name: id::Endpoint,
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
}

impl Endpoint {
    /// The number by which nodes name it to each other.
    pub fn to_number(&self) -> u32 {
        to_number(&self.name)
    }
}

/// The number by which nodes name an endpoint to each other. Two endpoints with
/// one number would share their counts, which costs balance and nothing else.
pub fn to_number(name: &id::Endpoint) -> u32 {
    number_of(name.as_str())
}

/// The number by which nodes name anything that has a name.
pub fn number_of(name: &str) -> u32 {
    hash::of(name.as_bytes()) as u32
}

/// All endpoints that the platform lists.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The platform's revision of this list; higher is newer.
    pub revision: u64,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}
