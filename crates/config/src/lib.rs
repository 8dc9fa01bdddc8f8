//! Parsers for settings and configuration, which report every fault in their input.
//!
//! * [`fault`]: a fault in a file: its path, result code and remedy.
//! * [`read`]: reads fields from a TOML table and collects every fault.
//! * [`published`]: the configuration that operators publish and confirm.
//! * [`plan`]: merges an intent into the active configuration.
//! * [`settings`]: the settings of one node.
//! * [`hosts`]: the platform's list of live and leaving hosts.

pub mod fault;
pub mod hosts;
pub mod plan;
pub mod published;
pub mod read;
pub mod settings;
