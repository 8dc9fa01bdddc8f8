//! Applies the documents that the platform publishes, from whichever source they were read.
//! Within one run of a node no document ever goes back to an older version.

use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Versions;
use super::flow::Flow;
use super::redirect;
use crate::booking::Calendar;
use crate::configuration::Configuration;
use crate::edition::Era;
use crate::endpoint;
use crate::endpoint::Endpoint;
use crate::endpoint::List;
use crate::length::Lengths;
use crate::map::HashMap;
use crate::map::HashSet;
use crate::notice::Change;
use crate::notice::Update;
use crate::parts::Manifest;
use crate::parts::Part;
use crate::prefix_cache;
use crate::prefix_cache::PrefixCache;
use crate::queue::Queue;
use crate::section;
use crate::table::Table;
use crate::turnaround::Turnaround;
use crate::worker::Worker;

/// The initial estimate of the time to the first event, in microseconds.
const INITIAL_FIRST_EVENT_US: f64 = 150_000.0;

/// The initial estimate of the time between two events, in microseconds.
const INITIAL_STEP_US: f64 = 25_000.0;

/// The initial estimate of the longest pauses, as a multiple of the time between two
/// events. High enough to bound nothing until pauses have been observed.
const INITIAL_LONGEST_PAUSE: f64 = 8.0;

/// The initial estimate of the time to read one prompt token, in microseconds.
const INITIAL_PREFILL_US: f64 = 40.0;

/// The minimum number of endpoints per cell; a service with fewer is shared by all cells.
const MIN_ENDPOINTS_PER_CELL: usize = 3;

/// The initial estimate of the duration of a call, in microseconds.
const INITIAL_CALL_US: f64 = 40_000.0;

impl Dispatcher {
    /// Applies a configuration. Returns false if one at least as new is in force.
    pub fn set_configuration(&mut self, now: Time, configuration: Arc<Configuration>) -> bool {
        if configuration.version <= self.configuration_version() {
            return false;
        }
        let table = Table::new(configuration);
        for service in &table.configuration().services {
            let pool = pool_mut(&mut self.pools, &self.options.prefix_cache, &service.name);
            pool.engine = service.engine;
            pool.cold = service.cold;
            pool.health_path = service.health_path.clone();
        }
        for pool in self.pools.values_mut() {
            pool.least_protected = 0;
            pool.stream_timeout = Span::ZERO;
        }
        for route in &table.configuration().routes {
            for (target, _) in &route.targets {
                let pool = pool_mut(&mut self.pools, &self.options.prefix_cache, target);
                pool.least_protected = pool.least_protected.max(route.priority);
                if route.resumable {
                    pool.stream_timeout = pool.stream_timeout.max(route.timeout);
                }
            }
        }
        self.table = Some(Arc::new(table));
        self.received.clear();
        self.urgent = true;
        self.has_news = true;
        self.apply_list(now);
        true
    }

    /// Applies a list of endpoints. Returns false if one at least as new is in force, unless that
    /// one lacks versions of the endpoints' software.
    /// Endpoints that an unsettled list lacks are kept. If the platform came back with an
    /// older copy of its data, the entries that contradict what was known before are
    /// corrected for a while.
    pub fn set_endpoints(&mut self, now: Time, list: Arc<List>) -> bool {
        let adds_software = list.edition() == self.list.edition()
            && self.list.lacks_software()
            && !list.lacks_software();
        if list.edition() <= self.list.edition() && !adds_software {
            return false;
        }
        if self.list.era > Era::default() && list.era > self.list.era {
            self.corrections.begin_era(now, &self.list);
        }
        let corrected = self.corrections.correct(now, &list).map(Arc::new);
        self.uncorrected = corrected.is_some().then(|| list.clone());
        self.replace_list(now, corrected.unwrap_or(list));
        true
    }

    /// Applies the list as published by the platform once all corrections after the start
    /// of an era have expired.
    pub(super) fn expire_corrections(&mut self, now: Time) {
        if !self.corrections.expire(now) {
            return;
        }
        if let Some(list) = self.uncorrected.take() {
            self.replace_list(now, list);
        }
    }

    fn replace_list(&mut self, now: Time, list: Arc<List>) {
        let mut kept = Vec::new();
        let list = match list.settled {
            true => list,
            false => {
                let missing = list.missing(&self.list).into_iter();
                kept = missing.map(|endpoint| endpoint.name.clone()).collect();
                Arc::new(list.merge(&self.list))
            }
        };
        let is_first = self.listed_at == Time(0);
        (self.kept, self.listed_at) = (kept, now);
        self.corrections.record_list(now, &self.list, &list);
        let replaced = self.list.clone();
        self.record_versions(now, &replaced);
        self.sections = section::Index::new(&list);
        self.list = list;
        self.has_news = true;
        self.apply_list(now);
        if is_first {
            self.doubt_unwatched_starts(now);
        }
    }

    /// Applies the list to the endpoints whose service the configuration names. Other systems
    /// may write under the same keys, and no request is ever sent to the endpoints of services
    /// that aren't configured.
    fn apply_list(&mut self, now: Time) {
        let list = self.list.clone();
        let ended = self.mark_unlisted(&list);
        let configured = self.configured_services();
        let is_configured = |service| {
            configured
                .as_ref()
                .is_none_or(|configured| configured.contains(service))
        };
        for endpoint in list
            .endpoints
            .iter()
            .filter(|endpoint| is_configured(&endpoint.service))
        {
            self.apply_endpoint(now, endpoint);
        }
        for endpoint in ended {
            self.record_endpoint_ended(now, endpoint);
        }
        self.mark_evacuated(now, &list);
        self.remove_unlisted_workers();
        self.assign_cell_workers();
        self.record_versions(now, &list);
        self.sum_remote_loads(now);
        self.place_all(now);
    }

    /// Returns the services of the configuration in force, or `None` without one.
    fn configured_services(&self) -> Option<HashSet<id::Target>> {
        let configuration = self.configuration()?;
        let services = configuration.services.iter();
        let services = services.map(|service| service.name.clone());
        let routes = configuration.routes.iter();
        let targets = routes.flat_map(|route| &route.targets);
        let targets = targets.map(|(target, _)| target.clone());
        Some(services.chain(targets).collect())
    }

    /// Applies the entry of one endpoint. An endpoint that was restarted under the same
    /// name is a new one, of which nothing is known.
    fn apply_endpoint(&mut self, now: Time, endpoint: &Endpoint) {
        let endpoint = Arc::new(endpoint.clone());
        let pool = pool_mut(
            &mut self.pools,
            &self.options.prefix_cache,
            &endpoint.service,
        );
        let index = pool.index.get(&endpoint.name).copied();
        let index =
            index.filter(|index| pool.workers[*index].endpoint.started_at == endpoint.started_at);
        if let Some(index) = index {
            let worker = &mut pool.workers[index];
            if worker.endpoint.cold_for != endpoint.cold_for {
                worker.cold.extend(now, endpoint.cold_for);
            }
            worker.listed = true;
            worker.endpoint = endpoint;
            return;
        }
        pool.index.insert(endpoint.name.clone(), pool.workers.len());
        let mut worker = Worker::new(endpoint);
        worker.cold.extend(now, worker.endpoint.cold_for);
        worker.leaving = self.leaving_endpoints.contains(worker.number);
        // It may fail as easily as the others, and its first answers come too late to tell.
        let others = pool.workers.iter();
        let tolerances = others.filter_map(|other| other.tolerance.tolerance_opt());
        if let Some(tolerance) = tolerances.min() {
            worker.tolerance.assume(now, tolerance);
        }
        pool.workers.push(worker);
    }

    /// Marks all endpoints as not listed. Returns those that ended without having announced
    /// that they are leaving: the list lacks them, or contains a later instance of them.
    fn mark_unlisted(&mut self, list: &List) -> Vec<u32> {
        let listed = list.endpoints.iter();
        let listed: HashSet<u32> = listed.map(Endpoint::to_number).collect();
        let mut ended = Vec::new();
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let is_missing = !listed.contains(&worker.number);
            if worker.listed && is_missing && !worker.is_leaving() {
                ended.push(worker.number);
            }
            worker.listed = false;
        }
        ended
    }

    /// Keeps a part of a configuration that another node sent, until all parts are there.
    pub fn add_part(&mut self, part: Part) {
        self.received.add(part);
    }

    /// Assembles and applies a configuration from the parts that other nodes sent. Returns
    /// false if one at least as new is in force or if parts are missing.
    pub fn receive_manifest(&mut self, now: Time, manifest: &Manifest) -> bool {
        if manifest.version <= self.configuration_version() {
            return false;
        }
        let base = self.table.as_ref();
        let base = base.map(|table| (table.configuration().as_ref(), table.parts()));
        let Some(configuration) = self.received.try_assemble(manifest, base) else {
            return false;
        };
        self.set_configuration(now, Arc::new(configuration))
    }

    /// Determines the endpoints that belong to this node's cell. A service that has too few
    /// endpoints for all cells is shared by them.
    pub(super) fn assign_cell_workers(&mut self) {
        let cell = self.members.cell();
        let cells = self.members.cell_count();
        let own = &self.options.data_centre;
        for pool in self.pools.values_mut() {
            let mut listed: Vec<&mut Worker> = pool
                .workers
                .iter_mut()
                .filter(|worker| worker.listed)
                .collect();
            pool.has_owners = !cell.covers_fleet;
            pool.shared = !cell.covers_fleet && listed.len() < cells * MIN_ENDPOINTS_PER_CELL;
            let owns_all = cell.covers_fleet || pool.shared;
            for worker in &mut listed {
                worker.own_cell = owns_all;
            }
            if owns_all {
                continue;
            }
            listed.retain(|worker| worker.endpoint.data_centre == *own);
            listed.sort_by_key(|worker| worker.number);
            for (place, worker) in listed.iter_mut().enumerate() {
                worker.own_cell = place % cell.count == cell.index;
            }
        }
    }

    /// Removes endpoints that are no longer listed and run no request of this node.
    fn remove_unlisted_workers(&mut self) {
        let used: HashSet<(id::Target, usize)> = self
            .runs
            .values()
            .map(|run| (run.job.target.clone(), run.worker))
            .collect();
        for (target, pool) in &mut self.pools {
            let is_removable = |index: usize, worker: &Worker| {
                !worker.listed && !used.contains(&(target.clone(), index))
            };
            if !pool
                .workers
                .iter()
                .enumerate()
                .any(|(index, worker)| is_removable(index, worker))
            {
                continue;
            }
            let mut new_indices: HashMap<usize, usize> = HashMap::default();
            let mut kept = Vec::new();
            for (index, worker) in std::mem::take(&mut pool.workers).into_iter().enumerate() {
                if is_removable(index, &worker) {
                    pool.prefix_cache.remove_endpoint(worker.number);
                    if worker.leaving {
                        self.endpoint_updates
                            .push(Update::new(&worker, Change::Left));
                    }
                } else {
                    new_indices.insert(index, kept.len());
                    kept.push(worker);
                }
            }
            pool.workers = kept;
            let workers = pool.workers.iter().enumerate();
            pool.index = workers
                .map(|(index, worker)| (worker.endpoint.name.clone(), index))
                .collect();
            for run in self
                .runs
                .values_mut()
                .filter(|run| run.job.target == *target)
            {
                run.worker = new_indices[&run.worker];
            }
        }
    }
}

/// Returns a service's pool, creating it if it doesn't exist.
pub(super) fn pool_mut<'a>(
    pools: &'a mut HashMap<id::Target, Pool>,
    prefix_cache: &prefix_cache::Options,
    target: &id::Target,
) -> &'a mut Pool {
    pools.entry(target.clone()).or_insert_with(|| Pool {
        engine: false,
        shared: false,
        has_owners: false,
        number: endpoint::number_of(target.as_str()),
        least_protected: 0,
        cold: None,
        workers: Vec::new(),
        index: HashMap::default(),
        queue: Queue::default(),
        prefix_cache: PrefixCache::new(prefix_cache.clone()),
        repeat_ratio: 0.0,
        starts: HashMap::default(),
        flow: Flow::default(),
        first_event_us: INITIAL_FIRST_EVENT_US,
        longest_pause: INITIAL_LONGEST_PAUSE,
        step_us: INITIAL_STEP_US,
        lengths: Lengths::default(),
        prefill_us: INITIAL_PREFILL_US,
        call_us: INITIAL_CALL_US,
        turnaround: Turnaround::default(),
        open_at: None,
        spare_granted_at: None,
        health_path: None,
        lost_probe_after: Time(0),
        has_variable_capacity: false,
        avoided_slow: 0,
        redirection: redirect::State::default(),
        calendar: Calendar::default(),
        shares: HashMap::default(),
        share_refunds: 0,
        share_excesses: 0,
        versions: Versions::default(),
        stream_timeout: Span::ZERO,
    })
}
