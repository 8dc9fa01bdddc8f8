//! What nodes tell each other, typed; the shell puts it on the wire.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::configuration::Rank;
use crate::endpoint::Edition;
use crate::endpoint::List;
use crate::quota::Denied;

/// The version of this protocol; the first byte of everything on the wire.
pub const VERSION: u8 = 3;

/// What one node runs at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint's number.
    pub endpoint: u32,
    /// Requests in progress there.
    pub running: u16,
    /// Prompt tokens sent there of which no event was seen yet.
    pub pending: u32,
    /// Why the node sends nothing there, if it does not.
    pub trouble: Option<Trouble>,
}

/// Why a node sends nothing to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trouble {
    /// Calls broke.
    Failing,
    /// It cannot be connected to.
    Unreachable,
    /// Another answered at its address: this one is gone for good.
    Gone,
}

/// What waits on one node for one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
    /// The service's number.
    pub service: u32,
    /// The rank.
    pub rank: Rank,
    /// How many requests.
    pub count: u16,
}

/// What one customer used through one node since that node started.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer's number.
    pub customer: u64,
    /// Units used in this life of the node.
    pub units: u64,
}

/// What a node says of itself, many times a second. May be lost, doubled or
/// overtaken: each holds all that it speaks of.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Which life of the node speaks.
    pub incarnation: u64,
    /// Counts the statuses of one life.
    pub sequence: u64,
    /// The version of the configuration in force; 0 for none.
    pub configuration: u64,
    /// The list of endpoints in force.
    pub endpoints: Edition,
    /// The number of its data centre.
    pub data_centre: u32,
    /// True while the node is stopping.
    pub leaving: bool,
    /// True where it cannot read the platform though it tries.
    pub cut_off: bool,
    /// What it runs; endpoints left out run nothing.
    pub loads: Vec<Load>,
    /// What waits; services left out have nothing waiting.
    pub waiting: Vec<Waiting>,
    /// What customers used; those left out have not changed lately.
    pub usage: Vec<Usage>,
    /// Some of the nodes that it has heard lately.
    pub members: Vec<SocketAddrV4>,
}

/// Asks the owner of a customer's quota for a request's units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// Names the question to the node that asks.
    pub number: u64,
    /// The customer's number.
    pub customer: u64,
    /// Units.
    pub units: u64,
    /// How routine the request is, in percent: 0 is the most protected.
    pub routine: u8,
    /// True while requests wait for the endpoints that it needs.
    pub pressed: bool,
}

/// What an owner says to a [`Reserve`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reserved {
    /// The number of the question.
    pub number: u64,
    /// The answer.
    pub verdict: Verdict,
}

/// Whether a request fits its customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It does, and is charged.
    Granted,
    /// It does not.
    Denied(Denied),
    /// The node asked knows no such customer, or no quota of it.
    Unknown,
}

/// Gives back to an owner what a request that did not run was charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The customer's number.
    pub customer: u64,
    /// Units.
    pub units: u64,
}

/// Everything that goes from node to node by datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What a node says of itself.
    Status(Box<Status>),
    /// A question to an owner.
    Reserve(Reserve),
    /// An owner's answer.
    Reserved(Reserved),
    /// Units that were not used.
    Release(Release),
}

/// The newest documents of the platform that a node has, by version; 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The version of the configuration.
    pub configuration: u64,
    /// The list of endpoints.
    pub endpoints: Edition,
}

/// What the platform published, as one node passes it to another that has less.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force, where it is newer.
    pub configuration: Option<Arc<Configuration>>,
    /// The endpoints, where the list is newer.
    pub endpoints: Option<Arc<List>>,
}
