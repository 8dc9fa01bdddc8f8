//! Versions of the protocol between nodes.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The version of the base layout, which is the first byte of every datagram and stream. Older
/// builds read no other layout, so it has to stay while any of them may run; additions go after
/// the part that they read (docs/PROTOCOL.md).
pub const LAYOUT: u8 = 8;

/// The protocol version of a build, which determines what it supports beyond the base layout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Protocol(u8);

impl Protocol {
    /// The version of builds that add nothing to the base layout and do not state a version.
    pub const FIRST: Protocol = Protocol(LAYOUT);

    /// The first version whose lists of endpoints carry the platform's era, and whose
    /// configurations carry region restrictions.
    pub const ERAS: Protocol = Protocol(9);

    /// The first version that enforces the rate limits that endpoints state, and announces them
    /// in statuses.
    pub const RATE_LIMITS: Protocol = Protocol(10);

    /// The first version whose statuses announce the other notices that endpoints state in
    /// answers.
    pub const NOTICES: Protocol = Protocol(11);

    /// The first version whose slot owners share admission: lease requests name the customer,
    /// reports carry the load that endpoints state, and owners exchange queue reports and bookings.
    pub const SHARED_ADMISSION: Protocol = Protocol(12);

    /// The first version that runs requests which other nodes forward, and whose statuses name the
    /// services that a node doesn't reach.
    pub const FORWARDING: Protocol = Protocol(13);

    /// The first version that sends fewer requests to endpoints which tolerate few rejections, and
    /// announces those in statuses.
    pub const TOLERANCES: Protocol = Protocol(14);

    /// The first version whose lists of endpoints carry the version of their software, and that
    /// resumes a stream only at endpoints of the version that began it.
    pub const SOFTWARE: Protocol = Protocol(15);

    /// The first version that bars parts of prompts, and whose findings are also about those.
    pub const PARTS: Protocol = Protocol(16);

    /// The first version whose statuses say whether a node is late with its own work.
    pub const LATENESS: Protocol = Protocol(17);

    /// The first version that records streams whose endpoints' starts are in doubt.
    pub const DOUBTS: Protocol = Protocol(18);

    /// The version of this build.
    pub const CURRENT: Protocol = Protocol::DOUBTS;

    /// Returns the version assumed for messages that do not contain one.
    pub(crate) fn first() -> Protocol {
        Protocol::FIRST
    }

    /// Whether a node supports eras and region restrictions.
    pub fn supports_eras(self) -> bool {
        self >= Protocol::ERAS
    }

    /// Whether a node enforces the rate limits of endpoints.
    pub fn supports_rate_limits(self) -> bool {
        self >= Protocol::RATE_LIMITS
    }

    /// Whether a node reads the other notices of endpoints.
    pub fn supports_notices(self) -> bool {
        self >= Protocol::NOTICES
    }

    /// Whether a node runs requests that other nodes forward.
    pub fn supports_forwarding(self) -> bool {
        self >= Protocol::FORWARDING
    }

    /// Whether a node binds streams to the version of the software that began them.
    pub fn supports_software(self) -> bool {
        self >= Protocol::SOFTWARE
    }

    /// Whether a node settles doubts about the starts of endpoints.
    pub fn settles_doubts(self) -> bool {
        self >= Protocol::DOUBTS
    }

    /// Whether a node reads queue reports, bookings and redirections of slot owners.
    pub fn supports_shared_admission(self) -> bool {
        self >= Protocol::SHARED_ADMISSION
    }
}

impl Default for Protocol {
    fn default() -> Protocol {
        Protocol::CURRENT
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
