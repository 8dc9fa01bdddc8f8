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
use crate::endpoint::Life;
use crate::endpoint::List;

/// How long what was known goes before an older copy. An entry whose endpoint has ended
/// goes after three heartbeats of silence, which are 9 s at most on the users' sheets.
const OVERRIDE_PERIOD: Span = Span::from_secs(10);

/// How long the end of an endpoint is remembered: three times as long as the platform
/// keeps its history, which is 20 s on all of the users' sheets.
const DEPARTURE_RETENTION: Span = Span::from_secs(60);

/// What a list said of one start of an endpoint that takes no more work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// It was leaving.
    Leaving,
    /// It was not there any more.
    Gone,
}

/// What lists of one era, and of those before, said.
#[derive(Debug, Default)]
pub struct Corrections {
    /// Endpoints that end in the era in force, with when that was noted.
    departures: HashMap<Life, (Departure, Time)>,
    /// What goes before the lists of the era in force.
    overrides: Option<Overrides>,
}

/// What goes before the lists of an era.
#[derive(Debug)]
struct Overrides {
    until: Time,
    departures: HashMap<Life, (Departure, Time)>,
    /// The latest start of each endpoint.
    born: HashMap<id::Endpoint, u64>,
    /// Data centres that were evacuated.
    evacuated: Vec<id::DataCentre>,
}

impl Corrections {
    /// Notes what a list changes that comes into force after another of its era.
    pub fn record_list(&mut self, now: Time, before: &List, after: &List) {
        self.departures
            .retain(|_, (_, at)| now.since(*at) < DEPARTURE_RETENTION);
        let listed: HashMap<Life, bool> = after
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.to_life(), endpoint.leaving))
            .collect();
        for (life, leaving) in &listed {
            match leaving {
                true => self
                    .departures
                    .insert(life.clone(), (Departure::Leaving, now)),
                false => self.departures.remove(life),
            };
        }
        if !after.settled {
            return;
        }
        for life in before.endpoints.iter().map(Endpoint::to_life) {
            if !listed.contains_key(&life) {
                self.departures.insert(life, (Departure::Gone, now));
            }
        }
    }

    /// Notes that a new era begins, after a list of the era before.
    pub fn begin_era(&mut self, now: Time, before: &List) {
        let mut departures = std::mem::take(&mut self.departures);
        let mut evacuated = before.evacuated.clone();
        if let Some(overrides) = self
            .overrides
            .take()
            .filter(|overrides| now < overrides.until)
        {
            for (life, end) in overrides.departures {
                departures.entry(life).or_insert(end);
            }
            evacuated.extend(overrides.evacuated);
        }
        evacuated.sort();
        evacuated.dedup();
        let born = before.endpoints.iter();
        let born = born.map(|endpoint| (endpoint.name.clone(), endpoint.born));
        self.overrides = Some(Overrides {
            until: now + OVERRIDE_PERIOD,
            departures,
            born: born.collect(),
            evacuated,
        });
    }

    /// A list of the era in force as it is to be taken; none where it says nothing that
    /// was known otherwise.
    pub fn correct(&self, now: Time, list: &List) -> Option<List> {
        let overrides = self
            .overrides
            .as_ref()
            .filter(|overrides| now < overrides.until)?;
        let endpoints = list
            .endpoints
            .iter()
            .filter_map(|one| overrides.correct(one));
        let mut corrected = List {
            endpoints: endpoints.collect(),
            ..list.clone()
        };
        let missing = overrides.evacuated.iter();
        let missing = missing.filter(|one| !list.evacuated.contains(one));
        corrected.evacuated.extend(missing.cloned());
        (corrected != *list).then_some(corrected)
    }

    /// Forgets what is kept once its time is over; true where it did. Lists count as they
    /// are from then on.
    pub fn expire(&mut self, now: Time) -> bool {
        let over = self
            .overrides
            .as_ref()
            .is_some_and(|overrides| now >= overrides.until);
        if over {
            self.overrides = None;
        }
        over
    }
}

impl Overrides {
    /// An endpoint of an older copy, as it is known; none where it has ended or started
    /// again since.
    fn correct(&self, listed: &Endpoint) -> Option<Endpoint> {
        let born = self.born.get(&listed.name).copied().unwrap_or(0);
        if listed.born < born {
            return None;
        }
        match self.departures.get(&listed.to_life()) {
            Some((Departure::Gone, _)) => None,
            Some((Departure::Leaving, _)) => Some(Endpoint {
                leaving: true,
                ..listed.clone()
            }),
            None => Some(listed.clone()),
        }
    }
}
