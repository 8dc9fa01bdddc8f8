//! Tracks which versions of the software each service's endpoints have been listed with.

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::binding;
use crate::endpoint::Endpoint;
use crate::endpoint::List;
use crate::map::HashMap;

/// A stream lasts no longer than this many times the timeout of its route, over all tries of its
/// caller.
const TIMEOUTS_PER_STREAM: u64 = 2;

/// How long a version is remembered after it was last listed, longer than any stream lasts.
const VERSION_MEMORY: Span = Span::from_secs(3_600);

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
    }

    /// Returns the version of an endpoint's software, unless another start may have taken its place.
    pub fn software_opt(&self, endpoint: &Endpoint) -> Option<&id::Software> {
        let pool = self.pools.get(&endpoint.service)?;
        let index = pool.worker_opt(endpoint.to_number())?;
        pool.workers[index].software_opt()
    }

    /// Returns the longest time ago at which a stream may have begun whose caller still waits for
    /// `remaining`. Timeouts alone don't bound it: the caller may have begun with a longer deadline, or
    /// under an earlier configuration. No stream is resumed for longer than records are kept.
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
