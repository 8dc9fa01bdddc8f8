//! Messages between nodes; [`crate::wire`] encodes and decodes them.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;

use crate::binding;
use crate::booking;
use crate::configuration::Rank;
use crate::edition::Edition;
use crate::lease;
use crate::notice;
use crate::parts::Digest;
use crate::parts::Manifest;
use crate::parts::Part;
use crate::protocol::Protocol;
use crate::quarantine::Finding;
use crate::queue_report;
use crate::quota::Denied;
use crate::rate_limit;
use crate::section;
use crate::section::Difference;
use crate::tolerance;

/// The load that one node puts on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint's number.
    pub endpoint: u32,
    /// The number of requests in progress.
    pub running: u16,
    /// Prompt tokens of requests whose first event has not arrived yet.
    pub pending_tokens: u32,
    /// Why the node sends no requests to the endpoint, if it does not.
    pub unavailability: Option<Unavailability>,
}

/// Why a node sends no requests to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailability {
    /// Calls to it fail.
    Failing,
    /// Connections to it cannot be opened.
    Unreachable,
    /// Another endpoint answered at its address, so it is gone for good.
    Gone,
}

/// Requests of one rank that wait on one node for one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
    /// The service's number.
    pub service: u32,
    /// The rank of the requests.
    pub rank: Rank,
    /// The number of requests.
    pub count: u16,
}

/// What one customer used through one node since that node started.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer's number.
    pub customer: u64,
    /// Units used during this incarnation of the node.
    pub units: u64,
}

/// The state of a node, which it sends many times a second. A status may be lost, duplicated or
/// reordered, so each is complete for the items that it contains.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The incarnation of the node: differs after each restart.
    pub incarnation: u64,
    /// The sequence number of the status within the incarnation.
    pub sequence: u64,
    /// The version of the configuration in force; 0 for none.
    pub configuration: u64,
    /// The edition of the list of endpoints in force.
    pub endpoints: Edition,
    /// The number of the node's data centre.
    pub data_centre: u32,
    /// Whether the node is stopping.
    pub leaving: bool,
    /// Whether the node tries to read the platform and fails.
    pub platform_unreachable: bool,
    /// The loads on endpoints; an endpoint that is left out has none from this node.
    pub loads: Vec<Load>,
    /// The requests that wait; a service that is left out has none waiting.
    pub waiting: Vec<Waiting>,
    /// The usage of customers; a customer that is left out has not changed recently.
    pub usage: Vec<Usage>,
    /// Addresses of some of the nodes that sent it a status recently.
    pub members: Vec<SocketAddrV4>,
    /// A digest of all its findings on requests under which endpoints ended; 0 for none.
    pub quarantine_digest: u32,
    /// Its most recent findings.
    pub findings: Vec<Finding>,
    /// The protocol of the node.
    #[serde(skip, default = "Protocol::first")]
    pub protocol: Protocol,
    /// A part of the rate limits that the node knows, a different part in each status.
    #[serde(skip)]
    pub rate_limits: Vec<rate_limit::Announcement>,
    /// A part of the other notices that endpoints sent in answers, a different part in each
    /// status.
    #[serde(skip)]
    pub notices: Vec<notice::Announcement>,
    /// A part of the rejections that endpoints tolerate and those that the node received, a
    /// different part in each status.
    #[serde(skip)]
    pub tolerances: Vec<tolerance::Announcement>,
    /// The services of which the node does not reach every open endpoint.
    #[serde(skip)]
    pub lost_links: Vec<LostLinks>,
    /// How long ago the node started, if that was recent enough to matter for quotas.
    #[serde(skip)]
    pub uptime: Option<Span>,
    /// Whether the node is late with its own work, so that it accepts few new connections.
    #[serde(skip)]
    pub is_late: bool,
}

/// How many of a service's endpoints a node doesn't reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostLinks {
    /// The service's number.
    pub service: u32,
    /// The part of the slots of its open endpoints that the node can't use, in percent: 100 for all
    /// of them.
    pub percent: u8,
}

/// Asks the owner of a customer's quota to charge a request's units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// Identifies the request on the node that sends it.
    pub number: u64,
    /// The customer's number.
    pub customer: u64,
    /// The number of units.
    pub units: u64,
    /// The relative priority of the request, in percent: 0 is the most protected, 100 the
    /// least.
    pub relative_priority: u8,
    /// Whether requests are waiting for the endpoints that this one needs.
    pub backlogged: bool,
}

/// An owner's answer to a [`Reserve`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reserved {
    /// The number of the request.
    pub number: u64,
    /// The decision.
    pub verdict: Verdict,
}

/// The decision on whether a request fits its customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It fits, and its units were charged.
    Granted,
    /// It does not fit.
    Denied(Denied),
    /// The node that was asked does not know the customer, or no quota of it.
    Unknown,
}

/// Returns to an owner the units charged for a request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The customer's number.
    pub customer: u64,
    /// The number of units.
    pub units: u64,
}

/// A message that nodes exchange by datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state of a node.
    Status(Box<Status>),
    /// A request for units, to the owner of a quota.
    Reserve(Reserve),
    /// The owner's answer.
    Reserved(Reserved),
    /// Units that were not used.
    Release(Release),
    /// A request for a slot, to the owner of slots.
    Lease(Box<lease::Request>),
    /// The owner's answer.
    Leased(lease::Reply),
    /// The progress of a request that holds a slot.
    Report(lease::Report),
    /// Asks whether a request still holds its slot.
    Check(lease::Check),
    /// Findings on requests under which endpoints ended.
    Findings(Vec<Finding>),
    /// How long requests wait at an owner of slots, to the other owners of the same service. Only
    /// sent to nodes that support shared admission.
    QueueReport(queue_report::Report),
    /// Bookings made and claimed at an owner of slots, to the other owners of the same service. Only
    /// sent to nodes that support shared admission.
    Bookings(booking::Announcement),
    /// Which versions began streams, to their keepers. This and the following are only sent to nodes
    /// that bind streams to versions.
    Bindings(Vec<binding::Statement>),
    /// Confirms that these streams' versions are kept.
    BindingsKept(Vec<binding::Key>),
    /// Asks which version began a stream.
    BindingQuestion(binding::Question),
    /// The answer.
    BindingReply(binding::Reply),
    /// Which versions began streams, as far as the starts of their endpoints are the listed ones. Only
    /// sent to nodes that settle such doubts.
    DoubtedBindings(Vec<binding::Doubted>),
}

/// A document that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Document {
    /// The configuration.
    Configuration,
    /// The list of endpoints.
    Endpoints,
}

impl Document {
    /// Returns the document's name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Document::Configuration => "configuration",
            Document::Endpoints => "endpoints",
        }
    }
}

/// The newest versions of the platform's documents that a node has; 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: u64,
    /// The edition of the list of endpoints.
    pub endpoints: Edition,
}

impl Versions {
    /// Returns the versions with the other document's version at its maximum, so that no
    /// version of the other document counts as newer.
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

/// Asks a node for those documents of the platform that are newer than the sender's.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The versions that the sender has.
    pub known: Versions,
    /// The configuration parts that the sender has, in force or received.
    pub held: Vec<Digest>,
    /// The sections of the sender's list of endpoints.
    pub sections: section::Index,
    /// The sender's protocol.
    #[serde(skip, default = "Protocol::first")]
    pub protocol: Protocol,
}

impl Pull {
    /// Returns the same request restricted to one document.
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

/// The documents, or what is missing of them, that answer a [`Pull`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The sections of the list of endpoints that the other node lacks, if the list is newer.
    pub endpoints: Option<Difference>,
    /// The configuration without its parts, if newer.
    pub manifest: Option<Manifest>,
    /// The configuration parts that the other node lacks.
    pub parts: Vec<Part>,
}

/// One part of a [`Snapshot`] as it is transferred.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// No documents follow, because too many transfers are in progress; the receiver has to
    /// ask another node.
    Busy,
    /// The changed sections of a list of endpoints.
    Endpoints(Difference),
    /// A configuration without its parts.
    Manifest(Manifest),
    /// A part of the configuration.
    Part(Part),
}

impl Snapshot {
    /// Returns the frames in which the snapshot is transferred.
    pub fn into_frames(self) -> impl Iterator<Item = Frame> {
        let endpoints = self.endpoints.into_iter().map(Frame::Endpoints);
        let manifest = self.manifest.into_iter().map(Frame::Manifest);
        let parts = self.parts.into_iter().map(Frame::Part);
        endpoints.chain(manifest).chain(parts)
    }
}
