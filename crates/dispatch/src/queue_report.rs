//! How long requests wait at the other owners of a service's slots, and which of these owners a
//! request is redirected to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::configuration::Rank;

/// The interval of an owner's reports while requests wait.
pub const INTERVAL: Span = Span::from_millis(100);

/// The age at which a report is ignored. It covers two lost reports in a row.
pub const MAX_AGE: Span = Span::from_millis(300);

/// The highest wait at another owner for which a request is redirected, as a ratio of the wait at
/// this one. Reports are up to [`INTERVAL`] old: with 0.95, 27% of the redirected requests were
/// refused at the other owner while six cells were overloaded, with 0.9, 15%.
const MAX_WAIT_RATIO: f64 = 0.9;

/// How long requests wait at one owner, sent to the other owners of the same service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service's number.
    pub service: u32,
    /// The only endpoint whose slots the sender owns, if each endpoint has its own owner.
    pub endpoint: Option<u32>,
    /// The number of free slots.
    pub free_slots: u16,
    /// The predicted wait of a new request of each rank, most protected rank first. A rank that is
    /// left out has no wait.
    pub waits: Vec<Wait>,
}

/// The predicted wait of a new request of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// The rank.
    pub rank: Rank,
    /// The wait.
    pub wait: Span,
}

impl Report {
    /// Returns the predicted wait of a new request. It waits at least as long as those of more
    /// protected ranks, also if none of its own rank waits.
    pub fn wait(&self, rank: Rank) -> Span {
        let preceding = self.waits.iter().filter(|wait| wait.rank <= rank);
        preceding.map(|wait| wait.wait).max().unwrap_or_default()
    }
}

/// The owner of some of a service's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Source {
    /// The owner's address.
    pub owner: SocketAddrV4,
    /// The only endpoint whose slots it owns, if each endpoint has its own owner.
    pub endpoint: Option<u32>,
}

/// The latest report of an owner.
#[derive(Debug, Clone)]
struct Entry {
    received: Time,
    report: Report,
    /// The requests of each rank that were redirected there since the report.
    redirected: BTreeMap<Rank, u32>,
}

impl Entry {
    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.received) <= MAX_AGE
    }
}

/// The latest reports of the other owners of one service's slots.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: BTreeMap<Source, Entry>,
}

impl Registry {
    /// Records an owner's report in place of its previous one, and drops reports that are too old.
    pub fn record(&mut self, now: Time, owner: SocketAddrV4, report: Report) {
        self.entries.retain(|_, entry| entry.is_fresh(now));
        let source = Source {
            owner,
            endpoint: report.endpoint,
        };
        let entry = Entry {
            received: now,
            report,
            redirected: BTreeMap::new(),
        };
        self.entries.insert(source, entry);
    }

    /// Drops the reports of an owner that failed to answer.
    pub fn forget(&mut self, owner: SocketAddrV4) {
        self.entries.retain(|source, _| source.owner != owner);
    }

    /// Returns the owners whose reports are recent.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = Source> + '_ {
        let fresh = self.entries.iter();
        let fresh = fresh.filter(move |(_, entry)| entry.is_fresh(now));
        fresh.map(|(source, _)| *source)
    }

    /// Whether an owner recently reported that requests wait there.
    pub fn has_waiting_at(&self, now: Time, owner: SocketAddrV4) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(source, entry)| {
            source.owner == owner && entry.is_fresh(now) && !entry.report.waits.is_empty()
        })
    }

    /// Counts the owners that recently reported a longer wait than this. An owner of several
    /// endpoints counts once.
    pub fn count_beyond(&self, now: Time, rank: Rank, wait: Span) -> usize {
        let entries = self.entries.iter();
        let beyond = entries
            .filter(|(_, entry)| entry.is_fresh(now) && entry.report.wait(rank) > wait)
            .map(|(source, _)| source.owner);
        beyond.collect::<BTreeSet<SocketAddrV4>>().len()
    }

    /// Counts a request that was redirected to an owner.
    pub fn record_redirected(&mut self, source: Source, rank: Rank) {
        if let Some(entry) = self.entries.get_mut(&source) {
            *entry.redirected.entry(rank).or_default() += 1;
        }
    }

    /// Returns the expected load of an owner for a new request: what it reported, and the requests
    /// redirected there since by this and other owners, `senders` in all, which are assumed to
    /// redirect as many each. `None` without a recent report.
    pub fn load_opt(
        &self,
        now: Time,
        source: Source,
        rank: Rank,
        service_time: ServiceTime,
        senders: u32,
    ) -> Option<Load> {
        let entry = self.entries.get(&source)?;
        let entry = Some(entry).filter(|entry| entry.is_fresh(now))?;
        let preceding = entry.redirected.range(..=rank);
        let redirected: u32 = preceding.map(|(_, count)| count).sum();
        let redirected = redirected.saturating_mul(senders);
        let free_slots = u32::from(entry.report.free_slots);
        let beyond = redirected.saturating_sub(free_slots);
        Some(Load {
            wait: entry.report.wait(rank) + service_time.of(beyond),
            free_slots: free_slots.saturating_sub(redirected),
        })
    }
}

/// The time that the slots of one owner take for requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// The typical time of a call, in microseconds.
    pub call_us: f64,
    /// The number of slots.
    pub slots: u32,
}

impl ServiceTime {
    /// The time between two starts while all slots are in use, in microseconds.
    fn start_interval_us(self) -> f64 {
        self.call_us / f64::from(self.slots.max(1))
    }

    fn of(self, requests: u32) -> Span {
        Span((f64::from(requests) * self.start_interval_us()) as u64)
    }
}

/// The expected load of one owner for a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The expected wait.
    pub wait: Span,
    /// The free slots.
    pub free_slots: u32,
}

/// How far away an owner is; the nearest is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this node's data centre.
    Centre,
    /// In another data centre of the same region.
    Region,
    /// Elsewhere.
    Elsewhere,
}

/// An owner that a request may be redirected to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The owner.
    pub source: Source,
    /// How far away it is.
    pub distance: Distance,
    /// Its expected load for the request.
    pub load: Load,
    /// The time that its slots take for requests.
    pub service_time: ServiceTime,
}

/// The limits of the wait of a request at another owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The wait with which its answer is still acceptable.
    pub max_wait: Span,
    /// The wait at this owner.
    pub own_wait: Span,
}

impl Limits {
    /// Whether a wait is acceptable and clearly less than here.
    pub fn allow(self, wait: Span) -> bool {
        let clearly_less = wait.0 as f64 <= self.own_wait.0 as f64 * MAX_WAIT_RATIO;
        wait <= self.max_wait && clearly_less
    }
}

/// Chooses an owner at which a request waits acceptably and clearly less than here. The nearest
/// have precedence; among them the choice is random (`drawn`), weighted by the number of requests
/// that an owner can still accept within the same limit.
pub fn choose_opt(candidates: &[Candidate], limits: Limits, drawn: u64) -> Option<Source> {
    let allowed = candidates.iter();
    let allowed = allowed.filter(|candidate| limits.allow(candidate.load.wait));
    let nearest = allowed.clone().map(|candidate| candidate.distance).min()?;
    let nearest: Vec<(Source, u64)> = allowed
        .filter(|candidate| candidate.distance == nearest)
        .map(|candidate| (candidate.source, capacity(candidate, limits)))
        .collect();
    let total: u64 = nearest.iter().map(|(_, capacity)| capacity).sum();
    let mut position = drawn.checked_rem(total)?;
    for (source, capacity) in nearest {
        if position < capacity {
            return Some(source);
        }
        position -= capacity;
    }
    None
}

/// Returns the number of requests that an owner can accept before their wait exceeds the limit.
fn capacity(candidate: &Candidate, limits: Limits) -> u64 {
    let headroom = limits.max_wait.0.saturating_sub(candidate.load.wait.0) as f64;
    let interval = candidate.service_time.start_interval_us().max(1.0);
    1 + u64::from(candidate.load.free_slots) + (headroom / interval) as u64
}

/// Counts of redirections of one service since the node started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that this node redirected to another owner.
    pub redirected: u64,
    /// Of these, requests that would have been late here and were not refused.
    pub late: u64,
    /// Redirected requests that this node refused.
    pub refused: u64,
    /// Redirections that this node could not follow.
    pub unfollowed: u64,
    /// Requests that were not redirected while no recent report came from any other data centre.
    pub isolated: u64,
}
