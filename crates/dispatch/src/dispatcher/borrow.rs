//! The borrowing side of slot leases: chooses the node that owns the slots a request may
//! use, and requests one from it.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::job;
use crate::job::End;
use crate::job::Job;
use crate::lease;
use crate::lease::Details;
use crate::lease::Observation;
use crate::member::Owner;
use crate::member::Scope;
use crate::message::Message;
use crate::queue_report::Source;
use crate::stated_load;
use crate::worker::Worker;

/// How long to wait for an owner's answer. This is many round trips within a region, yet
/// short compared with any latency objective.
const ANSWER_TIMEOUT: Span = Span::from_millis(60);

/// The number of unanswered requests after which an owner is passed over. A single one may
/// be due to a lost datagram.
const MAX_UNANSWERED: u32 = 2;

/// How often the request for a slot is sent again while it waits at an owner, so that an
/// owner that failed is noticed.
const RENEW_INTERVAL: Span = Span::from_millis(250);

/// The number of endpoints sampled for each request; the one with the fewest open requests
/// of this node is chosen.
const SAMPLED_ENDPOINTS: usize = 2;

/// The number of endpoints sampled in a fleet of one cell, compared by the expected wait at
/// their owners. Rate-limited endpoints accept only a handful of requests a
/// second, so an uneven choice makes callers wait visibly longer.
const SAMPLED_ENDPOINTS_IN_ONE_CELL: usize = 4;

/// The maximum number of resting endpoints listed in a request, so that it fits a datagram.
const MAX_AVOIDED_ENDPOINTS: usize = 64;

/// An open request of this node for a slot that another node owns.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Identifies the request at the owner.
    pub number: u64,
    /// The node that was asked.
    pub owner: SocketAddrV4,
    /// The requested endpoint, if the owner owns the slots of that endpoint alone.
    pub endpoint: Option<u32>,
    /// When it was last sent.
    last_sent: Time,
    /// How often it was sent since the last answer.
    pub unanswered: u32,
    /// Whether another owner named this one.
    pub is_redirected: bool,
    /// The waiting request; `None` if it also waits in this node's own queue.
    pub job: Option<Job>,
}

/// The node to ask for a slot, and what to ask it for.
pub(super) struct LeaseTarget {
    /// The owner's address.
    pub owner: SocketAddrV4,
    /// The requested endpoint, if the node owns the slots of that endpoint alone.
    pub endpoint: Option<u32>,
}

/// The node that decides which slot a request gets.
enum Arbiter {
    /// This node. `only` restricts it to one endpoint.
    Local { only: Option<u32> },
    /// Another node.
    Remote(LeaseTarget),
}

impl Dispatcher {
    /// Queues a request on this node, or asks the owner of the slots that it may use.
    pub(super) fn submit(&mut self, now: Time, id: job::Id, mut job: Job) {
        if self.gate.is_closed() {
            self.hold(id, job);
            return;
        }
        if let Some(refusal) = self.check_barred(now, &mut job) {
            self.refuse(now, id, &job, refusal);
            return;
        }
        self.bind_settled(now, &mut job);
        if let Some(refusal) = self.check_bound(now, &job) {
            self.refuse(now, id, &job, refusal);
            return;
        }
        if let Some(node) = self.forward_target_opt(now, id, &job) {
            self.forward(id, job, node);
            return;
        }
        match self.arbiter(now, &job) {
            Arbiter::Local { only } => {
                job.only_endpoint = only;
                self.enqueue(now, id, job);
            }
            Arbiter::Remote(target) => {
                self.targets.insert(id, job.target.clone());
                self.request_slot(now, id, target, Some(job));
            }
        }
    }

    fn arbiter(&self, now: Time, job: &Job) -> Arbiter {
        let local = Arbiter::Local { only: None };
        let Some(pool) = self.pools.get(&job.target) else {
            return local;
        };
        let per_endpoint = pool.shared || self.is_fully_owned(now, pool, job);
        let endpoint = match per_endpoint {
            true => self.sample_endpoint(now, pool, job),
            false => None,
        };
        let endpoint = endpoint.map(|worker| worker.number);
        if per_endpoint && endpoint.is_none() {
            return local;
        }
        let owner = match self.is_displaced(pool, job) {
            true => self.fallback_owner(now, pool, job, self.next_open_request),
            false => self.slot_owner(now, pool, endpoint),
        };
        match owner {
            Owner::Unreachable => local,
            Owner::Local => Arbiter::Local {
                only: endpoint.filter(|_| pool.shared),
            },
            // An owner that knows nothing of versions would grant any endpoint.
            Owner::Remote(owner)
                if job.binding.is_bound() && !self.members.supports_software(owner) =>
            {
                local
            }
            Owner::Remote(owner) => Arbiter::Remote(LeaseTarget { owner, endpoint }),
        }
    }

    /// Returns the owner of one endpoint's slots, or of this cell's slots of a service. In
    /// a fleet of one cell every node decides on its own, except for endpoints that need
    /// an owner.
    pub(super) fn slot_owner(&self, now: Time, pool: &Pool, endpoint: Option<u32>) -> Owner {
        let one_cell = self.members.cell().covers_fleet;
        let protocol = endpoint.and_then(|endpoint| pool.owner_protocol_opt(endpoint));
        let (scope, key) = match (endpoint, protocol) {
            (Some(endpoint), _) if !one_cell => (Scope::Fleet, endpoint),
            (Some(endpoint), Some(protocol)) => (Scope::Knowing(protocol), endpoint),
            (None, _) if !one_cell => (Scope::Cell, pool.number),
            (Some(_) | None, _) => return Owner::Local,
        };
        self.members.owner(now, scope, u64::from(key))
    }

    /// Chooses an endpoint of a service whose endpoints each have an owner: the least
    /// loaded of a few sampled at random (Mitzenmacher, the power of two choices).
    fn sample_endpoint<'a>(&self, now: Time, pool: &'a Pool, job: &Job) -> Option<&'a Worker> {
        let options = &self.options.worker;
        let candidates = pool.workers.iter().filter(|worker| {
            worker.accepts_work(now, options)
                && !job.history.tried.contains(&worker.number)
                && self.may_run_at(job, worker)
        });
        let candidates: Vec<&Worker> = candidates.collect();
        let confirmed = candidates
            .iter()
            .filter(|worker| !worker.is_unconfirmed(now));
        let confirmed: Vec<&Worker> = confirmed.copied().collect();
        let candidates = if confirmed.is_empty() {
            candidates
        } else {
            confirmed
        };
        let one_cell = self.members.cell().covers_fleet;
        let (samples, load_of): (usize, &dyn Fn(&Worker) -> f64) = match one_cell {
            true => (SAMPLED_ENDPOINTS_IN_ONE_CELL, &|worker| {
                self.owner_wait_seconds(now, pool, worker)
            }),
            false => (SAMPLED_ENDPOINTS, &|worker| {
                self.open_requests_at(worker) as f64
            }),
        };
        let mut random = hash::chain(
            self.options.incarnation,
            &self.next_open_request.to_le_bytes(),
        );
        let mut chosen: Option<(f64, &Worker)> = None;
        for _ in 0..samples {
            let index = random.checked_rem(candidates.len() as u64)?;
            let worker = *candidates.get(index as usize)?;
            let load = load_of(worker);
            if chosen.is_none_or(|(least, _)| load < least) {
                chosen = Some((load, worker));
            }
            random = hash::of(&random.to_le_bytes());
        }
        chosen.map(|(_, worker)| worker)
    }

    /// Counts this node's open requests for a slot of an endpoint.
    fn open_requests_at(&self, worker: &Worker) -> usize {
        let open_requests = self.open_requests.values();
        open_requests
            .filter(|open_request| open_request.endpoint == Some(worker.number))
            .count()
    }

    /// Returns the expected wait, in seconds, at the owner of an endpoint: the requests that
    /// the owner last reported as waiting plus this node's open requests for the endpoint,
    /// divided by the total rate of the endpoints that it owns.
    fn owner_wait_seconds(&self, now: Time, pool: &Pool, worker: &Worker) -> f64 {
        let owner_of = |worker: &Worker| self.slot_owner(now, pool, Some(worker.number));
        let owner = owner_of(worker);
        let owned = pool.workers.iter().filter(|other| owner_of(other) == owner);
        let rate: f64 = owned.map(|other| pool.rate_of(other)).sum();
        let reported_waiting = match owner {
            Owner::Local => pool.queue.len(),
            Owner::Remote(owner) => self.members.waiting_at(owner, pool.number),
            Owner::Unreachable => 0,
        };
        (reported_waiting + self.open_requests_at(worker) + 1) as f64 / rate
    }

    /// Asks an owner for a slot. `job` is `None` for a spare slot of another cell: the
    /// request then also waits in this node's queue.
    pub(super) fn request_slot(
        &mut self,
        now: Time,
        id: job::Id,
        target: LeaseTarget,
        job: Option<Job>,
    ) {
        self.next_open_request += 1;
        let open_request = OpenRequest {
            number: self.next_open_request,
            owner: target.owner,
            endpoint: target.endpoint,
            last_sent: now,
            unanswered: 0,
            is_redirected: false,
            job,
        };
        self.open_requests.insert(id, open_request);
        self.send_open_request(now, id);
    }

    fn send_open_request(&mut self, now: Time, id: job::Id) {
        let Some(open_request) = self.open_requests.get_mut(&id) else {
            return;
        };
        open_request.last_sent = now;
        open_request.unanswered += 1;
        let open_request = &self.open_requests[&id];
        let target = self.targets.get(&id);
        let pool = target.and_then(|target| self.pools.get(target));
        let waiting = pool.and_then(|pool| pool.queue.get(id));
        let Some((pool, job)) = pool.zip(open_request.job.as_ref().or(waiting)) else {
            return;
        };
        let request = lease::Request {
            incarnation: self.options.incarnation,
            number: open_request.number,
            fingerprint: job.fingerprint,
            service: pool.number,
            endpoint: open_request.endpoint,
            spare: open_request.job.is_none(),
            rank: job.rank,
            since_first_try: job.arrived.since(job.first_try),
            age: now.since(job.arrived),
            time_limit: job.deadline.since(job.arrived),
            objective: job.objective,
            caller_timeout: job.caller_timeout,
            pause: job.pause,
            prompt: job.prompt.clone(),
            tried: job.history.tried.clone(),
            avoided: self.avoided(now, pool, job),
            details: self.lease_details(pool, job),
            software: job.binding.software_opt().cloned(),
        };
        let message = Message::Lease(Box::new(request));
        self.outbox.push((open_request.owner, message));
    }

    /// Returns the endpoints of a service that this node must not or can't use, because they rest, a
    /// request that ends a rest is in progress, or this node's link to them is lost.
    fn avoided(&self, now: Time, pool: &Pool, job: &Job) -> Vec<u32> {
        if job.origin.is_some() {
            return job.avoided.clone();
        }
        let workers = pool.workers.iter().filter(|worker| worker.listed);
        let avoided = workers.filter(|worker| {
            worker.rest.is_resting(now) || worker.rest.is_probing() || !worker.link.is_usable()
        });
        avoided
            .map(|worker| worker.number)
            .take(MAX_AVOIDED_ENDPOINTS)
            .collect()
    }

    /// Returns what an owner needs for the parts of the policy that apply to the service.
    fn lease_details(&self, pool: &Pool, job: &Job) -> Details {
        let policy = &self.options.policy;
        let shares = policy.fair_shares.applies(pool.has_variable_capacity);
        Details {
            customer: job.customer.filter(|_| shares),
            redirected: job.is_redirected,
        }
    }

    /// Repeats unanswered requests, and submits a request again if its owner is silent or no
    /// longer owns the slots.
    pub(super) fn renew_open_requests(&mut self, now: Time) {
        let ids: Vec<job::Id> = self.open_requests.keys().copied().collect();
        for id in ids {
            self.renew_open_request(now, id);
        }
    }

    fn renew_open_request(&mut self, now: Time, id: job::Id) {
        if self.waits_for_closed_endpoint(now, id) {
            if let Some(OpenRequest { job: Some(job), .. }) = self.cancel_open_request(id) {
                self.submit(now, id, job);
            }
            return;
        }
        let Some(open_request) = self.open_requests.get(&id) else {
            return;
        };
        let since = now.since(open_request.last_sent);
        let answered = open_request.unanswered == 0;
        if since < ANSWER_TIMEOUT || (answered && since < RENEW_INTERVAL) {
            return;
        }
        let Some(job) = &open_request.job else {
            // A spare slot granted this late would no longer be useful.
            self.spare_denied_at.insert(open_request.owner, now);
            self.cancel_open_request(id);
            return;
        };
        if job.expires_at() <= now + self.options.policy.least_left {
            let job = job.clone();
            let refusal = self.too_late_refusal(now, &job);
            self.refuse(now, id, &job, refusal);
            self.cancel_open_request(id);
            return;
        }
        if open_request.is_redirected && !answered {
            self.give_up_redirection(now, id);
            return;
        }
        // While this node is late, the answer may be there unread.
        let is_silent = open_request.unanswered >= MAX_UNANSWERED && !self.lateness.is_late();
        if is_silent {
            self.members.record_unanswered(now, open_request.owner);
        }
        if is_silent || (answered && !self.is_still_owner(now, id)) {
            if let Some(OpenRequest { job: Some(job), .. }) = self.cancel_open_request(id) {
                self.submit(now, id, job);
            }
            return;
        }
        self.send_open_request(now, id);
    }

    /// Whether a request waits at the owner of one endpoint that is closed, resting or out of
    /// reach. In a fleet of one cell the owner may grant any endpoint that it owns.
    fn waits_for_closed_endpoint(&self, now: Time, id: job::Id) -> bool {
        let open_request = self
            .open_requests
            .get(&id)
            .filter(|open_request| open_request.job.is_some());
        let requested = open_request.and_then(|open_request| open_request.endpoint);
        let Some((endpoint, target)) = requested.zip(self.targets.get(&id)) else {
            return false;
        };
        let worker = self.worker_opt(target, endpoint);
        let is_closed = |worker: &Worker| {
            !worker.is_open() || worker.rest.is_resting(now) || worker.link.is_lost()
        };
        !self.members.cell().covers_fleet && worker.is_some_and(is_closed)
    }

    /// Returns the state of a service's endpoint by its number.
    pub(super) fn worker_opt(&self, target: &id::Target, number: u32) -> Option<&Worker> {
        let pool = self.pools.get(target)?;
        pool.workers.get(pool.worker_opt(number)?)
    }

    /// Whether the node that was asked still owns the requested slots.
    fn is_still_owner(&self, now: Time, id: job::Id) -> bool {
        let Some(open_request) = self.open_requests.get(&id) else {
            return false;
        };
        let target = self.targets.get(&id);
        let pool = target.and_then(|target| self.pools.get(target));
        let Some((pool, job)) = pool.zip(open_request.job.as_ref()) else {
            return false;
        };
        if self.members.cell().covers_fleet && !self.is_fully_owned(now, pool, job) {
            return false;
        }
        if self.is_displaced(pool, job) {
            let mut owners = self.fallback_owners(now, pool, job).into_iter();
            return owners.any(|(owner, _)| owner == open_request.owner);
        }
        if open_request.is_redirected {
            let source = Source {
                owner: open_request.owner,
                endpoint: open_request.endpoint,
            };
            return self.is_current_owner(now, pool, source);
        }
        self.slot_owner(now, pool, open_request.endpoint) == Owner::Remote(open_request.owner)
    }

    /// Cancels an open request and returns it.
    pub(super) fn cancel_open_request(&mut self, id: job::Id) -> Option<OpenRequest> {
        let open_request = self.open_requests.remove(&id)?;
        self.release_slot(open_request.owner, open_request.number, End::Abandoned);
        Some(open_request)
    }

    /// Reports to an owner that a slot, or a place in its queue, is not used.
    pub(super) fn release_slot(&mut self, owner: SocketAddrV4, number: u64, end: End) {
        let seen = Observation::default();
        self.send_lease_report(owner, number, lease::Event::Ended { end, seen });
    }

    pub(super) fn send_lease_report(
        &mut self,
        owner: SocketAddrV4,
        number: u64,
        event: lease::Event,
    ) {
        self.send_lease_report_with_load(owner, number, event, None);
    }

    /// Reports to an owner on a request that holds a slot, with the load that the endpoint stated.
    pub(super) fn send_lease_report_with_load(
        &mut self,
        owner: SocketAddrV4,
        number: u64,
        event: lease::Event,
        load: Option<stated_load::Load>,
    ) {
        let report = lease::Report {
            number,
            event,
            load,
        };
        self.outbox.push((owner, Message::Report(report)));
    }

    /// Submits requests again that wait on this node for a single endpoint which takes no
    /// work any more. Requests of other nodes are denied when those nodes repeat them.
    pub(super) fn resubmit_stuck_requests(&mut self, now: Time, target: &id::Target) {
        let Some(pool) = self.pools.get(target).filter(|pool| pool.shared) else {
            return;
        };
        let waiting = pool.queue.iter();
        let is_stuck = |number| {
            let worker = self.worker_opt(target, number);
            !worker.is_some_and(|worker| worker.accepts_work(now, &self.options.worker))
        };
        let stuck_ids = waiting
            .filter(|(_, job)| job.origin.is_none() && job.only_endpoint.is_some_and(is_stuck));
        let stuck_ids: Vec<job::Id> = stuck_ids.map(|(id, _)| id).collect();
        for id in stuck_ids {
            let pool = self.pools.get_mut(target);
            let Some(job) = pool.and_then(|pool| pool.queue.remove(id)) else {
                continue;
            };
            self.submit(
                now,
                id,
                Job {
                    only_endpoint: None,
                    ..job
                },
            );
        }
    }
}
