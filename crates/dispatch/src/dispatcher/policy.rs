//! Limits and weights of the scheduling policy.

use woadstage_types::unit::Span;

use crate::activation::Activation;

/// Limits and weights of the scheduling policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// The maximum number of requests that wait on this node.
    pub queue_limit: usize,
    /// The number of requests beyond its slots that an engine may be sent, for requests above the
    /// least protected rank.
    pub ahead: u32,
    /// The cost of reading one prompt token again, in microseconds, in addition to the time it
    /// takes.
    pub reread: f64,
    /// The weight of the time spent generating the answer.
    pub decode: f64,
    /// The cost of an endpoint, in microseconds, when all recent calls to it failed. Charged in
    /// part for endpoints that other nodes avoid.
    pub failing: f64,
    /// The cost of sending a request to another data centre, in microseconds.
    pub crossing: f64,
    /// The number of waiting requests considered for free endpoints.
    pub look_ahead: usize,
    /// The maximum age of another node's report of its waiting requests.
    pub waiting_fresh: Span,
    /// A request not yet offered to an endpoint is refused when its expected wait exceeds this
    /// multiple of its objective.
    pub refuse_beyond: f64,
    /// The part of the longest allowed pause that reading a prompt may cause in streams running
    /// beside it. 0 disables the check.
    pub pause_part: f64,
    /// Whether a request that still has time waits for an engine that meets its objective instead
    /// of taking a free one that does not.
    pub wait_for_objective: bool,
    /// Waiting requests per usable endpoint above which customers are held to the plain limit of
    /// their quota.
    pub pressed_from: f64,
    /// Whether requests that can no longer meet their objective are queued behind those of their
    /// rank that can.
    pub late_last: bool,
    /// The part of the remaining time within which callers follow a retry hint. Slightly below the
    /// value given by the callers' side.
    pub come_back_within: f64,
    /// The window for measuring the rate at which a rank is served.
    pub rate_window: Span,
    /// How long a request waits for an endpoint of its own cell before spare slots of other cells
    /// are requested.
    pub own_cell_for: Span,
    /// The maximum number of connection attempts for one request.
    pub connects: u32,
    /// The minimum time before the deadline for a request to be sent.
    pub least_left: Span,
    /// Where the wait of a request is predicted from its own position in the queue, and a request
    /// that will be late is held if it is answered before its deadline.
    pub position_forecast: Activation,
    /// Where plain services are given requests beyond their slots by the load that they state.
    pub slot_depth: Activation,
    /// Where the customers of a rank share the slots of a service fairly.
    pub fair_shares: Activation,
    /// Where a refusal books a place in the queue for the caller's return.
    pub bookings: Activation,
    /// Where an owner of slots redirects requests to another owner before it refuses them.
    pub redirects: Activation,
    /// Where endpoints are chosen by how long work takes there at present.
    pub present_speed: Activation,
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
            position_forecast: Activation::Never,
            slot_depth: Activation::Never,
            fair_shares: Activation::Never,
            bookings: Activation::Never,
            redirects: Activation::Never,
            present_speed: Activation::Never,
        }
    }
}
