//! How long streams are, beside what their callers estimate.

/// Streams seen before their lengths are believed.
const MIN_STREAMS: u32 = 20;

/// What counts of what was seen before, when one more stream is.
const RETAINED_WEIGHT: f64 = 0.99;

/// What was seen of streams, newer ones counting more.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lengths {
    /// Streams that were whole.
    streams: u32,
    /// Tokens that callers estimated.
    estimated: f64,
    /// Events that there were.
    events: f64,
}

impl Lengths {
    /// Counts a stream that was whole.
    pub fn learn(&mut self, estimated: u64, events: u32) {
        self.streams = self.streams.saturating_add(1);
        self.estimated = self.estimated * RETAINED_WEIGHT + estimated as f64;
        self.events = self.events * RETAINED_WEIGHT + f64::from(events);
    }

    /// Events for each token that a caller estimates; nothing until enough streams
    /// were seen.
    pub fn events_per_token_opt(&self) -> Option<f64> {
        let known = self.streams >= MIN_STREAMS && self.estimated > 0.0;
        known.then(|| self.events / self.estimated)
    }
}
