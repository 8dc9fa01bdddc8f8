//! Hashed maps and sets whose order is the same in each run. Decisions may depend on the order in which
//! endpoints, requests or nodes are visited; with it they follow from the inputs alone.
//!
//! The keys are numbers and names of this system, or hashes of what callers sent, so a known hash
//! function lets nobody slow a node down.

use foldhash::fast::FixedState;

/// A map with a fixed order.
pub type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// A set with a fixed order.
pub type HashSet<K> = std::collections::HashSet<K, FixedState>;
