//! Shares a node's memory, descriptors and processor among the connections that others open to it.

use rustix::process::Resource;
use rustix::process::getrlimit;
use woadstage_types::unit::Size;

use super::registry::Limits;
use super::registry::REQUESTS_AHEAD_PER_S;

/// The descriptors that are kept for files, listeners and calls to the platform.
const RESERVED_DESCRIPTORS: usize = 264;

/// Of a hundred other descriptors, those that callers' connections may take, and those that callers'
/// connections which have sent something may take: each request in progress needs another descriptor
/// for its endpoint.
const CALLERS_PERCENT: usize = 45;
const ACTIVE_CALLERS_PERCENT: usize = 25;

/// Of a hundred of them, those that other nodes' connections may take, and connections to endpoints that
/// are at rest.
const NODES_PERCENT: usize = 10;
const IDLE_ENDPOINTS_PERCENT: usize = 20;

/// Request bodies may take the node's memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The size of each buffer of callers' sockets, and of those to endpoints.
const CALLERS_BUFFER: Size = Size::from_kib(16);
const ENDPOINTS_BUFFER: Size = Size::from_kib(32);

/// The small pieces of bodies that are read in a second.
const SMALL_PIECES_PER_S: u64 = 8_192;

/// The connections at the readiness address.
const READY: Limits = Limits {
    open: 256,
    active: 64,
    stalled: 16,
    requests_ahead_per_s: REQUESTS_AHEAD_PER_S,
};

/// The connections at the metrics address.
const METRICS: Limits = Limits {
    open: 32,
    active: 16,
    stalled: 8,
    requests_ahead_per_s: REQUESTS_AHEAD_PER_S,
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

/// The connections that a node holds at most, what they may take, and how fast it does what they ask
/// for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// Those of callers.
    pub callers: Limits,
    /// Those at the readiness address.
    pub ready: Limits,
    /// Those at the metrics address.
    pub metrics: Limits,
    /// Those of other nodes.
    pub nodes: Limits,
    /// Those to endpoints and other nodes that are at rest.
    pub idle_endpoints: usize,
    /// The memory for request bodies.
    pub body_memory: Size,
    /// The size of each buffer of callers' sockets.
    pub callers_buffer: Size,
    /// The size of each buffer of sockets to endpoints and other nodes.
    pub endpoints_buffer: Size,
    /// The small pieces of callers' bodies that are read in a second.
    pub small_pieces_per_s: u64,
}

impl Capacity {
    /// Returns the capacity of a node with this memory and this number of descriptors.
    pub fn new(memory: Size, descriptors: usize) -> Capacity {
        let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        let percent = |percent: usize| (free * percent / 100).max(16);
        let by_memory = |divisor: u64, size: Size| (memory.0 / divisor / size.0).max(16) as usize;
        let active = by_memory(ACTIVE_MEMORY_DIVISOR, ACTIVE_SIZE);
        let stalled = by_memory(STALLED_MEMORY_DIVISOR, STALLED_SIZE);
        let limits = |open: usize, most: usize| Limits {
            open,
            active: active.min(most),
            stalled,
            requests_ahead_per_s: REQUESTS_AHEAD_PER_S,
        };
        Capacity {
            callers: limits(percent(CALLERS_PERCENT), percent(ACTIVE_CALLERS_PERCENT)),
            ready: READY,
            metrics: METRICS,
            nodes: limits(percent(NODES_PERCENT), percent(NODES_PERCENT)),
            idle_endpoints: percent(IDLE_ENDPOINTS_PERCENT),
            body_memory: Size(memory.0 / BODY_MEMORY_DIVISOR),
            callers_buffer: CALLERS_BUFFER,
            endpoints_buffer: ENDPOINTS_BUFFER,
            small_pieces_per_s: SMALL_PIECES_PER_S,
        }
    }
}

/// Returns the number of descriptors that the host lets this process have.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| limit as usize)
}
