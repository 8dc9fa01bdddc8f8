//! Which protocol between nodes a build speaks.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The layout of everything on the wire, and the first byte of every datagram and
/// stream. Nodes of the builds before read no other, so it stays while any of them may
/// run: what is new stands behind what they read (docs/PROTOCOL.md).
pub const LAYOUT: u8 = 8;

/// What a build can say and read beyond the layout, which all of them share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Protocol(u8);

impl Protocol {
    /// Of builds that add nothing to the layout, and do not say what they speak.
    pub const FIRST: Protocol = Protocol(LAYOUT);

    /// The first whose lists of endpoints say from which era of the platform they are,
    /// and whose configurations say in which regions requests may run.
    pub const ERAS: Protocol = Protocol(9);

    /// The first that keeps the rate limits which endpoints name, and whose statuses tell
    /// of them.
    pub const RATE_LIMITS: Protocol = Protocol(10);

    /// The first whose statuses tell what else endpoints say of themselves in answers.
    pub const NOTICES: Protocol = Protocol(11);

    /// What this build speaks.
    pub const CURRENT: Protocol = Protocol::NOTICES;

    /// For messages that do not say which.
    pub(crate) fn first() -> Protocol {
        Protocol::FIRST
    }

    /// True where a node knows eras and regions.
    pub fn supports_eras(self) -> bool {
        self >= Protocol::ERAS
    }

    /// True where a node keeps endpoints' rate limits.
    pub fn supports_rate_limits(self) -> bool {
        self >= Protocol::RATE_LIMITS
    }

    /// True where a node knows what else endpoints say of themselves.
    pub fn supports_notices(self) -> bool {
        self >= Protocol::NOTICES
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
