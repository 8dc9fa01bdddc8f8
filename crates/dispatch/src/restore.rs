//! What a node keeps of earlier lists of endpoints when the platform comes back with an
//! older copy of what it had acknowledged.
//!
//! Such a copy lacks what was written last until that is written again: an endpoint that
//! had ended stands there, one that was leaving is ready, one that was started again has
//! its start before, and a data centre that was evacuated is not. What a node was told
//! before goes before what the copy says of these, for as long as it takes until all is
//! written again. Endpoints that the copy lacks are kept as after any outage
//! ([`List::merge`]).

use std::collections::HashMap;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::endpoint::Endpoint;
use crate::endpoint::Instance;
use crate::endpoint::List;

/// How long what was known goes before an older copy. An entry whose endpoint has ended
/// goes after three heartbeats of silence, which are 9 s at most on the users' sheets.
const WRITTEN_AGAIN_WITHIN: Span = Span::from_secs(10);

/// How long the end of an endpoint is remembered: three times as long as the platform
/// keeps its history, which is 20 s on all of the users' sheets.
const REMEMBERED_FOR: Span = Span::from_secs(60);

/// What a list said of one start of an endpoint that takes no more work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It was leaving.
    Leaving,
    /// It was not there any more.
    Gone,
}

/// What lists of one era, and of those before, said.
#[derive(Debug, Default)]
pub struct Memory {
    /// Endpoints that end in the era in force, with when that was noted.
    ends: HashMap<Instance, (End, Time)>,
    /// What goes before the lists of the era in force.
    kept: Option<Kept>,
}

/// What goes before the lists of an era.
#[derive(Debug)]
struct Kept {
    until: Time,
    ends: HashMap<Instance, (End, Time)>,
    /// The latest start of each endpoint.
    started_at: HashMap<id::Endpoint, u64>,
    /// Data centres that were evacuated.
    evacuated: Vec<id::DataCentre>,
}

impl Memory {
    /// Notes what a list changes that comes into force after another of its era.
    pub fn note(&mut self, now: Time, before: &List, after: &List) {
        self.ends
            .retain(|_, (_, at)| now.since(*at) < REMEMBERED_FOR);
        let listed: HashMap<Instance, bool> = after
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.to_instance(), endpoint.leaving))
            .collect();
        for (life, leaving) in &listed {
            match leaving {
                true => self.ends.insert(life.clone(), (End::Leaving, now)),
                false => self.ends.remove(life),
            };
        }
        if !after.settled {
            return;
        }
        for life in before.endpoints.iter().map(Endpoint::to_instance) {
            if !listed.contains_key(&life) {
                self.ends.insert(life, (End::Gone, now));
            }
        }
    }

    /// Notes that a new era begins, after a list of the era before.
    pub fn begin_era(&mut self, now: Time, before: &List) {
        let mut ends = std::mem::take(&mut self.ends);
        let mut evacuated = before.evacuated.clone();
        if let Some(kept) = self.kept.take().filter(|kept| now < kept.until) {
            for (life, end) in kept.ends {
                ends.entry(life).or_insert(end);
            }
            evacuated.extend(kept.evacuated);
        }
        evacuated.sort();
        evacuated.dedup();
        let started_at = before.endpoints.iter();
        let started_at = started_at.map(|endpoint| (endpoint.name.clone(), endpoint.started_at));
        self.kept = Some(Kept {
            until: now + WRITTEN_AGAIN_WITHIN,
            ends,
            started_at: started_at.collect(),
            evacuated,
        });
    }

    /// A list of the era in force as it is to be taken; none where it says nothing that
    /// was known otherwise.
    pub fn correct(&self, now: Time, list: &List) -> Option<List> {
        let kept = self.kept.as_ref().filter(|kept| now < kept.until)?;
        let endpoints = list.endpoints.iter().filter_map(|one| kept.correct(one));
        let mut corrected = List {
            endpoints: endpoints.collect(),
            ..list.clone()
        };
        let missing = kept.evacuated.iter();
        let missing = missing.filter(|one| !list.evacuated.contains(one));
        corrected.evacuated.extend(missing.cloned());
        (corrected != *list).then_some(corrected)
    }

    /// Forgets what is kept once its time is over; true where it did. Lists count as they
    /// are from then on.
    pub fn expire(&mut self, now: Time) -> bool {
        let over = self.kept.as_ref().is_some_and(|kept| now >= kept.until);
        if over {
            self.kept = None;
        }
        over
    }
}

impl Kept {
    /// An endpoint of an older copy, as it is known; none where it has ended or started
    /// again since.
    fn correct(&self, listed: &Endpoint) -> Option<Endpoint> {
        let started_at = self.started_at.get(&listed.name).copied().unwrap_or(0);
        if listed.started_at < started_at {
            return None;
        }
        match self.ends.get(&listed.to_instance()) {
            Some((End::Gone, _)) => None,
            Some((End::Leaving, _)) => Some(Endpoint {
                leaving: true,
                ..listed.clone()
            }),
            None => Some(listed.clone()),
        }
    }
}
