//! The platform's list of live and leaving hosts, which lags behind their actual state.
//! Unknown fields are ignored, since the platform defines the format and may extend it.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;

/// What a host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A woadstage node.
    Entry,
    /// An engine's worker or a plain service.
    Endpoint,
}

/// The state of a host as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host accepts work.
    Live,
    /// The host finishes its work in progress and accepts no new work.
    Leaving,
}

/// A host in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub name: String,
    /// What the host runs.
    pub role: Role,
    /// The address as `ip:port`, which serves the protocol between nodes on an entry host and
    /// HTTP on an endpoint.
    pub address: String,
    /// The data centre of the host.
    pub data_centre: id::DataCentre,
    /// Whether the host is live or leaving.
    pub state: State,
    /// The model or service that an endpoint serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serves: Option<id::Target>,
}

/// The list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// All hosts known to the platform.
    pub hosts: Vec<Host>,
}
