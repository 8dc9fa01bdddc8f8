//! Places in the queue kept for callers that were refused and asked to return.
//!
//! An owner of slots keeps a calendar for each service, in steps of [`STEP`]. It holds the bookings
//! that the owner made and those that other owners announced. Only the former take room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::configuration::Rank;
use crate::job;
use crate::job::Fingerprint;
use crate::map::HashMap;

/// The length of a step of the calendar.
pub const STEP: Span = Span::from_millis(100);

/// How long before it is due a booking can be claimed.
pub const EARLY: Span = Span::from_millis(100);

/// How long after it was due a booking can be claimed.
pub const LATE: Span = Span::from_millis(500);

/// The number of open bookings of a service, including those of other owners.
pub const MAX_OPEN: usize = 4_096;

/// How far ahead bookings are made. Callers come back within a third of their remaining time, which
/// is 5 s for the longest timeouts (15 s).
const HORIZON: Span = Span::from_secs(5);

/// The part of a rank's starts that can be booked. A caller with a booking is answered late, as it
/// takes the place of one that would be in time. With 0.1, streams at 1.3 times the capacity were in
/// time less often than without bookings in three of five runs, and with 0.05 in none.
pub const BOOKABLE_PART: f64 = 0.05;

/// The number of bookings and of claims in one announcement, so that it fits an unfragmented
/// datagram: a booking takes up to 22 bytes, and a claim 10.
const MAX_ANNOUNCED: usize = 32;

/// Bookings made and claimed at one owner since its last announcement.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The service's number.
    pub service: u32,
    /// Bookings that were made.
    pub made: Vec<Booking>,
    /// The fingerprints of bookings that were claimed, once for each claim.
    pub claimed: Vec<Fingerprint>,
}

/// A place in the queue kept for a caller that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// What the caller asks for.
    pub fingerprint: Fingerprint,
    /// The rank of the request.
    pub rank: Rank,
    /// The time since the caller's first try.
    pub since_first_try: Span,
    /// The time until the caller is to return.
    pub due_in: Span,
}

/// A refused request for which a place is to be booked.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// What the caller asks for.
    pub fingerprint: Fingerprint,
    /// Its rank.
    pub rank: Rank,
    /// When its caller first tried.
    pub first_try: Time,
    /// The earliest time at which the caller may return.
    pub earliest: Time,
    /// The latest time at which the caller can still be served.
    pub latest: Time,
}

/// A booking that was claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// When its caller first tried.
    pub first_try: Time,
    /// When it was due.
    pub due: Time,
}

/// The start of a request whose caller claimed a booking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// When the booking was due.
    pub due: Time,
    /// When the request was started.
    pub started: Time,
}

impl Start {
    /// Returns how long after it was due the request was started, in seconds. Negative if it was
    /// started earlier.
    pub fn error_seconds(self) -> f64 {
        self.started.since(self.due).as_secs_f64() - self.due.since(self.started).as_secs_f64()
    }
}

/// The number of bookings by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bookings made by this owner.
    pub made: u64,
    /// Bookings claimed at this owner.
    pub claimed: u64,
    /// Bookings made by this owner that expired unclaimed.
    pub expired: u64,
    /// Requests refused at this owner after their callers had claimed a booking.
    pub refused: u64,
}

/// An open booking in the calendar.
#[derive(Debug, Clone, Copy)]
struct Entry {
    rank: Rank,
    first_try: Time,
    /// The owner that made it, if not this one.
    maker: Option<SocketAddrV4>,
}

/// Identifies an open booking. Bookings of one fingerprint are ordered by when they are due.
type Key = (Fingerprint, Time, u64);

/// The bookings of one service.
#[derive(Debug, Default)]
pub struct Calendar {
    open: BTreeMap<Key, Entry>,
    due_order: BTreeSet<(Time, Key)>,
    next_number: u64,
    /// The number of bookings that this owner made for each step of a rank.
    booked: BTreeMap<(Rank, u64), u32>,
    /// The waiting requests whose callers claimed a booking, and when those were due.
    claimants: HashMap<job::Id, Time>,
    made_unannounced: Vec<Key>,
    claimed_unannounced: Vec<Fingerprint>,
    counts: Counts,
}

impl Calendar {
    /// Books the first step with room, and returns when the caller is to return. `None` if there is
    /// no such step, or if the fingerprint has an open booking already. `rate` is the number of
    /// requests of the rank that start in a second.
    pub fn book(&mut self, now: Time, request: &Request, rate: f64) -> Option<Time> {
        let is_taken = self.keys_of(request.fingerprint).next().is_some();
        if is_taken || self.open.len() >= MAX_OPEN {
            return None;
        }
        let per_step = rate * BOOKABLE_PART * STEP.as_secs_f64();
        let latest = request.latest.min(now + HORIZON);
        let (step, position) =
            self.first_step_opt(now, request.rank, per_step, request.earliest, latest)?;
        // The callers of one step are spread over it.
        let offset = STEP.0 * u64::from(position) / (per_step.ceil() as u64).max(1);
        let due = Time(step * STEP.0 + offset);
        if due > latest {
            return None;
        }
        *self.booked.entry((request.rank, step)).or_default() += 1;
        self.counts.made += 1;
        let entry = Entry {
            rank: request.rank,
            first_try: request.first_try,
            maker: None,
        };
        let key = self.insert(request.fingerprint, due, entry);
        self.made_unannounced.push(key);
        Some(due)
    }

    /// Returns the first step with room from `earliest` to `latest`, and the number of bookings in
    /// it. A step takes `per_step` bookings, rounded up, as long as no span that starts now takes
    /// more than `per_step` bookings a step.
    fn first_step_opt(
        &self,
        now: Time,
        rank: Rank,
        per_step: f64,
        earliest: Time,
        latest: Time,
    ) -> Option<(u64, u32)> {
        let current = now.0 / STEP.0;
        let (first, last) = (earliest.0.div_ceil(STEP.0), latest.0 / STEP.0);
        let mut chosen = None;
        let mut total = 0;
        for step in current..=current + HORIZON.0 / STEP.0 {
            let booked = self.booked.get(&(rank, step)).copied().unwrap_or(0);
            total += booked;
            let room = per_step * (step - current + 1) as f64 - f64::from(total);
            if room < 1.0 {
                // The steps up to this one are full together.
                chosen = None;
            } else if chosen.is_none()
                && (first..=last).contains(&step)
                && f64::from(booked) < per_step.ceil()
            {
                chosen = Some((step, booked));
            }
        }
        chosen
    }

    fn insert(&mut self, fingerprint: Fingerprint, due: Time, entry: Entry) -> Key {
        self.next_number += 1;
        let key = (fingerprint, due, self.next_number);
        self.open.insert(key, entry);
        self.due_order.insert((due, key));
        key
    }

    fn remove(&mut self, key: Key) -> Option<Entry> {
        self.due_order.remove(&(key.1, key));
        self.open.remove(&key)
    }

    /// Iterates over the open bookings of a fingerprint, in the order in which they are due.
    fn keys_of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = (Key, Entry)> + '_ {
        let range = (fingerprint, Time(0), 0)..=(fingerprint, Time(u64::MAX), u64::MAX);
        self.open.range(range).map(|(key, entry)| (*key, *entry))
    }

    /// Claims a booking for a request that arrived at about the time that it is due.
    pub fn claim(&mut self, now: Time, id: job::Id, job: &job::Job) -> Option<Claim> {
        let mut open = self.keys_of(job.fingerprint);
        let (key, entry) = open.find(|((_, due, _), entry)| {
            entry.rank == job.rank && *due <= now + EARLY && now <= *due + LATE
        })?;
        drop(open);
        self.remove(key);
        let (_, due, _) = key;
        self.claimants.insert(id, due);
        self.claimed_unannounced.push(job.fingerprint);
        self.counts.claimed += 1;
        Some(Claim {
            first_try: entry.first_try,
            due,
        })
    }

    /// Records that a request left the queue for an endpoint. Returns when its booking was due, if
    /// its caller claimed one.
    pub fn record_start(&mut self, id: job::Id) -> Option<Time> {
        self.claimants.remove(&id)
    }

    /// Records that a request was refused.
    pub fn record_refused(&mut self, id: job::Id) {
        self.counts.refused += u64::from(self.claimants.remove(&id).is_some());
    }

    /// Removes bookings that were not claimed in time, and requests that do not wait any more.
    pub fn expire(&mut self, now: Time, is_waiting: impl Fn(job::Id) -> bool) {
        while let Some((due, key)) = self.due_order.first().copied() {
            if now <= due + LATE {
                break;
            }
            let entry = self.remove(key);
            let is_own = entry.is_some_and(|entry| entry.maker.is_none());
            self.counts.expired += u64::from(is_own);
        }
        let current = now.0 / STEP.0;
        self.booked.retain(|(_, step), _| *step >= current);
        self.claimants.retain(|id, _| is_waiting(*id));
    }

    /// Takes what the other owners of the service are to be told.
    pub fn take_announcements(&mut self, now: Time, service: u32) -> Vec<Announcement> {
        let made = std::mem::take(&mut self.made_unannounced);
        let made: Vec<Booking> = made
            .iter()
            .filter_map(|key| {
                let entry = self.open.get(key)?;
                Some(Booking {
                    fingerprint: key.0,
                    rank: entry.rank,
                    since_first_try: now.since(entry.first_try),
                    due_in: key.1.since(now),
                })
            })
            .collect();
        let claimed = std::mem::take(&mut self.claimed_unannounced);
        let count = made.len().max(claimed.len()).div_ceil(MAX_ANNOUNCED);
        let mut made = made.chunks(MAX_ANNOUNCED);
        let mut claimed = claimed.chunks(MAX_ANNOUNCED);
        let announcements = (0..count).map(|_| Announcement {
            service,
            made: made.next().unwrap_or_default().to_vec(),
            claimed: claimed.next().unwrap_or_default().to_vec(),
        });
        announcements.collect()
    }

    /// Adds the bookings of another owner, and removes those that were claimed there. An owner has
    /// at most one open booking for each fingerprint, so that a repeated message adds none.
    pub fn receive(&mut self, now: Time, from: SocketAddrV4, announcement: &Announcement) {
        for booking in &announcement.made {
            let mut open = self.keys_of(booking.fingerprint);
            let old = open.find(|(_, entry)| entry.maker == Some(from));
            drop(open);
            if let Some((key, _)) = old {
                self.remove(key);
            }
            if self.open.len() >= MAX_OPEN || booking.due_in > HORIZON {
                continue;
            }
            let entry = Entry {
                rank: booking.rank,
                first_try: now - booking.since_first_try,
                maker: Some(from),
            };
            self.insert(booking.fingerprint, now + booking.due_in, entry);
        }
        for fingerprint in &announcement.claimed {
            let first = self.keys_of(*fingerprint).next();
            if let Some((key, _)) = first {
                self.remove(key);
            }
        }
    }

    /// The number of open bookings.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no booking is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The number of bookings by what became of them.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}
