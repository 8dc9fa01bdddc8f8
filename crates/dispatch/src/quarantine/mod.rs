//! Requests that are no longer run because endpoints crashed while running them (queries
//! of death).
//!
//! A crashing endpoint aborts everything that it runs, and nothing shows which of those
//! requests caused the crash, nor which of their features: all that a request asks for, or a
//! part of its prompt that others share. Each feature of what may have caused it is charged.
//! Two facts tell them apart afterwards: a feature that crashes endpoints does so every time,
//! while a complete answer shows that the request's features are harmless and clears them of all
//! charges. A feature that explains enough crashes without being cleared is barred, and with it
//! each request that has it.
//!
//! The nodes' knowledge of a feature is joined (a join semilattice, as in state-based
//! CRDTs): even if findings are lost, duplicated or reordered, nodes that can communicate
//! converge. Nothing expires with time except the record of a feature with fewer crashes
//! than [`Options::bar_threshold`], after [`Options::forget_after`].
//!
//! * [`feature`]: what requests have in common.
//! * [`record`]: the knowledge of one feature, and how it is joined.
//! * [`attribution`]: which features explain the crashes.
//! * [`registry`]: all records, in bounded memory.

pub mod attribution;
pub mod feature;
pub mod record;
pub mod registry;

pub use attribution::Attribution;
pub use feature::Feature;
pub use feature::Features;
pub use record::Finding;
pub use record::Record;
pub use registry::Attempt;
pub use registry::AttemptEnd;
pub use registry::Registry;

use woadstage_types::unit::Span;

/// Thresholds and bounds of the quarantine.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The number of endpoint crashes that bars a whole request. One also bars harmless
    /// requests that ran beside a crash; three lets each crashing request crash
    /// another endpoint and abort what runs there.
    pub bar_threshold: usize,
    /// The number of endpoint crashes that bars a part of prompts.
    pub part_bar_threshold: usize,
    /// The threshold for a feature that was cleared before: many endpoints that crash at once
    /// for another reason may all have run it.
    pub cleared_bar_threshold: usize,
    /// How long a part that was cleared before is not barred although it has enough charges.
    /// Meanwhile a complete answer from another endpoint may clear it again.
    pub settle_time: Span,
    /// The threshold for a whole request while this node receives statuses from less than half
    /// of the nodes that it knows. Each partition of a fleet loses endpoints of its own, so a higher
    /// threshold costs it many more of them.
    pub partitioned_bar_threshold: usize,
    /// The time from the last crash until a barred request gets a trial, in case it is
    /// harmless.
    pub trial_delay: Span,
    /// The number of trials of a request that was never cleared. One that crashes
    /// endpoints costs another endpoint with each trial.
    pub max_trials: u8,
    /// The time until the first trial of a request that was cleared before. Doubles with
    /// each trial.
    pub cleared_trial_delay: Span,
    /// How long the nodes whose turn it is may start a trial before twice as many may.
    /// The request may never reach the first ones.
    pub trial_turn_duration: Span,
    /// How long a request with fewer crashes than [`Options::bar_threshold`] is
    /// remembered after the last one.
    pub forget_after: Span,
    /// The maximum number of records.
    pub max_records: usize,
    /// The maximum number of features of completely answered requests that are remembered.
    pub max_known_good: usize,
    /// How long after a complete answer a part is not charged: it was harmless a moment ago.
    pub known_good_time: Span,
    /// How long after an answer ended with its connection its endpoint must be alive to show that
    /// it was complete.
    pub closed_time: Span,
    /// How long a broken attempt waits for the news that its endpoint crashed: longer
    /// than the platform takes to stop listing the endpoint.
    pub unconfirmed_timeout: Span,
    /// The maximum number of broken attempts that wait for such news.
    pub max_unconfirmed: usize,
    /// How long a change is included in each status.
    pub announce_for: Span,
    /// The maximum number of findings in one status.
    pub max_findings_per_status: usize,
    /// The maximum number of insignificant findings among them.
    pub max_insignificant_per_status: usize,
    /// The maximum number of findings in one message to a node with a different digest.
    pub max_findings_per_message: usize,
    /// The minimum time between two such messages to one node, unless the digest of
    /// either has changed.
    pub min_send_interval: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            bar_threshold: 2,
            part_bar_threshold: 2,
            cleared_bar_threshold: 3,
            settle_time: Span::from_secs(1),
            partitioned_bar_threshold: 1,
            trial_delay: Span::from_secs(10),
            max_trials: 1,
            cleared_trial_delay: Span::from_secs(1),
            trial_turn_duration: Span::from_secs(2),
            forget_after: Span::from_secs(3_600),
            max_records: 2_048,
            max_known_good: 4_096,
            known_good_time: Span::from_secs(2),
            closed_time: Span::from_millis(500),
            unconfirmed_timeout: Span::from_secs(10),
            max_unconfirmed: 1_024,
            announce_for: Span::from_millis(1_500),
            max_findings_per_status: 8,
            max_insignificant_per_status: 2,
            max_findings_per_message: 40,
            min_send_interval: Span::from_secs(1),
        }
    }
}
