//! Queries.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use crate::configuration::Configuration;
use crate::configuration::Priority;
use crate::edition::Edition;
use crate::endpoint::List;
use crate::protocol::Protocol;
use crate::quota::Reach;
use crate::table::Table;
use crate::worker::Worker;

/// How long after its start a node waits for a configuration that others have. Two
/// seconds and more are allowed until a change is in force; a transfer from a neighbour
/// of 260 kB takes 0.7 s on 10 Mbit/s beside two others.
const CATCH_UP_WITHIN: Span = Span::from_secs(1);

/// Of so many connections that endpoints take one may be at rest: the rest is for those
/// in use, and for nodes that have more than their even part.
const KEPT_OF_TAKEN: usize = 2;

/// Endpoints that a request is not sent to, by what they said of themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PassedOver {
    /// Those that leave.
    pub leaving: Vec<id::Endpoint>,
    /// Those that want nothing from this node for a while.
    pub resting: Vec<id::Endpoint>,
}

/// What a node holds, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The service.
    pub target: id::Target,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests of ours in progress.
    pub running: u32,
    /// Requests of others in progress, as far as heard.
    pub others: u32,
    /// Endpoints of its cell that take work now.
    pub usable: usize,
    /// Endpoints known.
    pub endpoints: usize,
    /// Endpoints that name a rate limit.
    pub rate_limited: usize,
    /// Endpoints that are cold.
    pub cold: usize,
    /// Endpoints that leave, by the platform or by their own answers.
    pub leaving: usize,
    /// Endpoints that want nothing from this node for a while.
    pub resting: usize,
    /// Repeats left in the budget.
    pub repeats_left: u64,
}

impl Dispatcher {
    /// This life of the node.
    pub fn incarnation(&self) -> u64 {
        self.options.incarnation
    }

    /// The configuration in force, arranged for look-ups.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.table.as_ref().map(|table| table.configuration())
    }

    /// The version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration()
            .map_or(0, |configuration| configuration.version)
    }

    /// The versions of the configuration that other nodes say they have, the newest first.
    pub fn configurations_heard(&self, now: Time) -> Vec<(SocketAddrV4, u64)> {
        self.members.configuration_versions(now)
    }

    /// The list of endpoints in force.
    pub fn endpoints(&self) -> &Arc<List> {
        &self.list
    }

    /// The list of endpoints in force, among others.
    pub fn edition(&self) -> Edition {
        self.list.edition()
    }

    /// True while the node can serve: what the platform published is known.
    pub fn is_ready(&self, now: Time) -> bool {
        self.admitting_table_opt(now).is_some() && self.list.revision > 0 && !self.leaving
    }

    /// The configuration by which requests are let in; none where there is none, or
    /// where others may have a newer one.
    pub fn admitting_table_opt(&self, now: Time) -> Option<&Arc<Table>> {
        self.table.as_ref().filter(|_| !self.is_catching_up(now))
    }

    /// True while this node has just started and another has a newer configuration, or
    /// none was heard yet. The platform may have come back with an older copy, in which
    /// a key is good that was taken away; others know better. Where nobody is heard
    /// within the time in which nodes meet, the platform alone is believed.
    fn is_catching_up(&self, now: Time) -> bool {
        let started = self.accounts.started();
        if now.since(started) >= CATCH_UP_WITHIN || self.members.has_no_peers() {
            return false;
        }
        match self.members.newest_configuration_version_opt(now) {
            None => self.accounts.is_meeting(now),
            Some(newest) => newest > self.configuration_version(),
        }
    }

    /// Endpoints of a service that are passed over now by what they said in answers.
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

    /// True once the node has begun to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// How routine a route's requests are among all routes: from 0 for the most
    /// protected to 1 for the least.
    pub fn routine(&self, urgency: Priority) -> f64 {
        let least = self.pools.values().map(|pool| pool.least_protected).max();
        f64::from(urgency) / f64::from(least.unwrap_or(0).max(1))
    }

    /// True while more requests wait for a service, on all nodes together, than
    /// its endpoints will take up in a moment.
    pub fn is_pressed(&self, now: Time, target: &id::Target) -> bool {
        self.pools.get(target).is_some_and(|pool| {
            let others = self.others_waiting(now, pool.number);
            let others: usize = others.map(|waiting| usize::from(waiting.count)).sum();
            let waiting = pool.queue.len() + others;
            let usable = pool.usable(now, &self.options.worker);
            waiting as f64 > usable as f64 * self.options.policy.pressed_from
        })
    }

    /// The time within which nearly all requests of a route have their whole
    /// answer; nothing where none was seen.
    pub fn duration_opt(&self, route: &str) -> Option<Span> {
        self.durations.most_opt(route)
    }

    /// True while at least as many other nodes serve as are stopping.
    pub fn are_most_others_serving(&self, now: Time) -> bool {
        let others = self.members.live(now);
        let (stopping, serving): (Vec<_>, Vec<_>) =
            others.partition(|(_, member)| member.status.leaving);
        serving.len() >= stopping.len().max(1)
    }

    /// Requests of this node's callers that wait or run.
    pub fn held(&self) -> usize {
        self.places.len().saturating_sub(self.remote.len())
    }

    /// Requests of other nodes that wait or run in slots of this node's.
    pub fn held_for_others(&self) -> usize {
        self.remote.len()
    }

    /// Connections at rest that this node may keep to one endpoint of a service, without
    /// those in use: its even part of half of what the endpoint takes from all nodes
    /// together, and one in any case. Endpoints reset connections beyond what they take,
    /// which costs whoever opens the next one.
    pub fn connections_at_rest(&self, now: Time, target: &id::Target) -> usize {
        let service = self
            .table
            .as_ref()
            .and_then(|table| table.service_opt(target));
        let taken = service.map_or(0, |service| service.connections as usize);
        let nodes = self.members.reach(now).nodes;
        (taken / KEPT_OF_TAKEN / nodes.max(1)).max(1)
    }

    /// How much of the fleet this node can speak for.
    pub fn reach(&self, now: Time) -> Reach {
        self.members.reach(now)
    }

    /// True for a node of this one's cell.
    pub fn is_near(&self, address: SocketAddrV4) -> bool {
        self.members.is_in_cell(address)
    }

    /// Other nodes that are heard, by the protocol that they speak.
    pub fn heard_by_protocol(&self, now: Time) -> BTreeMap<Protocol, i64> {
        let mut heard = BTreeMap::new();
        for (_, member) in self.members.live(now) {
            *heard.entry(member.status.protocol).or_default() += 1;
        }
        heard
    }

    /// What is held for each service.
    pub fn summaries(&self, now: Time) -> Vec<Summary> {
        let nodes = self.members.reach(now).nodes;
        let pools = self.pools.iter().map(|(target, pool)| Summary {
            target: target.clone(),
            waiting: pool.queue.len(),
            running: pool.workers.iter().map(|worker| worker.running).sum(),
            others: pool.workers.iter().map(|worker| worker.others).sum(),
            usable: pool.usable(now, &self.options.worker),
            endpoints: pool.workers.iter().filter(|worker| worker.listed).count(),
            rate_limited: pool.count_listed(Worker::is_rate_limited),
            cold: pool.count_listed(|worker| worker.cold.is_cold(now)),
            leaving: pool.count_listed(Worker::is_leaving),
            resting: pool.count_listed(|worker| worker.rest.is_resting(now)),
            repeats_left: self.budget.left(now, target, nodes),
        });
        pools.collect()
    }
}
