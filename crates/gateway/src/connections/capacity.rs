//! Shares a node's memory and descriptors among the connections that others open to it.

use woadstage_types::unit::Size;

use super::registry::Limits;

/// The descriptors that are kept for files, listeners and calls to the platform.
const RESERVED_DESCRIPTORS: usize = 264;

/// Callers' connections may take this many in a hundred of the other descriptors. Each request in
/// progress needs another one for its endpoint.
const CALLERS_PERCENT: usize = 50;

/// Other nodes' connections may take this many in a hundred of them.
const NODES_PERCENT: usize = 12;

/// The connections at the readiness and the metrics address.
const OPERATORS: Limits = Limits {
    open: 256,
    active: 64,
    stalled: 16,
};

/// Connections with buffers may take the node's memory divided by this.
const ACTIVE_MEMORY_DIVISOR: u64 = 4;

/// Connections whose peers don't read may take the node's memory divided by this.
const STALLED_MEMORY_DIVISOR: u64 = 8;

/// What a connection that has sent something takes at most: the buffers for heads and answers, its
/// task, and the bytes that arrive while a request is in progress.
const ACTIVE_SIZE: Size = Size::from_kib(40);

/// What an answer that is not read takes at most, here and at the connection to its endpoint.
const STALLED_SIZE: Size = Size::from_kib(160);

/// The connections that a node holds at most.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Those of callers.
    pub callers: Limits,
    /// Those at the readiness address, and as many at the metrics address.
    pub operators: Limits,
    /// Those of other nodes.
    pub nodes: Limits,
}

impl Capacity {
    /// Returns the capacity of a node with this memory and this number of descriptors.
    pub fn new(memory: Size, descriptors: usize) -> Capacity {
        let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        let by_memory = |divisor: u64, size: Size| (memory.0 / divisor / size.0).max(16) as usize;
        let active = by_memory(ACTIVE_MEMORY_DIVISOR, ACTIVE_SIZE);
        let stalled = by_memory(STALLED_MEMORY_DIVISOR, STALLED_SIZE);
        let limits = |open: usize| Limits {
            open,
            active: active.min(open),
            stalled,
        };
        Capacity {
            callers: limits(free * CALLERS_PERCENT / 100),
            operators: OPERATORS,
            nodes: limits(free * NODES_PERCENT / 100),
        }
    }
}
