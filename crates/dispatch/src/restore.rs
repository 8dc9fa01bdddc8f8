//! Corrections to lists of endpoints after the platform is restored from an older copy of the
//! data it had acknowledged.
//!
//! Until the latest changes are written to it again, such a copy lists endpoints that have
//! ended, shows endpoints that are leaving as ready, shows an earlier start of endpoints that
//! were restarted, and lacks evacuations of data centres. During that time, what the node knew
//! before takes precedence over the copy. Endpoints that the copy lacks are kept as after any
//! outage ([`List::merge`]).

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::endpoint::Endpoint;
use crate::endpoint::Instance;
use crate::endpoint::List;
use crate::map::HashMap;

/// How long earlier knowledge takes precedence over an older copy. The entry of an endpoint
/// that has ended is removed after three missed heartbeats, which takes at most 9 s in known
/// deployments.
const OVERRIDE_PERIOD: Span = Span::from_secs(10);

/// How long the end of an endpoint is remembered: three times as long as the platform keeps its
/// history, which is 20 s in all known deployments.
const DEPARTURE_RETENTION: Span = Span::from_secs(60);

/// Why one start of an endpoint accepts no more work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// It was leaving.
    Leaving,
    /// It was no longer listed.
    Gone,
}

/// Corrections to apply to lists of the era in force.
#[derive(Debug, Default)]
pub struct Corrections {
    /// Endpoints that are leaving or have ended in this era, with the time at which this was
    /// recorded.
    departures: HashMap<Instance, (Departure, Time)>,
    /// What takes precedence over lists of this era, from the eras before.
    overrides: Option<Overrides>,
}

/// What takes precedence over the lists of an era for a while.
#[derive(Debug)]
struct Overrides {
    until: Time,
    departures: HashMap<Instance, (Departure, Time)>,
    /// The latest start of each endpoint.
    latest_starts: HashMap<id::Endpoint, u64>,
    /// Data centres that were evacuated.
    evacuated: Vec<id::DataCentre>,
}

impl Corrections {
    /// Records the endpoints that leave or end between two lists of the same era.
    pub fn record_list(&mut self, now: Time, before: &List, after: &List) {
        self.departures
            .retain(|_, (_, recorded)| now.since(*recorded) < DEPARTURE_RETENTION);
        let listed: HashMap<Instance, bool> = after
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.to_instance(), endpoint.leaving))
            .collect();
        for (instance, leaving) in &listed {
            match leaving {
                true => self
                    .departures
                    .insert(instance.clone(), (Departure::Leaving, now)),
                false => self.departures.remove(instance),
            };
        }
        if !after.settled {
            return;
        }
        for instance in before.endpoints.iter().map(Endpoint::to_instance) {
            if !listed.contains_key(&instance) {
                self.departures.insert(instance, (Departure::Gone, now));
            }
        }
    }

    /// Starts a new era after the last list of the previous one.
    pub fn begin_era(&mut self, now: Time, before: &List) {
        let mut departures = std::mem::take(&mut self.departures);
        let mut evacuated = before.evacuated.clone();
        if let Some(overrides) = self
            .overrides
            .take()
            .filter(|overrides| now < overrides.until)
        {
            for (instance, end) in overrides.departures {
                departures.entry(instance).or_insert(end);
            }
            evacuated.extend(overrides.evacuated);
        }
        evacuated.sort();
        evacuated.dedup();
        let latest_starts = before.endpoints.iter();
        let latest_starts =
            latest_starts.map(|endpoint| (endpoint.name.clone(), endpoint.started_at));
        self.overrides = Some(Overrides {
            until: now + OVERRIDE_PERIOD,
            departures,
            latest_starts: latest_starts.collect(),
            evacuated,
        });
    }

    /// Returns a corrected copy of a list of the era in force, or `None` if the list needs no
    /// correction.
    pub fn correct(&self, now: Time, list: &List) -> Option<List> {
        let overrides = self
            .overrides
            .as_ref()
            .filter(|overrides| now < overrides.until)?;
        let endpoints = list
            .endpoints
            .iter()
            .filter_map(|endpoint| overrides.correct(endpoint));
        let mut corrected = List {
            endpoints: endpoints.collect(),
            ..list.clone()
        };
        let missing = overrides.evacuated.iter();
        let missing = missing.filter(|data_centre| !list.evacuated.contains(data_centre));
        corrected.evacuated.extend(missing.cloned());
        (corrected != *list).then_some(corrected)
    }

    /// Drops the overrides once they have expired, after which lists are used unchanged.
    /// Returns true if they were dropped.
    pub fn expire(&mut self, now: Time) -> bool {
        let expired = self
            .overrides
            .as_ref()
            .is_some_and(|overrides| now >= overrides.until);
        if expired {
            self.overrides = None;
        }
        expired
    }
}

impl Overrides {
    /// Returns an endpoint of the copy as corrected, or `None` if it has ended or was started
    /// again since.
    fn correct(&self, listed: &Endpoint) -> Option<Endpoint> {
        let latest_start = self.latest_starts.get(&listed.name).copied().unwrap_or(0);
        if listed.started_at < latest_start {
            return None;
        }
        match self.departures.get(&listed.to_instance()) {
            Some((Departure::Gone, _)) => None,
            Some((Departure::Leaving, _)) => Some(Endpoint {
                leaving: true,
                ..listed.clone()
            }),
            None => Some(listed.clone()),
        }
    }
}
