//! The time of day, by which the processes of a case write what they see.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
