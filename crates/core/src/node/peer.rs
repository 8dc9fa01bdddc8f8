//! Membership changes and messages from other nodes.

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Node;
use super::Stage;
use super::ask::Grant;
use crate::message::Heartbeat;
use crate::message::Message;
use crate::pool::Peer;
use crate::pool::Pool;

impl Node {
    pub(super) fn peer_up(&mut self, now: Time, peer: Peer) {
        self.members.set_connected(&peer);
        self.send_heartbeat(now, &peer.host);
        self.update_live_nodes(now);
        // The peer may have lost this node's requests with the old connection.
        self.reroute(now, Some(&peer.host));
    }

    pub(super) fn peer_down(&mut self, now: Time, host: &id::Host) {
        self.members.set_disconnected(host);
        self.drop_if_unreachable(now, host);
        self.update_live_nodes(now);
    }

    /// Builds this node's heartbeat.
    fn heartbeat(&self, now: Time) -> Heartbeat {
        let document = self.document.as_ref();
        Heartbeat {
            revision: document.map_or(0, |held| held.config.confirmation.revision),
            index: document.map_or(0, |held| held.index),
            digest: document.map_or(0, |held| held.short_digest()),
            hosts_index: self.list_index,
            hosts_confirmed: self.hosts_confirmed(now),
            leaving: self.stage != Stage::Serving,
            serves: self.ledger.incarnations(),
        }
    }

    fn send_heartbeat(&mut self, now: Time, host: &id::Host) {
        let heartbeat = self.heartbeat(now);
        self.send(host, Message::Heartbeat(heartbeat));
    }

    /// Sends a heartbeat to every connected node.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let peers = self
            .members
            .peers
            .iter()
            .filter(|(_, member)| member.connected);
        let mut names: Vec<id::Host> = peers.map(|(name, _)| name.clone()).collect();
        names.sort();
        for name in names {
            self.send_heartbeat(now, &name);
        }
    }

    /// Recomputes the live nodes, and moves asks and calls whose pool holder changed.
    pub(super) fn update_live_nodes(&mut self, now: Time) {
        let live = self.members.live(now, self.stage != Stage::Serving);
        if live == self.live {
            return;
        }
        let before = std::mem::replace(&mut self.live, live);
        // Until now, another node may have owned plain keys that this node owns now.
        self.ledger.raise_plain_floor(now);
        let gone = before.iter().filter(|host| !self.live.contains(host));
        let gone: Vec<id::Host> = gone.cloned().collect();
        for host in gone {
            self.drop_if_unreachable(now, &host);
        }
        let back = self.live.iter().filter(|host| !before.contains(host));
        let back: Vec<id::Host> = back.cloned().collect();
        for host in back {
            self.send(&host, Message::SayAgain);
        }
        self.reroute(now, None);
        let own = &self.options.host;
        let live = &self.live;
        self.pools.retain(|target, pool| {
            let holder = woadstage_types::hash::owner(target.as_str(), live.iter());
            holder == Some(own) || pool.waiting() + pool.running() > 0
        });
    }

    /// Drops a node's requests from the local pools, unless the node is still reachable.
    /// If it turns out to be live, `SayAgain` makes it repeat them.
    fn drop_if_unreachable(&mut self, now: Time, host: &id::Host) {
        if self.members.is_reachable(now, host) {
            return;
        }
        if let Some(peer) = self.members.peer_opt(host) {
            let pools = self.pools.values_mut();
            pools.for_each(|pool| pool.drop_peer(now, &peer));
        }
    }

    pub(super) fn message(&mut self, now: Time, from: Peer, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, heartbeat),
            Message::SayAgain => self.reroute(now, Some(&from.host)),
            Message::WantDocument => self.send_document(&from.host),
            Message::Document { text, index } => self.document(now, text, index),
            Message::WantHosts => self.send_hosts(&from.host),
            Message::Hosts { list, index } => self.receive_hosts(now, &from.host, list, index),
            Message::Grant {
                target,
                request,
                attempt,
                endpoint,
            } => {
                let grant = Grant {
                    target,
                    request,
                    attempt,
                    endpoint,
                };
                self.handle_grant(now, &from, grant);
            }
            Message::Refuse {
                request,
                attempt,
                code,
                retry_after,
            } => {
                let refusal = Node::to_refusal(code, retry_after);
                self.handle_refusal(now, &from, request, attempt, refusal);
            }
            Message::Estate(estate) => {
                self.ledger.take_over(estate);
                self.send(&from.host, Message::EstateTaken);
                self.send_heartbeats(now);
            }
            Message::EstateTaken => self.handover.confirm(),
            pool => self.pool_message(now, from, pool),
        }
    }

    /// Handles a message addressed to a pool holder.
    pub(super) fn pool_message(&mut self, now: Time, from: Peer, message: Message) {
        match message {
            Message::Ask { target, ask } => {
                let (request, attempt) = (ask.request, ask.attempt);
                match self.pool(&target) {
                    Some(pool) => pool.ask(now, from, ask),
                    None => self.refuse_undeclared(&from, request, attempt),
                }
            }
            Message::Adopt {
                target,
                ask,
                endpoint,
            } => {
                if let Some(pool) = self.pool(&target) {
                    pool.adopt(now, from, ask, &endpoint);
                }
            }
            Message::Done {
                target,
                request,
                attempt,
                end,
            } => {
                self.with_pool(&target, |pool| pool.end(now, request, attempt, end));
            }
            Message::First { target, request } => {
                self.with_pool(&target, |pool| pool.first(now, request));
            }
            Message::Progress { target, endpoints } => self.with_pool(&target, |pool| {
                for (endpoint, tokens, busy) in &endpoints {
                    pool.progress(now, endpoint, *tokens, *busy);
                }
            }),
            _ => {}
        }
    }

    fn with_pool(&mut self, target: &id::Target, act: impl FnOnce(&mut Pool)) {
        if let Some(pool) = self.pools.get_mut(target) {
            act(pool);
        }
    }

    /// Refuses an ask for a target that is declared at the sender but not here yet.
    fn refuse_undeclared(&mut self, to: &Peer, request: id::Request, attempt: u32) {
        let code = woadstage_types::code::Code::NoEndpoint;
        let retry_after = woadstage_types::unit::Span::from_secs(1);
        self.send(
            &to.host,
            Message::Refuse {
                request,
                attempt,
                code,
                retry_after,
            },
        );
    }

    fn receive_heartbeat(&mut self, now: Time, from: Peer, heartbeat: Heartbeat) {
        let own = self
            .document
            .as_ref()
            .map_or(0, |held| held.config.confirmation.revision);
        self.configuration_checked |= heartbeat.revision > 0 && heartbeat.revision <= own;
        let known = self
            .members
            .peers
            .get(&from.host)
            .map(|member| member.incarnation);
        if let Some(incarnation) = known.filter(|known| *known != from.incarnation) {
            let before = Peer {
                host: from.host.clone(),
                incarnation,
            };
            self.pools
                .values_mut()
                .for_each(|pool| pool.drop_peer(now, &before));
        }
        self.compare_documents(&from.host, &heartbeat);
        self.compare_hosts(now, &from.host, &heartbeat);
        self.members.record_heartbeat(now, &from, heartbeat);
        self.update_live_nodes(now);
    }
}
