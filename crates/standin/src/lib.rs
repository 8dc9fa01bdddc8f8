//! Stand-ins for what the system meets, for tests, benches and the demo. Not
//! shipped.
//!
//! * [`engine`]: an engine's cost model: batches by steps, prefill, cache.
//! * [`http`]: engine, service and platform as small servers.
//! * [`sample`]: configurations of the two first users' deployments.
//! * [`fleet`]: node processes with addresses of their own.
//! * [`client`]: a small caller.
//! * [`world`]: many cores under a virtual clock.
//! * [`demo`]: the whole path in one command.

mod cases;
pub mod client;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod sample;
pub mod world;
