//! Learns how the lengths of streams relate to their callers' estimates.

/// The number of streams required before the ratio is used.
const MIN_STREAMS: u32 = 20;

/// The weight that earlier streams keep when another one ends.
const RETAINED_WEIGHT: f64 = 0.99;

/// Decaying sums over the streams observed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lengths {
    /// Complete streams.
    streams: u32,
    /// Tokens estimated by callers.
    estimated: f64,
    /// Events received.
    events: f64,
}

impl Lengths {
    /// Records a complete stream.
    pub fn learn(&mut self, estimated: u64, events: u32) {
        self.streams = self.streams.saturating_add(1);
        self.estimated = self.estimated * RETAINED_WEIGHT + estimated as f64;
        self.events = self.events * RETAINED_WEIGHT + f64::from(events);
    }

    /// The number of events for each estimated token. `None` until enough streams were observed.
    pub fn events_per_token_opt(&self) -> Option<f64> {
        let is_reliable = self.streams >= MIN_STREAMS && self.estimated > 0.0;
        is_reliable.then(|| self.events / self.estimated)
    }
}
