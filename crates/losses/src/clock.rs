//! Clock alignment between hosts. Published documents take effect on all nodes
//! at almost the same time, so the times of the same version in two logs give the offset
//! between the clocks of two hosts.

use std::collections::HashMap;

use crate::line::Event;
use crate::line::Line;

/// The smallest clock offset that is corrected. Nodes apply the same version up
/// to a few hundred milliseconds apart, so smaller offsets are ignored.
const MIN_OFFSET_MS: i64 = 1_000;

/// A published version, which takes effect on all nodes at about the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Version {
    Configuration(u64),
    Endpoints(u64),
}

/// Returns the milliseconds to add to the times of each file to align them with
/// the first file.
pub fn offsets(files: &[Vec<Line>]) -> Vec<i64> {
    let versions: Vec<HashMap<Version, u64>> =
        files.iter().map(|lines| to_first_applied(lines)).collect();
    let Some(reference) = versions.first() else {
        return Vec::new();
    };
    versions
        .iter()
        .map(|applied| offset(reference, applied))
        .collect()
}

/// Returns the time at which each version first took effect.
fn to_first_applied(lines: &[Line]) -> HashMap<Version, u64> {
    let mut versions = HashMap::new();
    for line in lines {
        let version = match line.event {
            Event::Configuration { version } => Version::Configuration(version),
            Event::Endpoints { revision } => Version::Endpoints(revision),
            _ => continue,
        };
        versions.entry(version).or_insert(line.time_ms);
    }
    versions
}

/// Returns the median time difference of the versions that both logs contain, or 0 if it is
/// less than [`MIN_OFFSET_MS`].
fn offset(reference: &HashMap<Version, u64>, other: &HashMap<Version, u64>) -> i64 {
    let common = other.iter().filter_map(|(version, applied_at_ms)| {
        let reference_ms = reference.get(version)?;
        Some(*reference_ms as i64 - *applied_at_ms as i64)
    });
    let mut differences: Vec<i64> = common.collect();
    differences.sort_unstable();
    let median = differences.get(differences.len() / 2).copied().unwrap_or(0);
    match median.abs() < MIN_OFFSET_MS {
        true => 0,
        false => median,
    }
}
