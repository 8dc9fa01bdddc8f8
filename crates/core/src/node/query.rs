//! Queries of a node: readiness, what operators are shown, what the shell
//! must keep doing.

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

/// Another node, as this one knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub host: id::Host,
    /// True where a connection stands and it was heard lately.
    pub reachable: bool,
    /// True where it is stopping.
    pub leaving: bool,
    /// The revision it has in force.
    pub revision: u64,
}

/// What a node knows and holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its host.
    pub host: id::Host,
    /// Its incarnation.
    pub incarnation: String,
    /// True where it takes callers.
    pub ready: bool,
    /// True while it is stopping.
    pub stopping: bool,
    /// The revision in force, 0 for none.
    pub revision: u64,
    /// The digest of the document in force.
    pub digest: String,
    /// The platform's index of the host list.
    pub hosts_index: u64,
    /// True where it reads the platform itself.
    pub watcher: bool,
    /// Other nodes.
    pub peers: Vec<Peer>,
    /// Requests in progress.
    pub requests: usize,
    /// Names of tiers, the most protected first.
    pub tiers: Vec<String>,
    /// Pools held here.
    pub pools: Vec<Summary>,
    /// Keyed requests in progress, and keys remembered.
    pub keys: (usize, usize),
}

impl Node {
    /// True where callers may be sent here: it has a configuration and a host
    /// list, and some node has been heard whose configuration is no newer, so that
    /// a stale platform cannot bring back an older one through a newcomer.
    pub fn is_ready(&self) -> bool {
        let known = self.document.is_some() && self.list.is_some();
        let checked = self.checked || self.members.listed.is_empty();
        known && checked && self.stage == Stage::Serving
    }

    /// True while this node reads the platform itself.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.document.is_none() || self.list.is_none() || self.members.is_watcher(now)
    }

    /// The configuration in force, if any.
    pub fn config_opt(&self) -> Option<&Arc<Config>> {
        self.document.as_ref().map(|held| &held.config)
    }

    /// The models that a customer may name, by name.
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

    /// The document in force, if any.
    pub fn document_opt(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The host list, if any.
    pub fn hosts_opt(&self) -> Option<&Arc<hosts::List>> {
        self.list.as_ref()
    }

    /// Endpoints whose reports this node should read, with their addresses.
    pub fn polled(&self) -> Vec<(id::Endpoint, Arc<str>)> {
        let held = |target: &id::Target| self.holder(target) == self.options.host;
        let ours = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| held(&endpoint.target));
        ours.map(|(name, endpoint)| (name.clone(), endpoint.address.clone()))
            .collect()
    }

    /// The next time at which [`super::Event::Tick`] has something to do.
    pub fn next_wake(&self) -> Time {
        let beat = self.beat + self.options.heartbeat;
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let pools = self
            .pools
            .values()
            .filter_map(|pool| pool.next_wake_opt())
            .min();
        deadline.into_iter().chain(pools).fold(beat, Time::min)
    }

    /// Requests in progress.
    pub fn requests(&self) -> usize {
        self.tasks.len()
    }

    /// What was decided for a request, or none if it is not remembered.
    pub fn explain_opt(&self, request: id::Request) -> Option<&[(Time, Step)]> {
        self.trace.steps_opt(request)
    }

    /// What the node knows and holds.
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
