//! Tracks which versions of the software each service's endpoints have been listed with, and whether
//! an endpoint may have started again since.

use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::binding;
use crate::endpoint::Endpoint;
use crate::endpoint::List;
use crate::map::HashMap;
use crate::start;
use crate::start::Cause;
use crate::start::Change;
use crate::worker::Worker;

/// A stream lasts no longer than this many times the timeout of its route, over all tries of its
/// caller, or than records are kept. Its caller may have begun it with a longer deadline than its present
/// try has, or under an earlier configuration with longer timeouts.
const TIMEOUTS_PER_STREAM: u64 = 2;

/// How long a version is remembered after it was last listed, longer than any stream lasts.
const VERSION_MEMORY: Span = Span::from_secs(3_600);

/// A change of what is known of an endpoint's start, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct StartUpdate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What changed.
    pub change: Change,
}

impl StartUpdate {
    pub(super) fn new(worker: &Worker, change: Change) -> StartUpdate {
        StartUpdate {
            endpoint: worker.endpoint.clone(),
            change,
        }
    }
}

/// The versions of the software of a service's endpoints, as far as this node saw them.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// When this node first had a list.
    known_since: Option<Time>,
    /// When each version was last listed.
    listed: HashMap<Option<id::Software>, Time>,
}

/// The versions that served in a span of time, as far as this node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Served {
    /// This one alone.
    Sole(id::Software),
    /// More than one.
    Several,
    /// One alone, unless an endpoint whose start is in doubt has another.
    Doubted,
    /// This node may have missed some.
    Unknown,
}

impl Dispatcher {
    /// Records the versions of the list in force, which another list replaces or has replaced.
    pub(super) fn record_versions(&mut self, now: Time, list: &List) {
        for endpoint in &list.endpoints {
            if let Some(pool) = self.pools.get_mut(&endpoint.service) {
                pool.versions.known_since.get_or_insert(now);
                let software = endpoint.software.clone();
                pool.versions.listed.insert(software, now);
            }
        }
        for pool in self.pools.values_mut() {
            let versions = &mut pool.versions.listed;
            versions.retain(|_, at| now.since(*at) <= VERSION_MEMORY);
        }
    }

    /// Forgets the versions of earlier lists, since this process missed some while it was suspended.
    pub(super) fn forget_versions(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            pool.versions.known_since = Some(now);
        }
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let change = worker.start.doubt(now, Cause::Unwatched);
            let update = change.map(|change| StartUpdate::new(worker, change));
            self.start_updates.extend(update);
        }
    }

    /// Takes what changed of the starts of endpoints since the last call.
    pub fn take_start_updates(&mut self) -> Vec<StartUpdate> {
        std::mem::take(&mut self.start_updates)
    }

    /// Doubts the start of an endpoint, since another one may answer from now on.
    pub(super) fn doubt_start(&mut self, now: Time, endpoint: u32, cause: Cause) {
        let workers = self.pools.values_mut().flat_map(|pool| &mut pool.workers);
        for worker in workers.filter(|worker| worker.number == endpoint) {
            let change = worker.start.doubt(now, cause);
            let update = change.map(|change| StartUpdate::new(worker, change));
            self.start_updates.extend(update);
        }
    }

    /// Doubts the starts of endpoints that this node or others don't reach. Confirms those that are
    /// still listed as they were once the platform would have listed another.
    pub(super) fn confirm_starts(&mut self, now: Time) {
        if self.platform_unreachable || self.members.is_platform_unreachable(now) {
            self.platform_lost_at = now;
        }
        let options = &self.options.worker;
        let is_watched = self.members.has_longer_running(now, start::LISTED_WITHIN);
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let cause = match () {
                () if worker.link.is_lost() => Some(Cause::LinkLost),
                () if worker.is_reported_unreachable(now, options) => Some(Cause::Reported),
                () => None,
            };
            let settled_at = worker.start.settled_at_opt(self.platform_lost_at);
            let change = match cause {
                Some(cause) => worker.start.doubt(now, cause),
                None if is_watched && worker.start.is_unwatched() => worker.start.confirm(now),
                None if settled_at.is_some_and(|at| now >= at) => worker.start.confirm(now),
                None => None,
            };
            let update = change.map(|change| StartUpdate::new(worker, change));
            self.start_updates.extend(update);
        }
        self.settle_doubts(now);
    }

    /// Returns the version of an endpoint's software, unless another start may have taken its place.
    pub fn software_opt(&self, endpoint: &Endpoint) -> Option<&id::Software> {
        let pool = self.pools.get(&endpoint.service)?;
        let index = pool.worker_opt(endpoint.to_number())?;
        pool.workers[index].software_opt()
    }

    /// Returns the longest time ago at which a stream may have begun whose caller still waits for
    /// `remaining`.
    pub(super) fn lifetime(&self, pool: &Pool, remaining: Span) -> Span {
        let tries = Span(pool.stream_timeout.max(remaining).0 * TIMEOUTS_PER_STREAM);
        tries.max(binding::MAX_VALIDITY)
    }

    /// Returns the versions that served in this span. That one alone did is known only to a node that
    /// saw the lists of all that time and knows of no newer one.
    pub(super) fn served(&self, now: Time, pool: &Pool, lifetime: Span) -> Served {
        let versions = &pool.versions;
        let listed = pool.workers.iter().filter(|worker| worker.listed);
        let is_doubted = listed.clone().any(|worker| worker.start.has_shown_end());
        let listed = listed.map(|worker| worker.endpoint.software.as_ref());
        let past = versions.listed.iter();
        let past = past.filter(|(_, at)| now.since(**at) <= lifetime);
        let past = past.map(|(version, _)| version.as_ref());
        let mut all = listed.clone().chain(past);
        let is_known = versions
            .known_since
            .is_some_and(|at| now.since(at) >= lifetime);
        match all.next() {
            Some(first) if all.any(|other| other != first) => Served::Several,
            Some(Some(sole)) if is_known && listed.count() > 0 && self.is_list_current(now) => {
                match is_doubted {
                    true => Served::Doubted,
                    false => Served::Sole(sole.clone()),
                }
            }
            Some(_) | None => Served::Unknown,
        }
    }

    /// Whether this node would know if another one sent requests to endpoints that this one does not
    /// list: it reads the platform, or hears every node, and none has a newer list.
    fn is_list_current(&self, now: Time) -> bool {
        let reach = self.members.reach(now);
        let hears_all = !reach.isolated && reach.silent == 0;
        self.list.settled
            && (!self.platform_unreachable || hears_all)
            && !self.members.has_newer_list(now, self.list.edition())
    }
}
