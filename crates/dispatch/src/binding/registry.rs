//! The records of which version began each stream, and which nodes are to keep them.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Doubt;
use super::Key;
use super::Outcome;
use super::Statement;
use super::Stream;
use crate::map::HashMap;

/// The maximum number of records. Beyond it those that expire first are dropped, and their streams
/// can't be taken up.
const MAX_RECORDS: usize = 65_536;

/// How long a record is kept after its caller gives up.
const EXPIRY_MARGIN: Span = Span::from_secs(2);

/// The longest time for which a record is kept.
pub const MAX_VALIDITY: Span = Span::from_secs(120);

/// The interval at which a record is sent to keepers that have not confirmed it.
const RESEND_INTERVAL: Span = Span::from_millis(100);

/// The interval at which a record that all keepers confirmed is checked for keepers that are gone.
const CHECK_INTERVAL: Span = Span::from_millis(250);

/// The number of nodes, beside the one that makes it, that keep a record.
pub const KEEPERS: usize = 3;

/// The maximum number of nodes that are told of a record, as some may be silent.
pub const MAX_TOLD: usize = 2 * KEEPERS;

/// The number of times that keepers are told before one more node is.
const ROUNDS_BEFORE_ANOTHER: usize = 3;

/// One start of a node that keeps a record, or that told others of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Keeper {
    /// Its address.
    pub node: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Which version began a stream, and who else knows it.
#[derive(Debug, Clone)]
struct Record {
    service: u32,
    software: id::Software,
    recorded: Time,
    expires: Time,
    /// Whether another node stated another version, or a doubt proved well-founded.
    is_disputed: bool,
    /// The doubt that it is recorded with, and when that can be settled.
    doubt: Option<(Doubt, Time)>,
    /// Whether this node sees to it that keepers have the record: it passed on events of the stream, it
    /// is leaving, or the node that told it is gone.
    tells_keepers: bool,
    /// The node that told this one last.
    told_by: Option<Keeper>,
    /// The keepers that confirmed it.
    confirmed: Vec<Keeper>,
    /// How often keepers were told since enough of them had last confirmed it.
    rounds: usize,
    /// When enough keepers were found to have confirmed it, unless one has gone since.
    complete: Option<Time>,
    /// When the keepers are to be checked.
    due: Time,
}

impl Record {
    /// Returns the keepers that have not confirmed it, none if enough nodes did.
    fn find_missing(&self, rank: impl FnOnce(usize) -> Vec<Keeper>) -> Vec<SocketAddrV4> {
        let wanted = KEEPERS + self.rounds / ROUNDS_BEFORE_ANOTHER;
        let keepers = rank(wanted.min(MAX_TOLD));
        let (confirmed, missing): (Vec<Keeper>, Vec<Keeper>) = keepers
            .into_iter()
            .partition(|keeper| self.confirmed.contains(keeper));
        match confirmed.len() >= KEEPERS {
            true => Vec::new(),
            false => missing.into_iter().map(|keeper| keeper.node).collect(),
        }
    }
}

/// The records of one node.
#[derive(Debug, Default)]
pub struct Registry {
    records: HashMap<Key, Record>,
    expiries: BTreeSet<(Time, Key)>,
    due: BTreeSet<(Time, Key)>,
    /// The streams whose records are in doubt.
    doubted: BTreeSet<Key>,
    /// When a node last joined, which may be a keeper from then on.
    joined: Time,
    /// When it was last checked whether the nodes that told others' records still run.
    tellers_checked: Time,
}

/// What keepers are to be told of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Telling {
    /// The statement.
    pub statement: Statement,
    /// Why it may not hold, if that is in doubt.
    pub doubt: Option<Doubt>,
    /// The keepers that have not confirmed it.
    pub nodes: Vec<SocketAddrV4>,
}

/// What a record states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// The version that began the stream; `None` if two nodes stated different ones, or it is in doubt.
    pub software: Option<id::Software>,
    /// How long until it is known, if it is in doubt.
    pub settled_in: Option<Span>,
    /// The number of its service.
    pub service: u32,
    /// The age of the record.
    pub age: Span,
}

impl Registry {
    /// Records the version of a stream of which this node passes on events.
    pub fn record_own(
        &mut self,
        now: Time,
        stream: Stream,
        service: u32,
        software: &id::Software,
        doubt: Option<Doubt>,
    ) {
        let expires = (stream.until + EXPIRY_MARGIN).min(now + MAX_VALIDITY);
        self.record(now, stream.key, service, software, expires, doubt);
        if let Some(record) = self.records.get_mut(&stream.key) {
            record.tells_keepers = true;
        }
        self.set_due(stream.key, now);
    }

    /// Records what another node states. Returns false if there is no room for it.
    pub fn record_stated(
        &mut self,
        now: Time,
        statement: &Statement,
        doubt: Option<&Doubt>,
    ) -> bool {
        let expires = now + statement.valid_for.min(MAX_VALIDITY);
        let Statement { key, service, .. } = *statement;
        let software = &statement.software;
        self.record(now, key, service, software, expires, doubt.cloned());
        self.records.contains_key(&key)
    }

    /// Settles the records in doubt of which `outcome_of` can tell. It is given the doubt, the stated
    /// version and the time from which on the list tells.
    pub fn settle_doubts(
        &mut self,
        now: Time,
        outcome_of: impl Fn(&Doubt, &id::Software, Time) -> Outcome,
    ) {
        let records = &self.records;
        let outcomes = self.doubted.iter().filter_map(|key| {
            let record = records.get(key)?;
            let (doubt, settled_at) = record.doubt.as_ref()?;
            Some((*key, outcome_of(doubt, &record.software, *settled_at)))
        });
        let settled: Vec<(Key, Outcome)> = outcomes
            .filter(|(_, outcome)| *outcome != Outcome::Open)
            .collect();
        for (key, outcome) in settled {
            self.doubted.remove(&key);
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            record.doubt = None;
            record.is_disputed |= outcome == Outcome::Refuted;
            // Keepers that can't tell yet learn it.
            record.confirmed.clear();
            record.complete = None;
            if record.tells_keepers {
                self.set_due(key, now);
            }
        }
    }

    /// Records which node told a record.
    pub fn record_teller(&mut self, key: Key, teller: Keeper) {
        if let Some(record) = self.records.get_mut(&key) {
            record.told_by = Some(teller);
        }
    }

    /// Has this node tell keepers of the records that nodes told which are gone. `is_live` tells
    /// whether one still runs.
    pub fn take_over_lost(&mut self, now: Time, is_live: impl Fn(&Keeper) -> bool) {
        if now.since(self.tellers_checked) < CHECK_INTERVAL {
            return;
        }
        self.tellers_checked = now;
        let told = self
            .records
            .iter()
            .filter(|(_, record)| !record.tells_keepers);
        let lost = told.filter(|(_, record)| record.told_by.is_none_or(|teller| !is_live(&teller)));
        let lost: Vec<Key> = lost.map(|(key, _)| *key).collect();
        for key in lost {
            self.take_over(now, key);
        }
    }

    /// Records that a node joined, or started again.
    pub fn record_joined(&mut self, now: Time) {
        self.joined = now;
    }

    fn record(
        &mut self,
        now: Time,
        key: Key,
        service: u32,
        software: &id::Software,
        expires: Time,
        doubt: Option<Doubt>,
    ) {
        let doubt = doubt.map(|doubt| {
            let settled_at = now + doubt.settled_in;
            (doubt, settled_at)
        });
        let is_certain = doubt.is_none();
        let record = self.records.entry(key).or_insert_with(|| Record {
            service,
            software: software.clone(),
            recorded: now,
            expires,
            is_disputed: false,
            doubt,
            tells_keepers: false,
            told_by: None,
            confirmed: Vec::new(),
            rounds: 0,
            complete: None,
            due: Time(0),
        });
        if is_certain {
            record.doubt = None;
        }
        match record.doubt.is_some() {
            true => self.doubted.insert(key),
            false => self.doubted.remove(&key),
        };
        record.is_disputed |= record.software != *software || record.service != service;
        self.expiries.remove(&(record.expires, key));
        record.expires = record.expires.max(expires);
        self.expiries.insert((record.expires, key));
        while self.records.len() > MAX_RECORDS {
            self.remove_first_to_expire();
        }
    }

    fn remove_first_to_expire(&mut self) {
        let Some((_, key)) = self.expiries.pop_first() else {
            return;
        };
        self.doubted.remove(&key);
        if let Some(record) = self.records.remove(&key) {
            self.due.remove(&(record.due, key));
        }
    }

    /// Removes the records that have expired.
    pub fn expire(&mut self, now: Time) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first_to_expire();
        }
    }

    /// Returns what is recorded of a stream.
    pub fn find_opt(&self, now: Time, key: Key) -> Option<Found> {
        let record = self.records.get(&key)?;
        let settled_in = record
            .doubt
            .as_ref()
            .map(|(_, settled_at)| settled_at.since(now));
        let is_known = !record.is_disputed && settled_in.is_none();
        Some(Found {
            software: is_known.then(|| record.software.clone()),
            settled_in: settled_in.filter(|_| !record.is_disputed),
            service: record.service,
            age: now.since(record.recorded),
        })
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Has the keepers of all records checked at once, as this node is leaving.
    pub fn hand_over(&mut self, now: Time) {
        let keys: Vec<Key> = self.records.keys().copied().collect();
        for key in keys {
            self.take_over(now, key);
        }
    }

    /// Has this node tell keepers of a record as if it were its own.
    pub fn take_over(&mut self, now: Time, key: Key) {
        if let Some(record) = self.records.get_mut(&key) {
            record.tells_keepers = true;
        }
        self.set_due(key, now);
    }

    fn set_due(&mut self, key: Key, at: Time) {
        if let Some(record) = self.records.get_mut(&key) {
            self.due.remove(&(record.due, key));
            record.due = at;
            self.due.insert((at, key));
        }
    }

    /// Takes the keys of the records whose keepers this node is to check now.
    pub fn take_due(&mut self, now: Time) -> Vec<Key> {
        let mut taken = Vec::new();
        while let Some((at, key)) = self.due.first().copied()
            && at <= now
        {
            self.due.pop_first();
            taken.push(key);
        }
        taken
    }

    /// Returns what to state of a stream, and to which keepers: those of the first nodes that `rank`
    /// returns which have not confirmed it. Has them checked again later. `is_live` tells whether a
    /// keeper still runs, and stays.
    pub fn state(
        &mut self,
        now: Time,
        key: Key,
        is_live: impl Fn(&Keeper) -> bool,
        rank: impl FnOnce(usize) -> Vec<Keeper>,
    ) -> Option<Telling> {
        let joined = self.joined;
        let record = self.records.get_mut(&key)?;
        let confirmed = record.confirmed.len();
        record.confirmed.retain(is_live);
        let is_complete = record.confirmed.len() == confirmed
            && record.complete.is_some_and(|complete| complete > joined);
        let missing = match is_complete || record.is_disputed {
            true => Vec::new(),
            false => record.find_missing(rank),
        };
        if missing.is_empty() {
            record.complete = Some(now);
            record.rounds = 0;
            self.set_due(key, now + CHECK_INTERVAL);
            return None;
        }
        record.complete = None;
        record.rounds += 1;
        let statement = Statement {
            key,
            service: record.service,
            software: record.software.clone(),
            valid_for: record.expires.since(now),
        };
        let doubt = record.doubt.as_ref().map(|(doubt, settled_at)| Doubt {
            settled_in: settled_at.since(now),
            ..doubt.clone()
        });
        self.set_due(key, now + RESEND_INTERVAL);
        Some(Telling {
            statement,
            doubt,
            nodes: missing,
        })
    }

    /// Records that a keeper confirmed records.
    pub fn confirm(&mut self, keeper: Keeper, keys: &[Key]) {
        for key in keys {
            if let Some(record) = self.records.get_mut(key)
                && !record.confirmed.contains(&keeper)
            {
                record.confirmed.push(keeper);
            }
        }
    }
}
