//! Lists of endpoints: publishing, reads and transfers between nodes.

use std::collections::BTreeMap;
use std::sync::Arc;

use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::member::Role;
use woadstage_dispatch::protocol::Protocol;

use super::Event;
use super::TRANSFER_TIME;
use super::World;
use super::address;
use super::links;

impl World {
    /// Publishes a list of endpoints that some nodes read at once.
    pub fn publish(&mut self, list: List, readers: &[u16]) {
        self.list = Arc::new(list);
        for node in readers {
            let list = self.list_for(*node);
            if let Some(dispatcher) = self.nodes.get_mut(node) {
                dispatcher.set_endpoints(self.now, list);
                self.apply_decisions(*node);
            }
        }
    }

    /// Returns the list as a node's build reads it.
    pub(super) fn list_for(&self, node: u16) -> Arc<List> {
        match self.previous_build.contains(&node) {
            true => Arc::new(List {
                era: Era::default(),
                ..(*self.list).clone()
            }),
            false => self.list.clone(),
        }
    }

    /// Publishes a list that the readers of each data centre read at once.
    pub fn publish_to_readers(&mut self, list: List) {
        let readers = self.readers();
        self.publish(list, &readers);
    }

    /// Returns two nodes of each data centre and partition, which read from the platform.
    fn readers(&self) -> Vec<u16> {
        let mut near: BTreeMap<(u16, u16), Vec<u16>> = BTreeMap::new();
        for node in self.nodes.keys().copied() {
            if self.without_platform.contains(&node) || self.partitioned.contains(&node) {
                continue;
            }
            let part = self.partition_of.map_or(0, |part| part(node));
            let readers = near.entry((self.centre(node), part)).or_default();
            if readers.len() < 2 {
                readers.push(node);
            }
        }
        near.into_values().flatten().collect()
    }

    /// Lets an outdated node transfer the list from another or read it from the platform.
    pub(super) fn catch_up(&mut self, node: u16, ahead: Option<u16>) {
        let now = self.now;
        let Some(links) = &mut self.links else {
            if let Some(from) = ahead {
                self.schedule(now + TRANSFER_TIME, Event::Transfer { node, from });
            }
            return;
        };
        let Some(dispatcher) = self.nodes.get(&node) else {
            return;
        };
        if dispatcher.edition().revision > 0 || links.busy.contains(&node) {
            return;
        }
        if dispatcher.role(now) != Role::Follower {
            links.busy.insert(node);
            let read = links.read(now);
            self.schedule(read, Event::Read(node));
        } else if let Some(from) = ahead {
            links.busy.insert(node);
            match links.try_start_transfer(now, from) {
                Some(given) => self.schedule(given, Event::Transfer { node, from }),
                None => self.schedule(now + links::DECLINE_PAUSE, Event::Declined(node)),
            }
        }
    }

    pub(super) fn mark_idle(&mut self, node: u16) {
        if let Some(links) = &mut self.links {
            links.busy.remove(&node);
        }
    }

    /// Transfers the list of endpoints from another node.
    pub(super) fn transfer_list(&mut self, node: u16, from: u16) {
        if self.partitioned.contains(&node) || self.partitioned.contains(&from) {
            return;
        }
        if self
            .partition_of
            .is_some_and(|part| part(node) != part(from))
        {
            return;
        }
        let (Some(to), Some(giver)) = (self.nodes.get(&node), self.nodes.get(&from)) else {
            return;
        };
        let mut pull = to.pull(address(from));
        let builds = [node, from];
        if builds.iter().any(|one| self.previous_build.contains(one)) {
            pull.protocol = Protocol::FIRST;
            pull.known.endpoints.era = Era::default();
        }
        let base = to.endpoints().clone();
        let Some(mut difference) = giver.snapshot(&pull).endpoints else {
            return;
        };
        if builds.iter().any(|one| self.previous_build.contains(one)) {
            difference.era = Era::default();
        }
        let list = Arc::new(difference.into_list(&base));
        if let Some(dispatcher) = self.nodes.get_mut(&node) {
            dispatcher.set_endpoints(self.now, list);
            self.apply_decisions(node);
        }
    }
}
