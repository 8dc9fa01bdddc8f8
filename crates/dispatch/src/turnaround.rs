//! How long a slot of a plain service stands idle between two requests because its
//! owner is another node than the one that uses it: the end of a call goes to the
//! owner, the grant to the next node, and its request to the endpoint.
//!
//! By Little's law an endpoint works on as many requests as it is given, times the
//! part of that time for which it has them. To be kept busy it is given more than
//! its slots, by as much as the time from grant to return is longer than the call.
//! Calls that queue at the endpoint make both times longer and the difference
//! matter less, so the number falls back by itself.
//!
//! Answers the load of a plain service whose calls are short beside the way between
//! nodes. With three endpoints of six slots and calls of 15 ms, used by 79 nodes,
//! slots stood idle for 7 of 25 ms.

use woadstage_types::unit::Span;

/// Weight of one call in what is usual: some thirty calls, a tenth of a second of a
/// service under load.
const SAMPLE_WEIGHT: f64 = 0.03;

/// The most that an endpoint is given beyond its slots, as a part of them. What waits
/// there cannot be put in another order any more, and where the estimate is wrong
/// (calls that end on a node that is slow to report) this much waits.
const MAX_OVERCOMMIT_RATIO: f64 = 0.5;

/// The usual times of calls in slots of one service that other nodes use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Turnaround {
    /// From the grant of a slot until its owner hears that it is free, in
    /// microseconds; zero until a call was seen.
    held: f64,
    /// The part of it for which the node had the call under way, in microseconds.
    used: f64,
}

impl Turnaround {
    /// Learns from a call whose slot was `held` for so long and `used` for a part
    /// of that.
    pub fn learn(&mut self, held: Span, used: Span) {
        let (held, used) = (held.0 as f64, used.0 as f64);
        if self.held == 0.0 {
            self.held = held;
            self.used = used;
        }
        self.held += (held - self.held) * SAMPLE_WEIGHT;
        self.used += (used - self.used) * SAMPLE_WEIGHT;
    }

    /// Requests beyond its slots that an endpoint is given to keep it busy; none
    /// until calls were seen.
    pub fn overcommit(&self, slots: u32) -> u32 {
        if self.used <= 0.0 {
            return 0;
        }
        let idle = (self.held / self.used - 1.0).clamp(0.0, MAX_OVERCOMMIT_RATIO);
        (f64::from(slots) * idle).round() as u32
    }
}
