//! Scheduling of statuses: their recipients, their intervals and the members they advertise.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Members;

/// The interval at which a node that has just started probes nodes that it has never heard. It is
/// short because, of nodes that start together, the seeds may start a little later.
const STARTUP_PROBE_INTERVAL: Span = Span::from_millis(60);

/// How long after it first heard another node a node still probes the others so often.
const DISCOVERY_TIME: Span = Span::from_secs(1);

/// What statuses that are due have to convey, which determines how soon they are sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Trigger {
    /// Whether state changed that affects decisions of the other nodes of the cell.
    pub urgent: bool,
    /// Whether a customer's usage is high compared with its quota, so that it should be sent
    /// to all nodes soon.
    pub usage_high: bool,
    /// Whether this node got new documents.
    pub new_documents: bool,
}

impl Members {
    /// Returns the time between two statuses to one node beyond the cell, which grows with the
    /// fleet to keep the total rate constant.
    pub(super) fn remote_interval(&self, usage_high: bool) -> Span {
        let per_second = match usage_high {
            true => self.options.high_usage_statuses_per_second,
            false => self.options.remote_statuses_per_second,
        };
        let spread = Span(self.peers.len() as u64 * 1_000_000 / per_second.max(1));
        spread.max(self.options.min_status_interval)
    }

    /// Returns the live members to advertise in a status, a window of them that moves with
    /// `turn` if there are many.
    pub fn advertised_members(&self, now: Time, turn: u64) -> Vec<SocketAddrV4> {
        let mut known: Vec<SocketAddrV4> = self.live(now).map(|(address, _)| *address).collect();
        known.sort();
        if known.len() > self.options.members_to_newcomer {
            let start =
                (turn as usize).wrapping_mul(self.options.members_to_newcomer) % known.len();
            known.rotate_left(start);
            known.truncate(self.options.members_to_newcomer);
        }
        known
    }

    /// Whether a node may know few other nodes: it joined recently, or never sent a status.
    pub fn is_newcomer(&self, now: Time, address: SocketAddrV4) -> bool {
        let joined = self.peers.get(&address).and_then(|member| member.joined);
        joined.is_none_or(|joined| now.since(joined) < self.options.newcomer_for)
    }

    /// Returns the part of the advertised members that an established node is sent.
    pub fn advertised_to_established<'a>(
        &self,
        addresses: &'a [SocketAddrV4],
    ) -> &'a [SocketAddrV4] {
        &addresses[..addresses.len().min(self.options.members_to_established)]
    }

    /// Whether this node has just started and may not have heard all nodes of its cell yet.
    fn is_discovering(&self, now: Time) -> bool {
        self.first_heard
            .is_none_or(|heard| now.since(heard) < DISCOVERY_TIME)
    }

    /// Returns the nodes that are due a status now, and records that they are sent one.
    pub fn take_due(&mut self, now: Time, trigger: Trigger) -> Vec<SocketAddrV4> {
        let Trigger {
            urgent,
            usage_high,
            new_documents,
        } = trigger;
        for seed in self.seeds.clone() {
            self.discover(now, seed);
        }
        let (in_cell, beyond) = (self.cell_interval(urgent), self.remote_interval(usage_high));
        let silent: (Span, Span) = (self.silent_after(true), self.silent_after(false));
        let probe = self.options.probe_interval.max(self.remote_interval(false));
        let is_discovering = self.is_discovering(now);
        let mut due = Vec::new();
        for (address, member) in &mut self.peers {
            let silent_after = if member.in_cell { silent.0 } else { silent.1 };
            let live = member
                .last_heard
                .is_some_and(|last_heard| now.since(last_heard) <= silent_after);
            let interval = match (live, member.in_cell) {
                (true, true) => in_cell,
                (true, false) => beyond,
                (false, true) if is_discovering && member.last_heard.is_none() => {
                    STARTUP_PROBE_INTERVAL
                }
                (false, _) => probe,
            };
            if member.last_sent == Time(0) || now.since(member.last_sent) >= interval {
                member.last_sent = now;
                due.push(*address);
            }
        }
        if new_documents {
            due.extend(self.fan_out_targets(now, &due));
        }
        due.sort();
        due
    }

    /// Selects a few nodes beyond the cell, different ones each time, that are notified of new
    /// documents at once. Each of them that gets the documents does the same, so that a fleet
    /// of any size is reached within a few rounds, regardless of how few nodes read the
    /// platform and of their cells.
    fn fan_out_targets(&mut self, now: Time, due: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let beyond = self.live(now).filter(|(_, member)| !member.in_cell);
        let beyond = beyond.map(|(address, _)| *address);
        let mut chosen: Vec<SocketAddrV4> =
            beyond.filter(|address| !due.contains(address)).collect();
        let seed = hash::chain(now.0, &self.own_address.ip().octets());
        chosen.sort_by_key(|address| hash::chain(seed, &address.ip().octets()));
        chosen.truncate(self.options.fan_out);
        for address in &chosen {
            if let Some(member) = self.peers.get_mut(address) {
                member.last_sent = now;
            }
        }
        chosen
    }

    /// Returns the time between two statuses to one node of the cell. Urgent statuses are
    /// spaced so that their total rate does not depend on the size of the cell.
    pub fn cell_interval(&self, urgent: bool) -> Span {
        if !urgent {
            return self.options.max_status_interval;
        }
        let per_second = self.options.statuses_per_second.max(1);
        let in_cell = self.peers.values().filter(|member| member.in_cell).count();
        let spread = Span(in_cell as u64 * 1_000_000 / per_second);
        spread.max(self.options.min_status_interval)
    }
}
