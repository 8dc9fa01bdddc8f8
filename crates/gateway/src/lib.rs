//! A node that forwards whole requests unread: sockets, clocks and bytes around
//! the decisions of `woadstage-dispatch`. One loop on one thread.
//!
//! * [`settings`]: what one process is told about itself.
//! * [`check`]: checks settings without running.
//! * [`headers`]: the names under which callers and endpoints speak of requests.
//! * [`run`]: the whole process, from settings to a planned stop.
//! * [`source`]: how what the platform publishes reaches the node.
//! * [`publish`], [`active_configuration`]: what comes into force, and how it came.
//! * [`shell`]: the decisions, and who waits for them.
//! * [`serve`] answers callers.
//! * [`upstream`] calls endpoints.
//! * [`peers`] speaks with other nodes.
//! * [`operators`]: readiness and metrics.
//! * [`event`], [`log`], [`metrics`], [`explain`]: what can be known afterwards.
//! * [`clock`]: the time, which never steps.

pub mod active_configuration;
pub mod check;
pub mod clock;
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
pub mod upstream;
