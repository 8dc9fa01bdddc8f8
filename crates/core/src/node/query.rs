//! Read-only queries: readiness, status for operators, and what the I/O layer has to do.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use woadstage_config::hosts;
use woadstage_config::published::Config;
use woadstage_config::published::Kind;
use woadstage_config::published::Target;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Node;
use super::Stage;
use crate::document::Document;
use crate::pool::query::Summary;
use crate::trace::Step;

/// Another node as seen by this one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// The node's host name.
    pub host: id::Host,
    /// Whether the node is connected and was heard recently.
    pub reachable: bool,
    /// Whether the node is stopping.
    pub leaving: bool,
    /// The configuration revision in force at the node.
    pub revision: u64,
}

/// The status of a node, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host name.
    pub host: id::Host,
    /// The incarnation of the process.
    pub incarnation: String,
    /// Whether the node accepts callers.
    pub ready: bool,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// The configuration revision in force, 0 for none.
    pub revision: u64,
    /// The digest of the document in force.
    pub digest: String,
    /// The platform's index of the host list.
    pub hosts_index: u64,
    /// Whether the node reads the platform itself.
    pub watcher: bool,
    /// The other known nodes.
    pub peers: Vec<Peer>,
    /// The number of requests in progress.
    pub requests: usize,
    /// The names of the tiers, most protected first.
    pub tiers: Vec<String>,
    /// The pools held by this node.
    pub pools: Vec<Summary>,
    /// The numbers of keyed requests in progress and of remembered keys.
    pub keys: (usize, usize),
}

impl Node {
    /// Whether callers may be sent to this node.
    ///
    /// It needs a configuration and a host list and, if other live entry hosts are listed,
    /// a heartbeat of a node whose configuration is not newer. Otherwise a stale platform
    /// could bring back an older configuration through a new node.
    pub fn is_ready(&self) -> bool {
        let known = self.document.is_some() && self.list.is_some();
        let configuration_checked = self.configuration_checked || self.members.listed.is_empty();
        known && configuration_checked && self.stage == Stage::Serving
    }

    /// Whether this node should read the platform itself.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.document.is_none() || self.list.is_none() || self.members.is_watcher(now)
    }

    /// Returns the configuration in force, if any.
    pub fn config_opt(&self) -> Option<&Arc<Config>> {
        self.document.as_ref().map(|held| &held.config)
    }

    /// Returns the sorted names of the models that a customer may use.
    pub fn models(&self, token: &[u8; 32]) -> Result<Vec<id::Target>, Code> {
        let config = self.config_opt().ok_or(Code::NotReady)?;
        let customer = config.customers.get(token).ok_or(Code::CustomerUnknown)?;
        let may = |target: &Target| {
            let mut classes = config.classes.values();
            classes.any(|class| {
                config
                    .class_opt(customer, target, Some(&class.name))
                    .is_some()
            })
        };
        let models = config
            .targets
            .values()
            .filter(|target| target.kind == Kind::Model);
        let mut names: Vec<id::Target> = models
            .filter(|target| may(target))
            .map(|target| target.name.clone())
            .collect();
        names.sort();
        Ok(names)
    }

    /// Returns the document in force, if any.
    pub fn document_opt(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Returns the host list, if any.
    pub fn hosts_opt(&self) -> Option<&Arc<hosts::List>> {
        self.list.as_ref()
    }

    /// Returns the endpoints, with addresses, whose load reports this node reads:
    /// those whose pool it holds.
    pub fn polled_endpoints(&self) -> Vec<(id::Endpoint, Arc<str>)> {
        let held = |target: &id::Target| self.holder(target) == self.options.host;
        let ours = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| held(&endpoint.target));
        ours.map(|(name, endpoint)| (name.clone(), endpoint.address.clone()))
            .collect()
    }

    /// Returns the next time at which [`super::Event::Tick`] is due.
    pub fn next_wake(&self) -> Time {
        let next_heartbeat = self.last_heartbeat + self.options.heartbeat;
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let pools = self
            .pools
            .values()
            .filter_map(|pool| pool.next_wake_opt())
            .min();
        deadline
            .into_iter()
            .chain(pools)
            .fold(next_heartbeat, Time::min)
    }

    /// Returns the number of requests in progress.
    pub fn requests(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the recorded steps of a request, or `None` if it is no longer remembered.
    pub fn explain_opt(&self, request: id::Request) -> Option<&[(Time, Step)]> {
        self.trace.steps_opt(request)
    }

    /// Returns the status shown to operators.
    pub fn status(&self, now: Time) -> Status {
        let mut peers: Vec<Peer> = self
            .members
            .peers
            .iter()
            .map(|(host, member)| Peer {
                host: host.clone(),
                reachable: self.members.is_reachable(now, host),
                leaving: member.heartbeat.leaving,
                revision: member.heartbeat.revision,
            })
            .collect();
        peers.sort_by(|one, other| one.host.cmp(&other.host));
        let confirmation = self
            .document
            .as_ref()
            .map(|held| held.config.confirmation.clone());
        let confirmation = confirmation.unwrap_or_default();
        let config = self.config_opt();
        let tiers = config.map(|config| config.tiers.iter().map(|tier| tier.to_string()).collect());
        Status {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation.to_string(),
            ready: self.is_ready(),
            stopping: self.stage != Stage::Serving,
            revision: confirmation.revision,
            digest: confirmation.digest,
            hosts_index: self.list_index,
            watcher: self.is_watcher(now),
            peers,
            requests: self.tasks.len(),
            tiers: tiers.unwrap_or_default(),
            pools: self.pools.values().map(|pool| pool.summary(now)).collect(),
            keys: (self.ledger.running_count(), self.ledger.len()),
        }
    }
}
