//! Limits how many small pieces of request bodies a node reads. A chunk of one byte costs it as much as
//! one of a thousand, so that bodies in tiny chunks would keep others waiting.

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::connections::pace::Pace;

/// The longest piece that counts as small, in bytes.
const MAX_SMALL_BYTES: usize = 64;

/// The small pieces that all bodies together may have at once.
const BURST: u64 = 256 << 10;

/// The least number of pieces for which a body waits at once.
const PIECES_PER_WAIT: u64 = 64;

/// The small pieces of each body that are not limited.
const FREE_PIECES: u32 = 64;

/// The limit that all bodies of a node share.
#[derive(Debug)]
pub struct PieceRate(Pace);

impl PieceRate {
    /// Creates a limit on the small pieces in a second.
    pub fn new(per_s: u64) -> PieceRate {
        PieceRate(Pace::new(per_s, BURST))
    }

    /// Returns how often a body had to wait.
    pub fn delayed(&self) -> u64 {
        self.0.delayed()
    }

    /// Counts a piece of a body. Returns how long the body has to wait before its next one.
    pub fn record(&self, now: Time, body: &mut SmallPieces, length: usize) -> Option<Span> {
        if length > MAX_SMALL_BYTES {
            return None;
        }
        body.0 = body.0.saturating_add(1);
        if body.0 <= FREE_PIECES {
            return None;
        }
        self.0.record(now, PIECES_PER_WAIT)
    }
}

/// The number of small pieces of one body that have arrived.
#[derive(Debug, Clone, Copy, Default)]
pub struct SmallPieces(u32);
