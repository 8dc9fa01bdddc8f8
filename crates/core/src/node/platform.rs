//! Configuration documents and host lists, read from the platform or received from nodes.

use std::collections::HashMap;
use std::sync::Arc;

use woadstage_config::hosts;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Action;
use super::Endpoint;
use super::Node;
use crate::document;
use crate::document::Document;
use crate::message::Heartbeat;
use crate::message::Message;

/// How long a platform read confirms the host list: two blocking reads and a margin.
const HOSTS_CONFIRMED_FOR: Span = Span::from_secs(75);

impl Node {
    /// Handles a document from the platform or another node.
    pub(super) fn document(&mut self, now: Time, text: Arc<str>, index: u64) {
        let held = self.document.as_ref();
        if held.is_some_and(|held| held.text == text) {
            self.document
                .iter_mut()
                .for_each(|held| held.index = held.index.min(index));
            return;
        }
        let new = match Document::read(text, index) {
            Ok(new) => new,
            Err(code) => {
                self.out.push(Action::Config {
                    revision: 0,
                    refused: Some(code),
                });
                return;
            }
        };
        let revision = new.config.confirmation.revision;
        if let Err(code) = document::check_replacement(self.document.as_ref(), &new) {
            self.out.push(Action::Config {
                revision,
                refused: Some(code),
            });
            return;
        }
        self.document = Some(new);
        self.out.push(Action::Config {
            revision,
            refused: None,
        });
        self.refresh(now);
        // An immediate heartbeat spreads the document to all nodes within seconds.
        self.send_heartbeats(now);
    }

    /// Handles a host list that this node read from the platform.
    pub(super) fn receive_hosts_from_platform(
        &mut self,
        now: Time,
        list: Arc<hosts::List>,
        index: u64,
    ) {
        let lower = index < self.list_index;
        if lower && !self.accepts_lower_index(now) {
            return;
        }
        self.confirmed_at = Some(now);
        self.apply_hosts(now, list, index);
    }

    /// Handles a host list received from another node.
    pub(super) fn receive_hosts(
        &mut self,
        now: Time,
        from: &id::Host,
        list: Arc<hosts::List>,
        index: u64,
    ) {
        let confirmed = self.members.confirms_hosts(from);
        if self.accepts_hosts(now, index, confirmed) {
            self.confirmed_at = None;
            self.apply_hosts(now, list, index);
        }
    }

    /// Whether to accept a list that another node holds. While platform reads
    /// confirm a list, only confirmed lists are accepted, unless this node has none.
    fn accepts_hosts(&self, now: Time, index: u64, confirmed: bool) -> bool {
        let higher = index > self.list_index;
        if confirmed {
            return higher || (index < self.list_index && self.accepts_lower_index(now));
        }
        let platform_confirmed =
            self.hosts_confirmed(now) || self.members.any_confirms_hosts(now, 0);
        higher && (!platform_confirmed || self.list.is_none())
    }

    fn apply_hosts(&mut self, now: Time, list: Arc<hosts::List>, index: u64) {
        self.list_index = index;
        if self.list.as_ref() == Some(&list) {
            return;
        }
        self.members.set_list(&list);
        self.list = Some(list);
        self.refresh(now);
        self.update_live_nodes(now);
    }

    /// Whether this node's own reads recently confirmed its list.
    pub(super) fn hosts_confirmed(&self, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) <= HOSTS_CONFIRMED_FOR)
    }

    /// Whether a lower index may be accepted: the platform's service may have
    /// restarted and count from the beginning. While any node's reads confirm the
    /// current index, a list with a lower one is only a stale copy.
    fn accepts_lower_index(&self, now: Time) -> bool {
        !self.hosts_confirmed(now) && !self.members.any_confirms_hosts(now, self.list_index)
    }

    /// Updates endpoints and reserves from the host list and configuration in force.
    pub(super) fn refresh(&mut self, now: Time) {
        let Some(list) = self.list.clone() else {
            return;
        };
        let listed = list
            .hosts
            .iter()
            .filter(|host| host.role == hosts::Role::Endpoint);
        let endpoints: HashMap<id::Endpoint, Endpoint> = listed
            .filter_map(|host| {
                let target = host.serves.clone()?;
                let live = host.state == hosts::State::Live;
                let address = host.address.as_str().into();
                let name = id::Endpoint::new(&host.name);
                let leaving = self.endpoints.get(&name).is_some_and(|known| known.leaving);
                let endpoint = Endpoint {
                    address,
                    target,
                    live,
                    leaving,
                };
                Some((name, endpoint))
            })
            .collect();
        self.endpoints = endpoints;
        self.reserves = self.reserves_at(now);
        self.refresh_pools();
    }

    pub(super) fn refresh_pools(&mut self) {
        let Some(document) = &self.document else {
            return;
        };
        let config = document.config.clone();
        let names: Vec<id::Target> = self.pools.keys().cloned().collect();
        for name in names {
            let Some(declared) = config.targets.get(&name) else {
                continue;
            };
            let live = self.live_endpoints(&name);
            let reserves = self.reserves.clone();
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.set_workers(declared, &live, &reserves);
            }
        }
    }

    /// Returns the share of slots currently reserved from each tier.
    pub(super) fn reserves_at(&self, now: Time) -> Vec<u32> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let tiers = 0..document.config.tiers.len() as u8;
        tiers
            .map(|tier| document.config.reserved_percent(tier, now))
            .collect()
    }

    /// Returns the sorted names of a target's endpoints that are live and not leaving.
    pub(super) fn live_endpoints(&self, target: &id::Target) -> Vec<id::Endpoint> {
        let of =
            |endpoint: &Endpoint| endpoint.target == *target && endpoint.live && !endpoint.leaving;
        let live = self.endpoints.iter().filter(|(_, endpoint)| of(endpoint));
        let mut names: Vec<id::Endpoint> = live.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Handles a load report of an endpoint.
    pub(super) fn report(&mut self, now: Time, name: &id::Endpoint, busy: u32, leaving: bool) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        // Also stored here, as the pool may not exist yet or may move to this node later.
        let changed = std::mem::replace(&mut endpoint.leaving, leaving) != leaving;
        let target = endpoint.target.clone();
        if changed {
            self.refresh_pools();
        }
        if let Some(pool) = self.pools.get_mut(&target) {
            pool.report(now, name, busy, leaving);
        }
    }

    /// Requests the document of another node if its revision is higher, or if a different
    /// document has the same revision and a lower index.
    pub(super) fn compare_documents(&mut self, host: &id::Host, heartbeat: &Heartbeat) {
        let held = self.document.as_ref();
        let ours = held.map_or((0, 0), |held| {
            (held.config.confirmation.revision, held.index)
        });
        let same = held.is_some_and(|held| held.short_digest() == heartbeat.digest);
        let newer = heartbeat.revision > ours.0
            || (heartbeat.revision == ours.0 && heartbeat.index < ours.1);
        if !same && newer && heartbeat.revision > 0 {
            self.send(host, Message::WantDocument);
        }
    }

    pub(super) fn compare_hosts(&mut self, now: Time, host: &id::Host, heartbeat: &Heartbeat) {
        let known = heartbeat.hosts_index > 0;
        if known && self.accepts_hosts(now, heartbeat.hosts_index, heartbeat.hosts_confirmed) {
            self.send(host, Message::WantHosts);
        }
    }

    pub(super) fn send_document(&mut self, to: &id::Host) {
        let Some(held) = &self.document else { return };
        let message = Message::Document {
            text: held.text.clone(),
            index: held.index,
        };
        self.send(to, message);
    }

    pub(super) fn send_hosts(&mut self, to: &id::Host) {
        let Some(list) = self.list.clone() else {
            return;
        };
        let index = self.list_index;
        self.send(to, Message::Hosts { list, index });
    }
}
