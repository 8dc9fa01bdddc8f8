//! Redirects requests to owners of the same service's slots at which they wait less, so that all
//! owners of a service refuse from about the same wait on.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::borrow::LeaseTarget;
use crate::endpoint;
use crate::job;
use crate::job::Job;
use crate::lease::Answer;
use crate::member::Owner;
use crate::queue_report;
use crate::queue_report::Candidate;
use crate::queue_report::Counters;
use crate::queue_report::Distance;
use crate::queue_report::Limits;
use crate::queue_report::Registry;
use crate::queue_report::ServiceTime;
use crate::queue_report::Source;
use crate::worker::Worker;

/// What a node knows of the other owners of a service's slots, and what it told them.
#[derive(Debug, Default)]
pub(super) struct State {
    /// The reports of other owners.
    pub reports: Registry,
    /// When this node last reported to other owners.
    pub reported: Time,
    /// Whether requests waited according to its last report.
    pub reported_waiting: bool,
    /// What happened since the node started.
    pub counters: Counters,
}

impl Dispatcher {
    /// Redirects a request that would be refused to an owner at which it is expected to be served.
    /// Returns whether there is one.
    pub(super) fn try_redirect(&mut self, now: Time, id: job::Id, job: &Job) -> bool {
        let Some(pool) = self.redirecting_pool_opt(job) else {
            return false;
        };
        if job.is_redirected {
            self.count(&job.target, |counters| counters.refused += 1);
            return false;
        }
        // Unless the forecast decides, admission accepts a late answer for a caller that was refused
        // before.
        let accepts_late = job.is_caller_retry() && !self.forecasts_by_position(pool);
        let late_limit = accepts_late.then(|| job.arrived + job.caller_timeout);
        let mut limits = [Some(self.late_at(job)), late_limit].into_iter().flatten();
        let own_wait = self.predicted_wait(now, pool, job.rank);
        let found =
            limits.find_map(|limit| self.better_owner_opt(now, id, pool, job, own_wait, limit));
        if let Some(source) = found {
            self.redirect(now, id, job, source);
            return true;
        }
        if self.is_isolated(now, pool, job) {
            self.count(&job.target, |counters| counters.isolated += 1);
        }
        false
    }

    /// Redirects a request that would be queued here and answered late to an owner at which it is
    /// expected to be answered in time. Returns whether there is one.
    pub(super) fn try_redirect_late(&mut self, now: Time, id: job::Id, job: &Job) -> bool {
        let Some(pool) = self.redirecting_pool_opt(job) else {
            return false;
        };
        if job.is_redirected || job.is_booked || !job.is_untried() {
            return false;
        }
        // Where the forecast decides, the request waits for those ahead of its own position only.
        let wait = match self.forecasts_by_position(pool) {
            true => self.backlog_of(now, pool, job, false).wait(),
            false => self.predicted_wait(now, pool, job.rank),
        };
        let in_time_until = self.late_at(job);
        if now + wait + pool.typical_response_time() <= in_time_until {
            return false;
        }
        let Some(source) = self.better_owner_opt(now, id, pool, job, wait, in_time_until) else {
            return false;
        };
        self.count(&job.target, |counters| counters.late += 1);
        self.redirect(now, id, job, source);
        true
    }

    /// Returns the state of a request's service if owners redirect its requests.
    fn redirecting_pool_opt(&self, job: &Job) -> Option<&Pool> {
        let pool = self.pools.get(&job.target)?;
        // Other owners report their waits for all versions together.
        let is_free = !job.binding.is_bound();
        (is_free && self.applies_redirects(pool)).then_some(pool)
    }

    pub(super) fn applies_redirects(&self, pool: &Pool) -> bool {
        let redirects = self.options.policy.redirects;
        redirects.applies(pool.has_variable_capacity) && !self.members.cell().covers_fleet
    }

    /// Returns an owner at which a request waits clearly less than the `own_wait` here and is
    /// expected to be answered by `limit`.
    fn better_owner_opt(
        &self,
        now: Time,
        id: job::Id,
        pool: &Pool,
        job: &Job,
        own_wait: Span,
        limit: Time,
    ) -> Option<Source> {
        let origin = job.origin.map(|origin| origin.node);
        if origin.is_some_and(|node| !self.members.supports_shared_admission(node)) {
            return None;
        }
        let useful_until = limit.min(job.expires_at());
        let answered = now + pool.typical_response_time();
        if answered > useful_until {
            return None;
        }
        let limits = Limits {
            max_wait: useful_until.since(answered),
            own_wait,
        };
        let reports = &pool.redirection.reports;
        // Owners that are as full as this one redirect to the same others.
        let senders = 1 + reports.count_beyond(now, job.rank, limits.max_wait) as u32;
        let candidates = reports.fresh(now).filter_map(|source| {
            let service_time = self.service_time(now, pool, source);
            Some(Candidate {
                source,
                distance: self.distance(source.owner),
                load: reports.load_opt(now, source, job.rank, service_time, senders)?,
                service_time,
            })
        });
        let mut candidates: Vec<Candidate> = candidates
            .filter(|candidate| limits.allow(candidate.load.wait))
            .collect();
        // Finding the owners takes a hash for each node, and mostly all of them are as full.
        if candidates.is_empty() {
            return None;
        }
        let owners = self.other_owners(now, pool);
        candidates.retain(|Candidate { source, .. }| {
            owners.contains(source) && self.may_redirect(now, pool, job, *source)
        });
        let drawn = hash::chain(self.options.incarnation, &id.0.to_le_bytes());
        queue_report::choose_opt(&candidates, limits, drawn)
    }

    /// Whether the slots of an owner are open to a request, as far as this node knows.
    fn may_redirect(&self, now: Time, pool: &Pool, job: &Job, source: Source) -> bool {
        let Some(number) = source.endpoint else {
            return self.may_run_on(job, source.owner);
        };
        let worker = pool.worker_opt(number).map(|index| &pool.workers[index]);
        let is_excluded = job.avoided.contains(&number) || job.history.tried.contains(&number);
        let is_open = |worker: &Worker| {
            let options = &self.options.worker;
            let usable = match job.origin {
                None => worker.accepts_work(now, options),
                Some(_) => worker.is_lendable(now, options),
            };
            usable && self.may_run_at(job, worker)
        };
        !is_excluded && worker.is_some_and(is_open)
    }

    /// Asks another owner for a slot for a request of this node's callers, or tells the node that
    /// holds the request to do so.
    fn redirect(&mut self, now: Time, id: job::Id, job: &Job, source: Source) {
        if let Some(pool) = self.pools.get_mut(&job.target) {
            let state = &mut pool.redirection;
            state.counters.redirected += 1;
            state.reports.record_redirected(source, job.rank);
        }
        let Some(origin) = job.origin else {
            self.request_redirected(now, id, job.clone(), source);
            return;
        };
        self.targets.remove(&id);
        self.remote_requests.remove(&origin);
        let Source { owner, endpoint } = source;
        self.send_lease_reply(origin, Answer::Redirected { owner, endpoint });
    }

    fn request_redirected(&mut self, now: Time, id: job::Id, job: Job, source: Source) {
        self.targets.insert(id, job.target.clone());
        let target = LeaseTarget {
            owner: source.owner,
            endpoint: source.endpoint,
        };
        let job = Job {
            is_redirected: true,
            only_endpoint: None,
            ..job
        };
        self.request_slot(now, id, target, Some(job));
        if let Some(open_request) = self.open_requests.get_mut(&id) {
            open_request.is_redirected = true;
        }
    }

    /// Asks the owner that another owner named for a slot. If this node can't, it submits the
    /// request again; the decision about it is then final.
    pub(super) fn follow_redirection(
        &mut self,
        now: Time,
        id: job::Id,
        owner: SocketAddrV4,
        endpoint: Option<u32>,
    ) {
        let open_request = self.open_requests.get(&id);
        let job = open_request.and_then(|open_request| open_request.job.as_ref());
        // A request is redirected once, and one for a spare slot never.
        let Some(job) = job.filter(|job| !job.is_redirected).cloned() else {
            self.handle_denial(now, id);
            return;
        };
        self.open_requests.remove(&id);
        let source = Source { owner, endpoint };
        let pool = self.pools.get(&job.target);
        let can_follow = pool.is_some_and(|pool| {
            self.is_current_owner(now, pool, source) && self.may_redirect(now, pool, &job, source)
        });
        let redirected = Job {
            is_redirected: true,
            ..job
        };
        if !can_follow {
            self.count(&redirected.target, |counters| counters.unfollowed += 1);
            self.submit(now, id, redirected);
        } else if owner == self.options.own {
            let only_endpoint = endpoint;
            let job = Job {
                only_endpoint,
                ..redirected
            };
            self.enqueue(now, id, job);
        } else {
            self.request_redirected(now, id, redirected, source);
        }
    }

    /// Submits a request again to whose owner, named by another, this node got no answer. The owner
    /// is not named again before its next report. It is not passed over as an owner, because a
    /// single datagram may have been lost.
    pub(super) fn give_up_redirection(&mut self, now: Time, id: job::Id) {
        let Some(open_request) = self.cancel_open_request(id) else {
            return;
        };
        let Some(job) = open_request.job else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&job.target) {
            pool.redirection.reports.forget(open_request.owner);
        }
        self.submit(now, id, job);
    }

    /// Whether a node owns slots of a service, as seen by this node. In a service that each cell
    /// has slots of, the cells of other nodes count.
    pub(super) fn is_current_owner(&self, now: Time, pool: &Pool, source: Source) -> bool {
        let is_own = source.owner == self.options.own
            && pool.shared
            && self.slot_owner(now, pool, source.endpoint) == Owner::Local;
        is_own || self.other_owners(now, pool).contains(&source)
    }

    /// Whether no other data centre in which the service has slots was heard from recently.
    fn is_isolated(&self, now: Time, pool: &Pool, job: &Job) -> bool {
        let own = &self.options.data_centre;
        let own_number = endpoint::number_of(own.as_str());
        let centre_of = |source: &Source| self.members.data_centre_opt(source.owner);
        let is_beyond = |source: &Source| centre_of(source) != Some(own_number);
        let mut reported = pool.redirection.reports.fresh(now);
        if reported.any(|source| is_beyond(&source)) {
            return false;
        }
        if self.other_owners(now, pool).iter().any(is_beyond) {
            return true;
        }
        // After a while the nodes of a data centre that is cut off no longer count as owners.
        let mut workers = pool.workers.iter();
        let has_slots_beyond = workers.any(|worker| {
            worker.listed && worker.endpoint.data_centre != *own && self.may_run_at(job, worker)
        });
        let mut live = self.members.live(now);
        has_slots_beyond && !live.any(|(_, member)| member.status.data_centre != own_number)
    }

    fn distance(&self, owner: SocketAddrV4) -> Distance {
        let own = &self.options.data_centre;
        let Some(centre) = self.members.data_centre_opt(owner) else {
            return Distance::Elsewhere;
        };
        if centre == endpoint::number_of(own.as_str()) {
            Distance::Centre
        } else if self.options.regions.is_same_region(own, centre) {
            Distance::Region
        } else {
            Distance::Elsewhere
        }
    }

    /// Returns how fast the slots of an owner take requests. The cells of a service are assumed to
    /// have as many slots as this one.
    fn service_time(&self, now: Time, pool: &Pool, source: Source) -> ServiceTime {
        let number = source.endpoint.and_then(|number| pool.worker_opt(number));
        let slots = match number {
            Some(index) => pool.workers[index].endpoint.slots,
            None => pool.usable_slots(now, &self.options.worker),
        };
        ServiceTime {
            call_us: pool.call_us,
            slots,
        }
    }

    fn count(&mut self, target: &id::Target, record: impl FnOnce(&mut Counters)) {
        if let Some(pool) = self.pools.get_mut(target) {
            record(&mut pool.redirection.counters);
        }
    }
}
