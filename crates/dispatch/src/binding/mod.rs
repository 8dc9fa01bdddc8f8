//! Streams bound to the version of the software that began them.
//!
//! What two versions write into one stream doesn't fit together, so a stream whose first event was
//! passed on goes on only at endpoints of the version that wrote it. A caller may take a stream up
//! at any node. The node that passed on its first event therefore tells a few others, its keepers,
//! which a hash of the stream's key selects, so that a node without a record knows whom to ask. It
//! does so whatever versions it knows of, since it can't tell which ones the others will know of when
//! they are asked. Once it is gone, the keepers tell others in its place.
//!
//! A node may doubt that an endpoint is still the start that the platform lists, and so which version
//! writes a stream. It records such a stream with its doubt, which is settled once the platform would
//! have listed another start. Until then the stream is not resumed.
//!
//! Records are lost with the nodes that hold them. A stream of which nobody holds a record is not
//! resumed, unless one version alone has served for longer than any stream lasts.

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

mod registry;

pub use registry::Found;
pub use registry::KEEPERS;
pub use registry::Keeper;
pub use registry::MAX_TOLD;
pub use registry::MAX_VALIDITY;
pub use registry::Registry;
pub use registry::Telling;

/// Identifies a stream on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of the stream that a caller's request began. A customer can't name streams of
    /// another one.
    pub fn new(customer: Option<u64>, request: &str) -> Key {
        let customer = customer.unwrap_or(0).to_le_bytes();
        Key(hash::chain(hash::of(request.as_bytes()), &customer))
    }
}

/// A stream that its caller may take up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stream {
    /// Its key.
    pub key: Key,
    /// When its caller gives up.
    pub until: Time,
}

/// Where a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Binding {
    /// At any endpoint: no event of its stream has been passed on.
    #[default]
    Free,
    /// It takes a stream up, which has this key if the caller names it. The node has yet to learn
    /// which version began it.
    TakesUp(Option<Key>),
    /// Only at endpoints of this version.
    Software(id::Software),
    /// Nowhere: the version that began its stream is not known.
    Unknown,
}

impl Binding {
    /// Returns the binding to an endpoint that may or may not state its version.
    pub fn to(software: Option<&id::Software>) -> Binding {
        software.map_or(Binding::Unknown, |software| {
            Binding::Software(software.clone())
        })
    }

    /// Whether the request may run at an endpoint of this version.
    pub fn allows(&self, software: Option<&id::Software>) -> bool {
        match self {
            Binding::Free => true,
            Binding::Software(bound) => software == Some(bound),
            Binding::TakesUp(_) | Binding::Unknown => false,
        }
    }

    /// Whether the choice of endpoints is restricted.
    pub fn is_bound(&self) -> bool {
        *self != Binding::Free
    }

    /// The version that the request is bound to.
    pub fn software_opt(&self) -> Option<&id::Software> {
        match self {
            Binding::Software(software) => Some(software),
            Binding::Free | Binding::TakesUp(_) | Binding::Unknown => None,
        }
    }
}

/// States which version began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The stream.
    pub key: Key,
    /// The number of its service.
    pub service: u32,
    /// The version.
    pub software: id::Software,
    /// How long the stream may still be taken up.
    pub valid_for: Span,
}

/// Says that a record holds only if an endpoint was still the start that was listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// The endpoint that wrote the stream's first event.
    pub endpoint: id::Endpoint,
    /// The listed start, as in [`Endpoint::started_at`](crate::endpoint::Endpoint::started_at).
    pub started_at: u64,
    /// How long until the platform would have listed another start.
    pub settled_in: Span,
}

/// A [`Statement`] that holds only if a doubt proves unfounded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubted {
    /// What is stated.
    pub statement: Statement,
    /// Why it may not hold.
    pub doubt: Doubt,
}

/// What the platform's list says of a doubted start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was the listed one, or another one with the same software.
    Confirmed,
    /// It may have been one with other software.
    Refuted,
    /// Nothing yet.
    Open,
}

/// Asks a node which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Identifies the question on the node that asks.
    pub number: u64,
    /// The stream.
    pub key: Key,
    /// The number of its service.
    pub service: u32,
    /// The longest time ago at which it may have begun.
    pub lifetime: Span,
}

/// Replies to a [`Question`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of the question.
    pub number: u64,
    /// The answer.
    pub answer: Answer,
}

/// What a node knows of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It holds a record.
    Known {
        /// The version that began the stream.
        software: id::Software,
        /// The age of the record.
        age: Span,
    },
    /// It holds no record, and this version alone served during the stream's lifetime.
    Sole(id::Software),
    /// Nothing.
    Unknown,
    /// Nodes stated different versions.
    Disputed,
    /// It holds no record, and several versions served during the stream's lifetime.
    Several,
    /// It holds a record that is in doubt. Only sent to nodes that settle doubts.
    Doubted {
        /// How long until the doubt is settled.
        settled_in: Span,
    },
}

impl Answer {
    /// The name used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Answer::Known { .. } => "record",
            Answer::Sole(_) => "sole",
            Answer::Unknown => "unknown",
            Answer::Disputed => "disputed",
            Answer::Several => "several",
            Answer::Doubted { .. } => "doubted",
        }
    }
}
