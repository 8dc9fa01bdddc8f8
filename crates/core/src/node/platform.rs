//! What the platform publishes, read here or passed on by other nodes.

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

/// How long a read of the platform speaks for the list: two waiting reads and
/// some.
const CONFIRMED: Span = Span::from_secs(75);

impl Node {
    /// A document came, from the platform or from another node.
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
        // At once, not at the next heartbeat: in force everywhere in seconds.
        self.beat_all(now);
    }

    /// This node read the host list from the platform.
    pub(super) fn hosts_read(&mut self, now: Time, list: Arc<hosts::List>, index: u64) {
        let lower = index < self.list_index;
        if lower && !self.may_lower(now) {
            return;
        }
        self.confirmed_at = Some(now);
        self.take_hosts(now, list, index);
    }

    /// Another node passed the host list on.
    pub(super) fn hosts_passed(
        &mut self,
        now: Time,
        from: &id::Host,
        list: Arc<hosts::List>,
        index: u64,
    ) {
        let confirmed = self.members.confirms_hosts(from);
        if self.follows_hosts(now, index, confirmed) {
            self.confirmed_at = None;
            self.take_hosts(now, list, index);
        }
    }

    /// True where a list that another node holds is to be followed. While any
    /// reads confirm a list, only lists that reads confirm are.
    fn follows_hosts(&self, now: Time, index: u64, confirmed: bool) -> bool {
        let higher = index > self.list_index;
        if confirmed {
            return higher || (index < self.list_index && self.may_lower(now));
        }
        let led = self.hosts_confirmed(now) || self.members.any_confirms_hosts(now, 0);
        higher && (!led || self.list.is_none())
    }

    fn take_hosts(&mut self, now: Time, list: Arc<hosts::List>, index: u64) {
        self.list_index = index;
        if self.list.as_ref() == Some(&list) {
            return;
        }
        self.members.set_list(&list);
        self.list = Some(list);
        self.refresh(now);
        self.view(now);
    }

    /// True while this node's own reads say that its list is the platform's.
    pub(super) fn hosts_confirmed(&self, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) <= CONFIRMED)
    }

    /// True where a lower index may be followed: the platform's service may
    /// have started again and count from the beginning. While any node's reads
    /// confirm the index held, a lower one is only a stale copy.
    fn may_lower(&self, now: Time) -> bool {
        !self.hosts_confirmed(now) && !self.members.any_confirms_hosts(now, self.list_index)
    }

    /// Gives every pool the endpoints and reserves in force.
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

    /// The share of slots kept from each tier now.
    pub(super) fn reserves_at(&self, now: Time) -> Vec<u32> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let tiers = 0..document.config.tiers.len() as u8;
        tiers
            .map(|tier| document.config.reserved_percent(tier, now))
            .collect()
    }

    /// The endpoints of a target that the list calls live, by name.
    pub(super) fn live_endpoints(&self, target: &id::Target) -> Vec<id::Endpoint> {
        let of =
            |endpoint: &Endpoint| endpoint.target == *target && endpoint.live && !endpoint.leaving;
        let live = self.endpoints.iter().filter(|(_, endpoint)| of(endpoint));
        let mut names: Vec<id::Endpoint> = live.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// An endpoint's own report.
    pub(super) fn report(&mut self, now: Time, name: &id::Endpoint, busy: u32, leaving: bool) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        // Kept here too: the pool may not be open yet, or may come here later.
        let changed = std::mem::replace(&mut endpoint.leaving, leaving) != leaving;
        let target = endpoint.target.clone();
        if changed {
            self.refresh_pools();
        }
        if let Some(pool) = self.pools.get_mut(&target) {
            pool.report(now, name, busy, leaving);
        }
    }

    /// Another node's document is newer, or ours is: exchange them.
    pub(super) fn compare_documents(&mut self, host: &id::Host, said: &Heartbeat) {
        let held = self.document.as_ref();
        let ours = held.map_or((0, 0), |held| {
            (held.config.confirmation.revision, held.index)
        });
        let same = held.is_some_and(|held| held.short_digest() == said.digest);
        let newer = said.revision > ours.0 || (said.revision == ours.0 && said.index < ours.1);
        if !same && newer && said.revision > 0 {
            self.send(host, Message::WantDocument);
        }
    }

    pub(super) fn compare_hosts(&mut self, now: Time, host: &id::Host, said: &Heartbeat) {
        let known = said.hosts_index > 0;
        if known && self.follows_hosts(now, said.hosts_index, said.hosts_confirmed) {
            self.send(host, Message::WantHosts);
        }
    }

    pub(super) fn give_document(&mut self, to: &id::Host) {
        let Some(held) = &self.document else { return };
        let message = Message::Document {
            text: held.text.clone(),
            index: held.index,
        };
        self.send(to, message);
    }

    pub(super) fn give_hosts(&mut self, to: &id::Host) {
        let Some(list) = self.list.clone() else {
            return;
        };
        let index = self.list_index;
        self.send(to, Message::Hosts { list, index });
    }
}
