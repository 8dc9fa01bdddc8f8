//! Connections that others open to this node: how many it holds, and which of them it closes if there
//! are too many.
//!
//! * [`capacity`]: shares a node's memory and descriptors among its listeners.
//! * [`registry`]: counts the connections of one listener and chooses which one is closed.
//! * [`listen`]: opens listeners with bounded socket buffers.
//! * [`pace`]: spreads work over time.
//! * [`stream`]: a connection that tells its registry how far it is.

pub mod capacity;
pub mod listen;
pub mod pace;
pub mod registry;
pub mod stream;

pub use capacity::Capacity;
pub use registry::Limits;
pub use registry::Reason;
pub use registry::Registry;
pub use registry::State;
pub use registry::Tracker;
pub use stream::Stream;
use stream::Switch;

/// The connection over which a request arrived.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Decides how it ends.
    pub switch: Switch,
    /// Follows how far it is.
    pub tracker: Tracker,
}
