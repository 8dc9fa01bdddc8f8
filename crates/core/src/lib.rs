//! The scheduling core: decides where and when each request runs, waits or is
//! rejected.
//!
//! It uses no sockets, no clock and no global randomness: a [`node::Node`] takes
//! the time and an event and returns actions. `docs/CORE.md` describes how to
//! drive it.
//!
//! * [`node`]: the state of one node, its events and actions.
//! * [`pool`]: admission for one target: queue, endpoints and placement.
//! * [`ledger`]: at-most-once execution by tickets and callers' own keys.
//! * [`member`]: membership and liveness of the other nodes.
//! * [`document`]: selection of the configuration in force.
//! * [`limit`]: customer limits and the retry budget.
//! * [`message`]: messages between nodes.
//! * [`trace`]: decisions recorded for recent requests.

pub mod document;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod message;
pub mod node;
pub mod pool;
pub mod trace;
