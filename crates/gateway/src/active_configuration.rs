//! Which configuration is in force, since when, and how this node came to it.

use std::net::SocketAddrV4;

use woadstage_dispatch::parts::Digest;
use woadstage_types::unit::Time;

use crate::source::Answer;

/// The word in logs for a document that this node read itself.
const PLATFORM: &str = "platform";

/// The word in logs for a document that another node gave.
const TRANSFER: &str = "transfer";

/// From where a configuration came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform, in an answer to this node.
    Platform(Answer),
    /// Another node.
    Peer(SocketAddrV4),
}

impl Origin {
    /// Who gave it, for logs: `platform` or the address of a node.
    pub fn to_source_name(self) -> String {
        match self {
            Origin::Platform(_) => PLATFORM.to_owned(),
            Origin::Peer(address) => address.to_string(),
        }
    }

    /// The way it came, for logs: a call to the platform, or a transfer.
    pub fn method(self) -> &'static str {
        match self {
            Origin::Platform(answer) => answer.call.as_str(),
            Origin::Peer(_) => TRANSFER,
        }
    }

    /// The platform's answer that held it; none where another node gave it.
    pub fn answer_opt(self) -> Option<Answer> {
        match self {
            Origin::Platform(answer) => Some(answer),
            Origin::Peer(_) => None,
        }
    }
}

/// The configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveConfiguration {
    /// Its version.
    pub version: u64,
    /// Names its content.
    pub digest: Digest,
    /// Since when.
    pub since: Time,
    /// From where it came.
    pub origin: Origin,
}
