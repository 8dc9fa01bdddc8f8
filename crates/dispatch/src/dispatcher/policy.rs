//! Bounds and weights of the policy.

use woadstage_types::unit::Span;

/// Bounds and weights of the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Requests that may wait on this node.
    pub queue_limit: usize,
    /// Requests beyond its slots that an engine may be sent when they are not
    /// of the least protected rank.
    pub ahead: u32,
    /// What reading one prompt token again is taken to cost, in microseconds,
    /// beyond the time that it takes.
    pub reread: f64,
    /// Weight of the time that the answer's tokens take.
    pub decode: f64,
    /// What sending work to an endpoint is taken to cost, in microseconds,
    /// when all calls to it fail lately, or others keep away from it.
    pub failing: f64,
    /// What crossing between data centres is taken to cost, in microseconds.
    pub crossing: f64,
    /// Waiting requests that are looked at for free endpoints.
    pub look_ahead: usize,
    /// How old what another node says of waiting requests may be to count.
    pub waiting_fresh: Span,
    /// A newcomer is refused when the wait would be more than this multiple
    /// of its objective.
    pub refuse_beyond: f64,
    /// The part of the longest pause in time that reading a prompt may put
    /// between the events of streams beside it; 0 where it is not looked at.
    pub pause_part: f64,
    /// Whether a request that still has time waits for an engine that answers
    /// within its objective, rather than taking a free one that does not.
    pub wait_for_objective: bool,
    /// Requests that wait for each usable endpoint from which on nobody gets
    /// more than the plain limit of its quota.
    pub pressed_from: f64,
    /// Whether a request that can no longer be in time goes behind those of
    /// its rank that can.
    pub late_last: bool,
    /// The part of the time left up to which callers heed when they are told to
    /// come back; a little under what their side says it is.
    pub come_back_within: f64,
    /// The window in which it is seen how fast a rank is served.
    pub rate_window: Span,
    /// How long a request waits for an endpoint of its own cell before other
    /// cells are asked for a slot to spare.
    pub own_cell_for: Span,
    /// Attempts at connecting for one request.
    pub connects: u32,
    /// Time left under which nothing is sent any more.
    pub least_left: Span,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            queue_limit: 4_096,
            ahead: 2,
            reread: 20.0,
            decode: 0.4,
            failing: 500_000.0,
            crossing: 1_500.0,
            look_ahead: 32,
            waiting_fresh: Span::from_millis(250),
            refuse_beyond: 1.0,
            pause_part: 0.9,
            wait_for_objective: true,
            pressed_from: 1.0,
            late_last: true,
            come_back_within: 0.32,
            rate_window: Span::from_millis(1_500),
            own_cell_for: Span::from_millis(60),
            connects: 4,
            least_left: Span::from_millis(20),
        }
    }
}
