//! Requests that are not run any more, since the endpoints that ran them ended (queries
//! of death).
//!
//! An endpoint that ends takes with it all that it runs, and nobody tells which of those
//! requests crashed it. Each of them is charged with that end. Two things tell them
//! apart afterwards: a request that crashes endpoints does so each time, and one whose
//! whole answer came is sound, which clears it of all that it was charged with before. A
//! request that was charged often enough without that is barred.
//!
//! What nodes know of a request is joined (a join semilattice, as in state-based CRDTs):
//! however findings are lost, doubled or overtaken, nodes that hear each other come to
//! know the same. Nothing ends because time has passed, but for the memory of one that
//! was charged and not barred: after [`Options::forget_after`].
//!
//! * [`record`]: what is known of one request, and how it is joined.
//! * [`registry`]: all that is known, in bounded memory.

pub mod record;
pub mod registry;

pub use record::Finding;
pub use record::Record;
pub use registry::Registry;

use woadstage_types::unit::Span;

/// Bounds of what is barred and remembered.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Ends of endpoints from which on a request is barred. From two, 99.8 of 100 other
    /// requests are served beside eight that crash endpoints, from one 98.9 and from three
    /// 99.4 (seven nodes in virtual time; `docs/design/quarantine.md`).
    pub bar_threshold: usize,
    /// The same of a request that was sound before: many endpoints that end at once for
    /// another reason may all have run it.
    pub cleared_bar_threshold: usize,
    /// The same while this node hears less than half of the nodes that it knows: each
    /// part of a fleet that is cut in pieces goes through its own. With two there, each of
    /// seven nodes alone, 62 endpoints ended under those eight, and with one 39.
    pub partitioned_bar_threshold: usize,
    /// The time from the last end until a barred request is tried once more, in case it
    /// is free of blame.
    pub trial_delay: Span,
    /// Trials of a request that was never sound: one that crashes endpoints takes
    /// another with each.
    pub max_trials: u8,
    /// The time until the first trial of one that was sound before; it doubles with each.
    pub cleared_trial_delay: Span,
    /// How long the nodes whose turn it is have for beginning a trial, before twice as
    /// many may: the request need not come to the first ones.
    pub trial_turn_duration: Span,
    /// How long a request that is not barred is remembered after the last end.
    pub forget_after: Span,
    /// Requests that are remembered.
    pub max_records: usize,
    /// Requests whose whole answer came that are remembered.
    pub max_known_good: usize,
    /// How long a broken attempt waits to hear whether its endpoint has ended: longer
    /// than the platform takes to list it no more.
    pub unconfirmed_timeout: Span,
    /// Broken attempts that wait for that.
    pub max_unconfirmed: usize,
    /// How long a change is told in each status.
    pub announce_for: Span,
    /// Findings in one status.
    pub max_findings_per_status: usize,
    /// Findings in one message to a node that knows others.
    pub max_findings_per_message: usize,
    /// Shortest time between two such messages to one node, unless what either knows
    /// has changed.
    pub min_send_interval: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            bar_threshold: 2,
            cleared_bar_threshold: 3,
            partitioned_bar_threshold: 1,
            trial_delay: Span::from_secs(10),
            max_trials: 1,
            cleared_trial_delay: Span::from_secs(1),
            trial_turn_duration: Span::from_secs(2),
            forget_after: Span::from_secs(3_600),
            max_records: 2_048,
            max_known_good: 4_096,
            unconfirmed_timeout: Span::from_secs(10),
            max_unconfirmed: 1_024,
            announce_for: Span::from_millis(1_500),
            max_findings_per_status: 8,
            max_findings_per_message: 40,
            min_send_interval: Span::from_secs(1),
        }
    }
}
