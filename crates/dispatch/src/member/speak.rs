//! To whom a node speaks, how often, and of which others.

use std::net::SocketAddrV4;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Members;

/// How often seeds are asked for a sign of life before any node was heard: of nodes that
/// start together the seeds may start a little later.
const PROBE_UNHEARD_EVERY: Span = Span::from_millis(60);

/// What there is to tell others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occasion {
    /// Something changed that the others of the cell act on.
    pub urgent: bool,
    /// A customer presses on its quota, so that all should hear soon.
    pub pressed: bool,
    /// This node has documents that are new to it.
    pub news: bool,
}

impl Members {
    /// Time between two statuses to a node beyond this cell.
    pub(super) fn beyond_every(&self, pressed: bool) -> Span {
        let per_second = match pressed {
            true => self.options.pressed_per_second,
            false => self.options.beyond_per_second,
        };
        let spread = Span(self.others.len() as u64 * 1_000_000 / per_second.max(1));
        spread.max(self.options.status_every)
    }

    /// Addresses to tell others of.
    pub fn told(&self, now: Time, turn: u64) -> Vec<SocketAddrV4> {
        let mut known: Vec<SocketAddrV4> = self.fresh(now).map(|(address, _)| *address).collect();
        known.sort();
        if known.len() > self.options.told {
            let start = (turn as usize).wrapping_mul(self.options.told) % known.len();
            known.rotate_left(start);
            known.truncate(self.options.told);
        }
        known
    }

    /// True for a node that may know few others: it was not heard yet, or not for long.
    pub fn is_newcomer(&self, now: Time, address: SocketAddrV4) -> bool {
        let joined = self.others.get(&address).and_then(|member| member.joined);
        joined.is_none_or(|at| now.since(at) < self.options.meets_for)
    }

    /// Of the addresses to tell others of, those that a node is told which knows them.
    pub fn told_to_known<'a>(&self, told: &'a [SocketAddrV4]) -> &'a [SocketAddrV4] {
        &told[..told.len().min(self.options.told_to_known)]
    }

    /// The nodes to send a status now.
    pub fn due(&mut self, now: Time, occasion: Occasion) -> Vec<SocketAddrV4> {
        let Occasion {
            urgent,
            pressed,
            news,
        } = occasion;
        for seed in self.seeds.clone() {
            self.meet(now, seed);
        }
        let (near, beyond) = (self.interval(urgent), self.beyond_every(pressed));
        let silent: (Span, Span) = (self.silent_after(true), self.silent_after(false));
        let probe = match self.first_heard {
            Some(_) => self.options.probe_every.max(self.beyond_every(false)),
            None => PROBE_UNHEARD_EVERY,
        };
        let mut due = Vec::new();
        for (address, member) in &mut self.others {
            let silent_after = if member.near { silent.0 } else { silent.1 };
            let fresh = member
                .heard
                .is_some_and(|heard| now.since(heard) <= silent_after);
            let wait = match (fresh, member.near) {
                (true, true) => near,
                (true, false) => beyond,
                (false, _) => probe,
            };
            if member.sent == Time(0) || now.since(member.sent) >= wait {
                member.sent = now;
                due.push(*address);
            }
        }
        if news {
            due.extend(self.fan_out(now, &due));
        }
        due.sort();
        due
    }

    /// Some nodes beyond the cell, others each time, that are to hear of new
    /// documents at once. Each node that they are new to does the same, so that
    /// a fleet of any size has heard after a few rounds, however few read the
    /// platform and whichever cells they are in.
    fn fan_out(&mut self, now: Time, due: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let beyond = self.fresh(now).filter(|(_, member)| !member.near);
        let beyond = beyond.map(|(address, _)| *address);
        let mut chosen: Vec<SocketAddrV4> = beyond.filter(|one| !due.contains(one)).collect();
        let seed = hash::chain(now.0, &self.own.ip().octets());
        chosen.sort_by_key(|address| hash::chain(seed, &address.ip().octets()));
        chosen.truncate(self.options.fan_out);
        for address in &chosen {
            if let Some(member) = self.others.get_mut(address) {
                member.sent = now;
            }
        }
        chosen
    }

    /// The time between two statuses to one node of this cell: so long that all
    /// of them together cost the same in a cell of any size.
    pub fn interval(&self, urgent: bool) -> Span {
        if !urgent {
            return self.options.status_at_least_every;
        }
        let per_second = self.options.statuses_per_second.max(1);
        let near = self.others.values().filter(|member| member.near).count();
        let spread = Span(near as u64 * 1_000_000 / per_second);
        spread.max(self.options.status_every)
    }
}
