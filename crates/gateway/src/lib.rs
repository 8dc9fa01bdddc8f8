//! A gateway node: the network I/O and timers around the scheduling decisions of
//! `woadstage-dispatch`. It forwards requests without interpreting their bodies and runs
//! on a single-threaded event loop.
//!
//! * [`settings`], [`policy`]: the settings of a node.
//! * [`check`]: validates a settings file without starting a node.
//! * [`headers`]: the configurable names of HTTP headers.
//! * [`run`]: the process from start to graceful shutdown.
//! * [`start`]: reads the settings, opens the sockets and spawns the tasks.
//! * [`stop`]: a planned stop.
//! * [`supervise`]: keeps the tasks of the process running.
//! * [`source`]: the interface to the adapter that reads the platform.
//! * [`publish`], [`active_configuration`]: applying configurations and lists of endpoints.
//! * [`shell`]: the state that all tasks share, and the delivery of decisions to them.
//! * [`connections`]: the connections that others open to this node.
//! * `counted`: counts what is in progress.
//! * [`serve`]: answers callers.
//! * [`upstream`]: calls endpoints.
//! * [`dial`]: opens outgoing connections.
//! * [`peers`]: communicates with other nodes.
//! * [`operators`]: the readiness and metrics endpoints.
//! * [`event`], [`log`], [`metrics`], [`explain`]: logs, metrics and their interpretation.
//! * [`clock`]: a monotonic clock that includes suspensions of the host.

pub mod active_configuration;
pub mod check;
pub mod clock;
pub mod connections;
mod counted;
pub mod dial;
pub mod event;
pub mod explain;
pub mod headers;
pub mod log;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod policy;
pub mod publish;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shell;
pub mod source;
pub mod start;
pub mod stop;
pub mod supervise;
pub mod upstream;
