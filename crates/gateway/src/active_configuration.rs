//! The configuration in force and where this node got it from.

use std::net::SocketAddrV4;

use woadstage_dispatch::parts::Digest;
use woadstage_types::unit::Time;

use crate::source::Answer;

/// The source name in logs of a document that this node read from the platform.
const PLATFORM: &str = "platform";

/// The method name in logs of a document that another node transferred.
const TRANSFER: &str = "transfer";

/// Where a configuration came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform, in an answer to this node.
    Platform(Answer),
    /// Another node, in a transfer.
    Peer(SocketAddrV4),
}

impl Origin {
    /// Returns the name of the source for logs: `platform` or the address of a node.
    pub fn to_source_name(self) -> String {
        match self {
            Origin::Platform(_) => PLATFORM.to_owned(),
            Origin::Peer(address) => address.to_string(),
        }
    }

    /// Returns how it was obtained, for logs: the call to the platform, or `transfer`.
    pub fn method(self) -> &'static str {
        match self {
            Origin::Platform(answer) => answer.call.as_str(),
            Origin::Peer(_) => TRANSFER,
        }
    }

    /// Returns the platform's answer that contained it, or `None` if it came from another node.
    pub fn answer_opt(self) -> Option<Answer> {
        match self {
            Origin::Platform(answer) => Some(answer),
            Origin::Peer(_) => None,
        }
    }
}

/// The identity and origin of the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveConfiguration {
    /// Its version.
    pub version: u64,
    /// The digest of its content.
    pub digest: Digest,
    /// When it came into force.
    pub since: Time,
    /// Where it came from.
    pub origin: Origin,
}
