//! What a test can break.

use std::sync::Arc;

use rand::RngExt;
use woadstage_config::hosts;
use woadstage_core::node::Event;
use woadstage_core::node::Node;
use woadstage_core::node::Options;
use woadstage_core::pool::Peer;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::Endpoint;
use super::World;

impl World {
    /// Starts a host that is dead, as a new run that remembers nothing.
    pub fn start(&mut self, at: usize) {
        let incarnation = id::Incarnation(id::new_v7(self.now, self.rng.random()));
        let now = self.clock(at);
        let host = &mut self.hosts[at];
        host.incarnation = incarnation;
        host.paused = false;
        host.backlog.clear();
        host.tick_at = None;
        let options = Options {
            host: host.name.clone(),
            data_centre: host.data_centre.clone(),
            incarnation,
            pool: self.options.pool.clone(),
            ..Options::default()
        };
        host.node = Some(Node::new(now, options));
        let text = self.options.document.clone();
        let (list, index) = (self.list.clone(), self.list_index);
        self.tell(at, Event::Document { text, index: 1 });
        self.tell(at, Event::Hosts { list, index });
        for other in 0..self.hosts.len() {
            if other != at && self.hosts[other].node.is_some() {
                self.connect(at, other);
            }
        }
    }

    /// Both hosts see a connection come up, after a while.
    fn connect(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            let host = &self.hosts[to];
            let peer = Peer {
                host: host.name.clone(),
                incarnation: host.incarnation,
            };
            let event = Event::PeerUp(peer);
            let incarnation = self.hosts[from].incarnation;
            let at = self.now + Span(self.options.hop.0 * 3);
            self.tell_at(at, from, incarnation, event);
        }
    }

    /// A host sees its connection to another break, after a while.
    fn disconnect(&mut self, from: usize, to: usize, after: Span) {
        let host = self.hosts[to].name.clone();
        let run = self.hosts[to].incarnation;
        let incarnation = self.hosts[from].incarnation;
        let at = self.now + after;
        self.at(at, move |world| {
            let back = world.is_current(to, run) && !world.is_cut(from, to);
            if !back && world.is_current(from, incarnation) {
                world.tell(from, Event::PeerDown(host));
            }
        });
    }

    /// Kills a host. Its connections are reset at once if `seen`, else the
    /// others notice by silence.
    pub fn kill(&mut self, at: usize, seen: bool) {
        let incarnation = self.hosts[at].incarnation;
        self.hosts[at].node = None;
        let after = if seen {
            Span(self.options.hop.0)
        } else {
            self.options.silence
        };
        for other in 0..self.hosts.len() {
            if other != at && self.hosts[other].node.is_some() {
                self.disconnect(other, at, after);
            }
        }
        self.lose_calls(incarnation);
        self.lose_forwards(at, incarnation, after);
    }

    /// Changes how every endpoint behaves.
    pub fn each_endpoint(&mut self, change: impl FnMut(&mut Endpoint)) {
        self.endpoints.iter_mut().for_each(change);
    }

    /// Pauses a host: it does nothing and notices nothing.
    pub fn pause(&mut self, at: usize) {
        self.hosts[at].paused = true;
    }

    /// Lets a paused host go on: it takes in all that came meanwhile.
    pub fn resume(&mut self, at: usize) {
        self.hosts[at].paused = false;
        let backlog = std::mem::take(&mut self.hosts[at].backlog);
        for event in backlog {
            self.tell(at, event);
        }
        self.tell(at, Event::Tick);
    }

    /// Cuts two hosts off from each other.
    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one.min(other), one.max(other)));
        let silence = self.options.silence;
        self.disconnect(one, other, silence);
        self.disconnect(other, one, silence);
        for at in [one, other] {
            let incarnation = self.hosts[at].incarnation;
            let peer = if at == one { other } else { one };
            self.lose_forwards_between(at, incarnation, peer, silence);
        }
    }

    /// Joins them again.
    pub fn heal(&mut self, one: usize, other: usize) {
        if self.cuts.remove(&(one.min(other), one.max(other))) {
            self.connect(one, other);
        }
    }

    /// True while two hosts are cut off from each other.
    pub fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cuts.contains(&(one.min(other), one.max(other)))
    }

    /// Shows one node a document, as the platform would.
    pub fn show_document(&mut self, at: usize, text: &Arc<str>, index: u64) {
        let text = text.clone();
        self.tell(at, Event::Document { text, index });
    }

    /// Publishes a host list that each node sees after a lag of its own, up to
    /// `lag`; the nodes in `blind` never do.
    pub fn publish_hosts(&mut self, list: hosts::List, lag: Span, blind: &[usize]) {
        self.list = Arc::new(list);
        self.list_index += 1;
        for node in 0..self.hosts.len() {
            if blind.contains(&node) {
                continue;
            }
            let event = Event::Hosts {
                list: self.list.clone(),
                index: self.list_index,
            };
            let after = Span(self.rng.random_range(0..=lag.0));
            let incarnation = self.hosts[node].incarnation;
            let at = self.now + after;
            self.tell_at(at, node, incarnation, event);
        }
    }

    /// Shows one node a host list, as the platform would.
    pub fn show_hosts(&mut self, at: usize, list: &Arc<hosts::List>, index: u64) {
        let list = list.clone();
        self.tell(at, Event::Hosts { list, index });
    }

    /// Sends endpoints' reports, old by `lag`, to the nodes that read them.
    pub fn report(&mut self, lag: Span) {
        let loads: Vec<(id::Endpoint, u32, bool)> = self
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.name.clone(), endpoint.load(), endpoint.leaving))
            .collect();
        for node in 0..self.hosts.len() {
            let polled = self
                .query(node, |core| core.polled_endpoints())
                .unwrap_or_default();
            let incarnation = self.hosts[node].incarnation;
            for (endpoint, busy, leaving) in &loads {
                if !polled.iter().any(|(name, _)| name == endpoint) {
                    continue;
                }
                let endpoint = endpoint.clone();
                let event = Event::Report {
                    endpoint,
                    busy: *busy,
                    leaving: *leaving,
                };
                let at = self.now + lag;
                self.tell_at(at, node, incarnation, event);
            }
        }
    }
}
