//! Hints on which endpoints may have a prompt's prefix cached.
//!
//! A prompt is cut into blocks. Each block's hash is chained to the blocks
//! before it and to model, version, adapter and customer, so that equal hashes
//! mean an equal prefix under an equal identity. The entries are only hints: a
//! hit counts only when the endpoint's own usage report confirms it (see "Chapter
//! 25, warm reuse", section 25.2), and a hint that the usage report contradicts
//! is dropped.

use std::collections::HashMap;
use std::collections::VecDeque;

/// The number of prompt bytes in one block.
pub const BLOCK_BYTES: usize = 1_024;

/// The estimated number of prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = 256;

/// The maximum number of hashed blocks; longer prompts are identified by their
/// first ones.
pub const MAX_BLOCKS: usize = 64;

/// The maximum number of endpoints remembered for one block.
const MAX_WORKERS_PER_BLOCK: usize = 4;

/// The endpoints that computed a block, the latest first, and when the hint was
/// last used.
#[derive(Debug, Default)]
struct Hint {
    workers: Vec<u32>,
    used: u64,
}

/// A bounded set of hints; the least recently updated ones are dropped first.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    hints: HashMap<u64, Hint>,
    order: VecDeque<(u64, u64)>,
    uses: u64,
}

/// Returns the blocks at depths that are powers of two, with their depths.
/// Storing only these keeps long prompts that are never repeated from evicting
/// all others.
fn sampled_blocks(blocks: &[u64]) -> impl DoubleEndedIterator<Item = (u64, u64)> + '_ {
    let powers = blocks.len().checked_ilog2().map_or(0, |most| most + 1);
    (0..powers).map(|power| {
        let depth = 1usize << power;
        (blocks[depth - 1], depth as u64)
    })
}

impl PrefixCache {
    /// Creates an empty set for up to `limit` hints.
    pub fn new(limit: usize) -> PrefixCache {
        PrefixCache {
            limit,
            hints: HashMap::new(),
            order: VecDeque::new(),
            uses: 0,
        }
    }

    /// Records that an endpoint computed a prompt.
    pub fn record(&mut self, blocks: &[u64], worker: usize) {
        for (block, _) in sampled_blocks(blocks) {
            self.add_block(block, worker as u32);
        }
        while self.hints.len() > self.limit || self.order.len() > self.limit * 4 {
            let Some((block, used)) = self.order.pop_front() else {
                return;
            };
            if self.hints.get(&block).is_some_and(|hint| hint.used == used) {
                self.hints.remove(&block);
            }
        }
    }

    fn add_block(&mut self, block: u64, worker: u32) {
        self.uses += 1;
        self.order.push_back((block, self.uses));
        let hint = self.hints.entry(block).or_default();
        hint.used = self.uses;
        hint.workers.retain(|known| *known != worker);
        hint.workers.insert(0, worker);
        hint.workers.truncate(MAX_WORKERS_PER_BLOCK);
    }

    /// Drops an endpoint's hints for the blocks beyond the `cached` tokens that
    /// its usage report confirmed.
    pub fn drop_unconfirmed(&mut self, blocks: &[u64], worker: usize, cached: u64) {
        for (block, depth) in sampled_blocks(blocks) {
            if depth * BLOCK_TOKENS <= cached {
                continue;
            }
            if let Some(hint) = self.hints.get_mut(&block) {
                hint.workers.retain(|known| *known != worker as u32);
            }
        }
    }

    /// Drops all hints for an endpoint.
    pub fn remove_endpoint(&mut self, worker: usize) {
        for hint in self.hints.values_mut() {
            hint.workers.retain(|known| *known != worker as u32);
        }
    }

    /// Returns endpoints that may have part of the prompt cached, with the
    /// number of tokens, the longest prefix first.
    pub fn candidates(&self, blocks: &[u64]) -> Vec<(usize, u64)> {
        let mut found: Vec<(usize, u64)> = Vec::new();
        for (block, depth) in sampled_blocks(blocks).rev() {
            for worker in self
                .hints
                .get(&block)
                .into_iter()
                .flat_map(|hint| &hint.workers)
            {
                let worker = *worker as usize;
                if found.iter().all(|(known, _)| *known != worker) {
                    found.push((worker, depth * BLOCK_TOKENS));
                }
            }
            if found.len() >= MAX_WORKERS_PER_BLOCK {
                break;
            }
        }
        found
    }
}

/// Hashes a prompt's blocks under an identity.
pub fn blocks(identity: u64, prompt: &[u8]) -> Vec<u64> {
    let mut chain = identity;
    let whole = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    whole
        .map(|block| {
            chain = woadstage_types::hash::chain(chain, block);
            chain
        })
        .collect()
}
