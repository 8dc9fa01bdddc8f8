//! Declines new connections while this node is late with its own work.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;

/// Connections are declined only while at most one in this many of the other nodes is late, too. Their
/// callers connect to another node once more, which has to accept them.
const MAX_LATE_DIVISOR: usize = 4;

/// How late this node is, and what follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lateness {
    /// By how much its timers fire late, as long as work is always ready.
    pub delay: Span,
    /// Whether the number of new connections is limited.
    pub is_limited: bool,
    /// The connections declined since the start.
    pub declined: u64,
}

impl Dispatcher {
    /// Records by how much a timer of this node fired late, and adjusts the limit on new connections.
    /// Returns the present state if the limit has come into force or was lifted.
    pub fn record_delay(&mut self, now: Time, delay: Span) -> Option<Lateness> {
        self.lateness.record(now, delay);
        let may_decline = self.may_decline(now);
        let was_limited = self.connection_limit.is_in_force();
        self.connection_limit
            .adjust(now, self.lateness.delay(), may_decline);
        let lateness = self.lateness();
        (lateness.is_limited != was_limited).then_some(lateness)
    }

    /// Whether a new connection is accepted.
    pub fn try_accept_connection(&mut self, now: Time) -> bool {
        self.connection_limit.try_accept(now)
    }

    /// Returns how late this node is.
    pub fn lateness(&self) -> Lateness {
        Lateness {
            delay: self.lateness.delay(),
            is_limited: self.connection_limit.is_in_force(),
            declined: self.connection_limit.declined(),
        }
    }

    /// Whether this node states that it is late.
    pub(super) fn states_lateness(&self) -> bool {
        self.lateness.is_late() || self.connection_limit.is_in_force()
    }

    /// Whether most other nodes are on time, so that callers can be left to them.
    fn may_decline(&self, now: Time) -> bool {
        let others = self.members.live(now);
        let others = others.filter(|(_, member)| !member.status.leaving);
        let (late, on_time): (Vec<_>, Vec<_>) =
            others.partition(|(_, member)| member.status.is_late);
        !on_time.is_empty() && late.len() * MAX_LATE_DIVISOR <= late.len() + on_time.len()
    }
}
