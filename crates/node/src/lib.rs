//! The input and output around the decision core: everything that uses a socket
//! or a clock. Each process runs one event loop on one thread.
//!
//! * [`driver`]: the event loop that owns the core and executes its actions.
//! * [`callers`]: the HTTP server for callers.
//! * [`endpoints`]: the HTTP client for engines and services.
//! * [`peers`]: QUIC connections between nodes.
//! * [`platform`]: the client of the platform's read-only service.
//! * [`dial`]: opens outgoing HTTP connections.
//! * [`listen`]: the sockets at which a node listens.
//! * [`operators`]: the HTTP server for metrics, health checks and the query
//!   commands.
//! * [`metrics`]: the metrics.
//! * [`clock`]: the process's clock.
//! * [`running`]: a node that runs, and how it stops.
//! * [`tasks`]: the tasks without which a node can't serve.
//! * [`commands`]: the program's commands.

pub mod callers;
pub mod clock;
pub mod commands;
pub mod dial;
pub mod driver;
pub mod endpoints;
pub mod listen;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod running;
pub mod tasks;
