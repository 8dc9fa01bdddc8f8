//! What is to happen, in the order of its time.

use woadstage_types::unit::Time;

use super::item::Item;

/// Something that happens at a time; of one time, in the order it was planned.
pub(super) struct Queued {
    pub(super) at: Time,
    pub(super) seq: u64,
    pub(super) item: Item,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}
