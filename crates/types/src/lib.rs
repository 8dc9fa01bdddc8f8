//! Basic value types that all other crates use: identifiers, times, sizes, rates
//! and the numbered result codes.
//!
//! * [`code`]: result codes and the outcomes that they state.
//! * [`id`]: names and 128-bit ids of hosts, customers and requests, among others.
//! * [`mod@unit`]: times, durations, sizes and rates with their text forms.
//! * [`hash`]: hash functions that give the same result on every host and in every release.

pub mod code;
pub mod hash;
pub mod id;
pub mod unit;
