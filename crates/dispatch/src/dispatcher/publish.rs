//! What the platform published comes into force, from wherever it was read.
//! Nothing ever goes back to an older version within one life of a node.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::configuration::Configuration;
use crate::edition::Era;
use crate::endpoint;
use crate::endpoint::Endpoint;
use crate::endpoint::List;
use crate::length::Lengths;
use crate::notice::Change;
use crate::notice::Update;
use crate::parts::Manifest;
use crate::parts::Part;
use crate::queue::Queue;
use crate::section;
use crate::table::Table;
use crate::turnaround::Turnaround;
use crate::warm;
use crate::warm::Warm;
use crate::worker::Worker;

/// Time to the first event that is expected at first, in microseconds.
const FIRST: f64 = 150_000.0;

/// Time between two events that is expected until some were seen, in
/// microseconds.
const STEP: f64 = 25_000.0;

/// The longest pauses that are expected at first, as a multiple of a step: so
/// long that it bounds nothing until pauses were seen.
const LONGEST_PAUSE: f64 = 8.0;

/// Time for reading a prompt token that is expected at first, in microseconds.
const PREFILL: f64 = 40.0;

/// Endpoints for each cell of the fleet from which they are shared out.
const SHARED_LEAST: usize = 3;

/// Time of a call that is expected at first, in microseconds.
const CALL: f64 = 40_000.0;

impl Dispatcher {
    /// Takes a configuration; false where one as new is in force.
    pub fn set_configuration(&mut self, now: Time, configuration: Arc<Configuration>) -> bool {
        if configuration.version <= self.configuration_version() {
            return false;
        }
        let table = Table::new(configuration);
        for service in &table.configuration().services {
            let pool = pool(&mut self.pools, &self.options.warm, &service.name);
            pool.engine = service.engine;
            pool.cold = service.cold;
        }
        for pool in self.pools.values_mut() {
            pool.least_protected = 0;
        }
        for route in &table.configuration().routes {
            for (target, _) in &route.targets {
                let pool = pool(&mut self.pools, &self.options.warm, target);
                pool.least_protected = pool.least_protected.max(route.priority);
            }
        }
        self.table = Some(Arc::new(table));
        self.received.clear();
        self.urgent = true;
        self.news = true;
        self.use_list(now);
        true
    }

    /// Takes a list of endpoints; false where one as new is in force. What a
    /// list lacks that is not settled is kept, and of what an older copy of the
    /// platform says, that which was known otherwise is not believed for a while.
    pub fn set_endpoints(&mut self, now: Time, list: Arc<List>) -> bool {
        if list.edition() <= self.list.edition() {
            return false;
        }
        if self.list.era > Era::default() && list.era > self.list.era {
            self.memory.begin_era(now, &self.list);
        }
        let corrected = self.memory.correct(now, &list).map(Arc::new);
        self.uncorrected = corrected.is_some().then(|| list.clone());
        self.replace_list(now, corrected.unwrap_or(list));
        true
    }

    /// Takes the list as the platform has it once nothing of what was known before its
    /// era goes before it any more.
    pub(super) fn stop_correcting(&mut self, now: Time) {
        if !self.memory.expire(now) {
            return;
        }
        if let Some(list) = self.uncorrected.take() {
            self.replace_list(now, list);
        }
    }

    fn replace_list(&mut self, now: Time, list: Arc<List>) {
        let list = match list.settled {
            true => list,
            false => Arc::new(list.merge(&self.list)),
        };
        self.memory.record_list(now, &self.list, &list);
        self.sections = section::Index::new(&list);
        self.list = list;
        self.news = true;
        self.use_list(now);
    }

    /// Brings the list into force: that of its endpoints whose service the configuration
    /// names. Others write under the same keys, and nobody would ever be sent to what
    /// they name.
    fn use_list(&mut self, now: Time) {
        let list = self.list.clone();
        let ended = self.unlist(&list);
        let named = self.named_services();
        let is_named = |service| named.as_ref().is_none_or(|named| named.contains(service));
        for endpoint in list.endpoints.iter().filter(|one| is_named(&one.service)) {
            self.use_endpoint(now, endpoint);
        }
        for endpoint in ended {
            self.note_endpoint_ended(now, endpoint);
        }
        self.note_evacuated(now, &list);
        self.forget_workers();
        self.assign_workers();
        self.count_others(now);
        self.place_all(now);
    }

    /// The services of the configuration in force; none where there is none.
    fn named_services(&self) -> Option<HashSet<id::Target>> {
        let configuration = self.configuration()?;
        let services = configuration.services.iter();
        let services = services.map(|service| service.name.clone());
        let routes = configuration.routes.iter();
        let targets = routes.flat_map(|route| &route.targets);
        let targets = targets.map(|(target, _)| target.clone());
        Some(services.chain(targets).collect())
    }

    /// Takes what a list says of one endpoint. One that was started again under its name
    /// is another, of which nothing is known.
    fn use_endpoint(&mut self, now: Time, endpoint: &Endpoint) {
        let endpoint = Arc::new(endpoint.clone());
        let pool = pool(&mut self.pools, &self.options.warm, &endpoint.service);
        let at = pool.index.get(&endpoint.name).copied();
        let at = at.filter(|at| pool.workers[*at].endpoint.born == endpoint.born);
        if let Some(at) = at {
            let worker = &mut pool.workers[at];
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
        pool.workers.push(worker);
    }

    /// Marks all endpoints as not listed. Gives those that have ended: all that the list
    /// lacks, or has with a later start, and that had not said that they leave.
    fn unlist(&mut self, list: &List) -> Vec<u32> {
        let listed = list.endpoints.iter();
        let listed: HashSet<u32> = listed.map(Endpoint::to_number).collect();
        let mut ended = Vec::new();
        for worker in self.pools.values_mut().flat_map(|pool| &mut pool.workers) {
            let lacks = !listed.contains(&worker.number);
            if worker.listed && lacks && !worker.is_leaving() {
                ended.push(worker.number);
            }
            worker.listed = false;
        }
        ended
    }

    /// Keeps a part of a configuration that another node gave, until all are
    /// there.
    pub fn keep_part(&mut self, part: Part) {
        self.received.add(part);
    }

    /// Takes a configuration of which another node gave the parts that were
    /// missing; false where one as new is in force or parts are still missing.
    pub fn take_head(&mut self, now: Time, head: &Manifest) -> bool {
        if head.version <= self.configuration_version() {
            return false;
        }
        let base = self.table.as_ref();
        let base = base.map(|table| (table.configuration().as_ref(), table.parts()));
        let Some(configuration) = self.received.try_assemble(head, base) else {
            return false;
        };
        self.set_configuration(now, Arc::new(configuration))
    }

    /// Says which endpoints belong to this node's cell. A service that has too
    /// few for all cells is shared by them.
    pub(super) fn assign_workers(&mut self) {
        let cell = self.members.cell();
        let cells = self.members.cell_count();
        let own = &self.options.data_centre;
        for pool in self.pools.values_mut() {
            let mut near: Vec<&mut Worker> = pool
                .workers
                .iter_mut()
                .filter(|worker| worker.listed)
                .collect();
            pool.shared = !cell.covers_fleet && near.len() < cells * SHARED_LEAST;
            let all = cell.covers_fleet || pool.shared;
            for worker in &mut near {
                worker.own_cell = all;
            }
            if all {
                continue;
            }
            near.retain(|worker| worker.endpoint.data_centre == *own);
            near.sort_by_key(|worker| worker.number);
            for (place, worker) in near.iter_mut().enumerate() {
                worker.own_cell = place % cell.count == cell.index;
            }
        }
    }

    /// Drops endpoints that are gone and run nothing for us.
    fn forget_workers(&mut self) {
        let used: HashSet<(id::Target, usize)> = self
            .runs
            .values()
            .map(|run| (run.job.target.clone(), run.worker))
            .collect();
        for (target, pool) in &mut self.pools {
            let gone = |at: usize, worker: &Worker| {
                !worker.listed && !used.contains(&(target.clone(), at))
            };
            if !pool
                .workers
                .iter()
                .enumerate()
                .any(|(at, worker)| gone(at, worker))
            {
                continue;
            }
            let mut moved: HashMap<usize, usize> = HashMap::new();
            let mut kept = Vec::new();
            for (at, worker) in std::mem::take(&mut pool.workers).into_iter().enumerate() {
                if gone(at, &worker) {
                    pool.warm.forget(worker.number);
                    if worker.leaving {
                        self.updates.push(Update::new(&worker, Change::Left));
                    }
                } else {
                    moved.insert(at, kept.len());
                    kept.push(worker);
                }
            }
            pool.workers = kept;
            let workers = pool.workers.iter().enumerate();
            pool.index = workers
                .map(|(at, worker)| (worker.endpoint.name.clone(), at))
                .collect();
            for run in self
                .runs
                .values_mut()
                .filter(|run| run.job.target == *target)
            {
                run.worker = moved[&run.worker];
            }
        }
    }
}

/// A service's pool, made when it is first met.
pub(super) fn pool<'a>(
    pools: &'a mut HashMap<id::Target, Pool>,
    warm: &warm::Options,
    target: &id::Target,
) -> &'a mut Pool {
    pools.entry(target.clone()).or_insert_with(|| Pool {
        engine: false,
        shared: false,
        number: endpoint::number_of(target.as_str()),
        least_protected: 0,
        cold: None,
        workers: Vec::new(),
        index: HashMap::new(),
        queue: Queue::default(),
        warm: Warm::new(warm.clone()),
        recurring: 0.0,
        starts: HashMap::new(),
        first: FIRST,
        longest_pause: LONGEST_PAUSE,
        step: STEP,
        lengths: Lengths::default(),
        prefill: PREFILL,
        call: CALL,
        turnaround: Turnaround::default(),
        open_at: None,
    })
}
