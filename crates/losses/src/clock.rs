//! Hosts' clocks, put side by side. What the platform publishes comes into force
//! on all nodes within moments, so the same version in two logs tells how far
//! the clocks of two hosts lie apart.

use std::collections::HashMap;

use crate::line::Event;
use crate::line::Line;

/// Clocks that lie apart by less than this are taken as they are, in
/// milliseconds: versions come into force up to some hundred milliseconds apart.
const APART_LEAST_MS: i64 = 1_000;

/// Something that happens on all nodes at about the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mark {
    Configuration(u64),
    Endpoints(u64),
}

/// How many milliseconds are to be added to the times of each file, so that they
/// agree with the first file's.
pub fn offsets(files: &[Vec<Line>]) -> Vec<i64> {
    let marks: Vec<HashMap<Mark, u64>> = files.iter().map(|lines| to_marks(lines)).collect();
    let Some(reference) = marks.first() else {
        return Vec::new();
    };
    marks.iter().map(|one| offset(reference, one)).collect()
}

/// The first time at which each version came into force.
fn to_marks(lines: &[Line]) -> HashMap<Mark, u64> {
    let mut marks = HashMap::new();
    for line in lines {
        let mark = match line.event {
            Event::Configuration { version } => Mark::Configuration(version),
            Event::Endpoints { revision } => Mark::Endpoints(revision),
            _ => continue,
        };
        marks.entry(mark).or_insert(line.time_ms);
    }
    marks
}

/// The median of how far the marks that both have lie apart.
fn offset(reference: &HashMap<Mark, u64>, other: &HashMap<Mark, u64>) -> i64 {
    let both = other.iter().filter_map(|(mark, at)| {
        let there = reference.get(mark)?;
        Some(*there as i64 - *at as i64)
    });
    let mut apart: Vec<i64> = both.collect();
    apart.sort_unstable();
    let median = apart.get(apart.len() / 2).copied().unwrap_or(0);
    match median.abs() < APART_LEAST_MS {
        true => 0,
        false => median,
    }
}
