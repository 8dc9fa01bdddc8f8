//! Read-only queries of the dispatcher.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::booking;
use crate::configuration::Configuration;
use crate::configuration::Priority;
use crate::edition::Edition;
use crate::endpoint::List;
use crate::protocol::Protocol;
use crate::queue_report;
use crate::quota::Reach;
use crate::table::Table;
use crate::worker::Failure;
use crate::worker::Worker;

/// How long a starting node waits for a configuration that other nodes have. A change may take at
/// least two seconds to come into force, and transferring 260 kB from another node of the cell
/// takes 0.7 s over 10 Mbit/s while two other transfers run.
const CATCH_UP_TIMEOUT: Span = Span::from_secs(1);

/// One in this many of the connections that endpoints accept may be idle. The others are left for
/// those in use and for nodes that need more than an even share.
const IDLE_CONNECTION_DIVISOR: usize = 2;

/// Endpoints that are passed over because of what they stated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PassedOver {
    /// Endpoints that are leaving.
    pub leaving: Vec<id::Endpoint>,
    /// Endpoints that asked this node to send nothing for a while.
    pub resting: Vec<id::Endpoint>,
}

/// The number of listed endpoints that this node sends nothing to because of failures, by the kind
/// of failure. Each endpoint counts once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unusable {
    /// Endpoints that this node could not connect to.
    pub unreachable: usize,
    /// Endpoints whose calls broke at this node.
    pub failing: usize,
    /// Endpoints whose calls make no progress at this node.
    pub stalled: usize,
    /// Endpoints that other nodes report as down.
    pub reported_down: usize,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("unreachable", self.unreachable),
            ("failing", self.failing),
            ("stalled", self.stalled),
            ("reported down", self.reported_down),
        ];
        let named = counts.iter().filter(|(_, count)| *count > 0);
        let texts: Vec<String> = named
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        f.write_str(&texts.join(", "))
    }
}

/// The state of a service on this node, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The service.
    pub target: id::Target,
    /// Waiting requests.
    pub waiting: usize,
    /// Requests of this node in progress.
    pub running: u32,
    /// Requests of other nodes in progress, as reported by them.
    pub running_elsewhere: u32,
    /// Endpoints of this node's cell that accept work now.
    pub usable: usize,
    /// Endpoints listed by the platform.
    pub endpoints: usize,
    /// Endpoints with a rate limit.
    pub rate_limited: usize,
    /// Cold endpoints.
    pub cold: usize,
    /// Endpoints that are leaving according to the platform or their own answers.
    pub leaving: usize,
    /// Endpoints that asked this node to send nothing for a while.
    pub resting: usize,
    /// Endpoints that this node sends nothing to because of failures.
    pub unusable: Unusable,
    /// Open endpoints that this node's links to are lost.
    pub lost_links: usize,
    /// Requests of this node's callers that other nodes run.
    pub forwarded: usize,
    /// Whether most of its endpoints state how long work takes there at present.
    pub variable_capacity: bool,
    /// Endpoints that are slower at present than usual, by their own statements.
    pub slow: usize,
    /// Requests that were not sent to an endpoint because it was slow, since the start.
    pub avoided_slow: u64,
    /// Customers with waiting requests or remembered use of their fair shares.
    pub sharing_customers: usize,
    /// Requests that left the queue, or became late there, without a charge to their customer.
    pub share_refunds: u64,
    /// Requests that arrived when others of their customer already waited beyond its fair share.
    pub share_excesses: u64,
    /// Retries left in the budget.
    pub repeats_left: u64,
    /// Redirections between owners of its slots.
    pub redirects: queue_report::Counters,
    /// Bookings made here, claimed here, expired, and refused after a claim.
    pub bookings: booking::Counts,
    /// The predicted wait of a new request of the least protected rank that has waiting ones.
    pub predicted_wait: Span,
    /// Requests that endpoints are given beyond their slots by the load that they state.
    pub depth: u32,
    /// Waiting requests that will be late.
    pub late: usize,
    /// Requests that were queued although they would be late.
    pub held: u64,
    /// Requests that were refused on arrival by the forecast from their position.
    pub refused: u64,
    /// Late requests that were refused once they could no longer be answered in time.
    pub dropped: u64,
    /// The listed endpoints by the version of their software, where that is known.
    pub software: BTreeMap<id::Software, usize>,
}

impl Pool {
    /// Counts the listed endpoints by the version of their software, where that is known.
    fn count_by_software(&self) -> BTreeMap<id::Software, usize> {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        let mut counts = BTreeMap::new();
        for software in listed.filter_map(|worker| worker.endpoint.software.as_ref()) {
            *counts.entry(software.clone()).or_default() += 1;
        }
        counts
    }
}

impl Dispatcher {
    /// The address at which other nodes reach this node.
    pub fn own_address(&self) -> SocketAddrV4 {
        self.options.own
    }

    /// The incarnation of this node.
    pub fn incarnation(&self) -> u64 {
        self.options.incarnation
    }

    /// The configuration in force, indexed for lookups.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.table.as_ref().map(|table| table.configuration())
    }

    /// The version of the configuration in force, or 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration()
            .map_or(0, |configuration| configuration.version)
    }

    /// The configuration versions reported by other nodes, newest first.
    pub fn peer_configuration_versions(&self, now: Time) -> Vec<(SocketAddrV4, u64)> {
        self.members.configuration_versions(now)
    }

    /// The list of endpoints in force.
    pub fn endpoints(&self) -> &Arc<List> {
        &self.list
    }

    /// The edition of the endpoint list in force.
    pub fn edition(&self) -> Edition {
        self.list.edition()
    }

    /// The endpoints in force that the platform's list lacks, since that may be incomplete.
    pub fn kept_endpoints(&self) -> &[id::Endpoint] {
        &self.kept
    }

    /// How long the list of endpoints has been in force.
    pub fn endpoints_age(&self, now: Time) -> Span {
        now.since(self.listed_at)
    }

    /// Whether the node can serve: it has the platform's configuration and endpoint list and is not
    /// stopping.
    pub fn is_ready(&self, now: Time) -> bool {
        self.admission_table_opt(now).is_some() && self.list.revision > 0 && !self.leaving
    }

    /// The configuration used for admission. `None` without a configuration, or while other nodes
    /// may have a newer one.
    pub fn admission_table_opt(&self, now: Time) -> Option<&Arc<Table>> {
        self.table.as_ref().filter(|_| !self.is_catching_up(now))
    }

    /// Whether this node has just started and another node has a newer configuration, or no other
    /// node was discovered yet. The platform may have come back with an older copy in which a
    /// revoked key is still valid, while other nodes may have the newer configuration. If no node is
    /// discovered within the discovery time, the platform's configuration is used.
    fn is_catching_up(&self, now: Time) -> bool {
        let started = self.accounts.started();
        if now.since(started) >= CATCH_UP_TIMEOUT || self.members.has_no_peers() {
            return false;
        }
        match self.members.newest_configuration_version_opt(now) {
            None => self.accounts.is_discovering(now),
            Some(newest) => newest > self.configuration_version(),
        }
    }

    /// Returns the endpoints of a service that are passed over because of what they stated in
    /// answers.
    pub fn passed_over(&self, now: Time, target: &id::Target) -> PassedOver {
        let mut passed_over = PassedOver::default();
        let pool = self.pools.get(target);
        let workers = pool.into_iter().flat_map(|pool| &pool.workers);
        for worker in workers.filter(|worker| worker.listed) {
            if worker.leaving {
                passed_over.leaving.push(worker.endpoint.name.clone());
            } else if worker.rest.is_resting(now) {
                passed_over.resting.push(worker.endpoint.name.clone());
            }
        }
        passed_over
    }

    /// Counts the listed endpoints of a service that this node sends nothing to because of failures.
    pub fn unusable(&self, now: Time, target: &id::Target) -> Unusable {
        let mut unusable = Unusable::default();
        let pool = self.pools.get(target);
        let workers = pool.into_iter().flat_map(|pool| &pool.workers);
        for worker in workers.filter(|worker| worker.listed) {
            match worker.failure_opt(now, &self.options.worker) {
                Some(Failure::Unreachable) => unusable.unreachable += 1,
                Some(Failure::Broken) => unusable.failing += 1,
                Some(Failure::Stalled) => unusable.stalled += 1,
                Some(Failure::ReportedDown) => unusable.reported_down += 1,
                None => {}
            }
        }
        unusable
    }

    /// Whether the node is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The position of a route's priority among all routes, from 0 for the most protected to 1 for
    /// the least.
    pub fn relative_priority(&self, urgency: Priority) -> f64 {
        let least = self.pools.values().map(|pool| pool.least_protected).max();
        f64::from(urgency) / f64::from(least.unwrap_or(0).max(1))
    }

    /// Whether the requests that wait for a service on all nodes of the cell exceed the configured
    /// multiple of its usable endpoints.
    pub fn is_backlogged(&self, now: Time, target: &id::Target) -> bool {
        self.pools.get(target).is_some_and(|pool| {
            let elsewhere = self.waiting_elsewhere(now, pool.number);
            let elsewhere: usize = elsewhere.map(|waiting| usize::from(waiting.count)).sum();
            let waiting = pool.queue.len() + elsewhere;
            let usable = pool.usable(now, &self.options.worker);
            waiting as f64 > usable as f64 * self.options.policy.pressed_from
        })
    }

    /// The time within which nearly all requests of a route get their whole answer, or `None` if no
    /// answer was observed.
    pub fn duration_opt(&self, route: &str) -> Option<Span> {
        self.durations.upper_bound_opt(route)
    }

    /// Whether at least as many other nodes serve as are stopping, and at least one serves.
    pub fn are_most_peers_serving(&self, now: Time) -> bool {
        let peers = self.members.live(now);
        let (stopping, serving): (Vec<_>, Vec<_>) =
            peers.partition(|(_, member)| member.status.leaving);
        serving.len() >= stopping.len().max(1)
    }

    /// Counts the requests of this node's callers that wait or run.
    pub fn held(&self) -> usize {
        self.targets
            .len()
            .saturating_sub(self.remote_requests.len())
    }

    /// Counts the requests of other nodes that wait for or run in slots of this node.
    pub fn remote_request_count(&self) -> usize {
        self.remote_requests.len()
    }

    /// The number of idle connections that this node may keep to one endpoint of a service: an even
    /// share of half of what the endpoint accepts from all nodes, but at least one. Endpoints reset
    /// connections beyond that, at the expense of whoever opens the next one.
    pub fn max_idle_connections(&self, now: Time, target: &id::Target) -> usize {
        let service = self
            .table
            .as_ref()
            .and_then(|table| table.service_opt(target));
        let taken = service.map_or(0, |service| service.connections as usize);
        let nodes = self.members.reach(now).nodes;
        (taken / IDLE_CONNECTION_DIVISOR / nodes.max(1)).max(1)
    }

    /// How much of the fleet this node can reach.
    pub fn reach(&self, now: Time) -> Reach {
        self.members.reach(now)
    }

    /// Whether a node belongs to this node's cell.
    pub fn is_near(&self, address: SocketAddrV4) -> bool {
        self.members.is_in_cell(address)
    }

    /// Counts the other nodes from which this node receives messages, by protocol version.
    pub fn peers_by_protocol(&self, now: Time) -> BTreeMap<Protocol, i64> {
        let mut counts = BTreeMap::new();
        for (_, member) in self.members.live(now) {
            *counts.entry(member.status.protocol).or_default() += 1;
        }
        counts
    }

    /// Returns the state of every service.
    pub fn summaries(&self, now: Time) -> Vec<Summary> {
        let nodes = self.members.reach(now).nodes;
        let pools = self.pools.iter().map(|(target, pool)| Summary {
            target: target.clone(),
            waiting: pool.queue.len(),
            running: pool.workers.iter().map(|worker| worker.running).sum(),
            running_elsewhere: pool
                .workers
                .iter()
                .map(|worker| worker.remote_running)
                .sum(),
            usable: pool.usable(now, &self.options.worker),
            endpoints: pool.workers.iter().filter(|worker| worker.listed).count(),
            rate_limited: pool.count_listed(Worker::is_rate_limited),
            cold: pool.count_listed(|worker| worker.cold.is_cold(now)),
            leaving: pool.count_listed(Worker::is_leaving),
            resting: pool.count_listed(|worker| worker.rest.is_resting(now)),
            unusable: self.unusable(now, target),
            lost_links: pool.count_open(|worker| worker.link.is_lost()),
            forwarded: self.forwarded_count(target),
            variable_capacity: pool.has_variable_capacity,
            slow: pool.count_slow(now),
            avoided_slow: pool.avoided_slow,
            sharing_customers: pool.sharing_customers(),
            share_refunds: pool.share_refunds,
            share_excesses: pool.share_excesses,
            repeats_left: self.budget.remaining(now, target, nodes),
            redirects: pool.redirection.counters,
            bookings: pool.calendar.counts(),
            predicted_wait: self.longest_predicted_wait(now, pool),
            depth: pool
                .workers
                .iter()
                .filter(|worker| worker.listed)
                .filter_map(|worker| self.depth_opt(now, pool, worker))
                .sum(),
            late: pool.queue.count_late(),
            held: pool.flow.held,
            refused: pool.flow.refused,
            dropped: pool.flow.dropped,
            software: pool.count_by_software(),
        });
        pools.collect()
    }
}
