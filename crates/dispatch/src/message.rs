//! What nodes tell each other, typed; [`crate::wire`] writes and reads it.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Rank;
use crate::edition::Edition;
use crate::lease;
use crate::notice;
use crate::parts::Digest;
use crate::parts::Manifest;
use crate::parts::Part;
use crate::protocol::Protocol;
use crate::quarantine::Finding;
use crate::quota::Denied;
use crate::rate_limit;
use crate::section;
use crate::section::Difference;

/// What one node runs at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint's number.
    pub endpoint: u32,
    /// Requests in progress there.
    pub running: u16,
    /// Prompt tokens sent there of which no event was seen yet.
    pub pending_tokens: u32,
    /// Why the node sends nothing there, if it does not.
    pub unavailability: Option<Unavailability>,
}

/// Why a node sends nothing to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailability {
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
    pub platform_unreachable: bool,
    /// What it runs; endpoints left out run nothing.
    pub loads: Vec<Load>,
    /// What waits; services left out have nothing waiting.
    pub waiting: Vec<Waiting>,
    /// What customers used; those left out have not changed lately.
    pub usage: Vec<Usage>,
    /// Some of the nodes that it has heard lately.
    pub members: Vec<SocketAddrV4>,
    /// Names all that it knows of requests that endpoints ended under; 0 for nothing.
    pub quarantine_digest: u32,
    /// What it came to know of them lately.
    pub findings: Vec<Finding>,
    /// What the node speaks.
    #[serde(skip, default = "Protocol::first")]
    pub protocol: Protocol,
    /// Some of the rate limits that it knows, others each time.
    #[serde(skip)]
    pub rate_limits: Vec<rate_limit::Told>,
    /// Some of what else endpoints said in answers, others each time.
    #[serde(skip)]
    pub notices: Vec<notice::Told>,
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
    /// A question to the owner of slots.
    Lease(Box<lease::Request>),
    /// Its answer.
    Leased(lease::Reply),
    /// How a request goes that has a slot.
    Report(lease::Report),
    /// Whether it still has it.
    Check(lease::Check),
    /// What a node knows of requests that endpoints ended under.
    Findings(Vec<Finding>),
}

/// Which of the published documents is spoken of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Document {
    /// The configuration.
    Configuration,
    /// The list of endpoints.
    Endpoints,
}

impl Document {
    /// The word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Document::Configuration => "configuration",
            Document::Endpoints => "endpoints",
        }
    }
}

/// The newest documents of the platform that a node has, by version; 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: u64,
    /// The list of endpoints.
    pub endpoints: Edition,
}

impl Versions {
    /// The same with the other document as new as can be, so that nothing of it is
    /// asked for.
    pub fn only(self, document: Document) -> Versions {
        match document {
            Document::Configuration => Versions {
                endpoints: Edition::MAX,
                ..self
            },
            Document::Endpoints => Versions {
                configuration: u64::MAX,
                ..self
            },
        }
    }
}

/// Asks a node for the documents of the platform that are newer than those of
/// the node that asks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The documents of the node that asks.
    pub known: Versions,
    /// Parts of configurations that it has, in force or received.
    pub held: Vec<Digest>,
    /// Sections of its list of endpoints.
    pub sections: section::Index,
    /// What the node speaks that asks.
    #[serde(skip, default = "Protocol::first")]
    pub protocol: Protocol,
}

impl Pull {
    /// The same question about one document alone.
    pub fn only(self, document: Document) -> Pull {
        let known = self.known.only(document);
        match document {
            Document::Configuration => Pull {
                known,
                sections: section::Index::default(),
                ..self
            },
            Document::Endpoints => Pull {
                known,
                held: Vec::new(),
                ..self
            },
        }
    }
}

/// What a node has that another asked for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The sections of the list of endpoints that the other does not have, where
    /// it is newer.
    pub endpoints: Option<Difference>,
    /// The configuration without its parts, where it is newer.
    pub manifest: Option<Manifest>,
    /// The parts of it that the other does not have.
    pub parts: Vec<Part>,
}

/// One piece of a [`Snapshot`] on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Nothing follows: enough others are being given documents. Ask another.
    Busy,
    /// What is new of a list of endpoints.
    Endpoints(Difference),
    /// A configuration without its parts.
    Manifest(Manifest),
    /// A part of it.
    Part(Part),
}

impl Snapshot {
    /// The frames in which it goes on the wire.
    pub fn into_frames(self) -> impl Iterator<Item = Frame> {
        let endpoints = self.endpoints.into_iter().map(Frame::Endpoints);
        let manifest = self.manifest.into_iter().map(Frame::Manifest);
        let parts = self.parts.into_iter().map(Frame::Part);
        endpoints.chain(manifest).chain(parts)
    }
}
