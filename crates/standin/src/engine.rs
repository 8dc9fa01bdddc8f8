//! An engine's cost model. It batches continuously in steps; a step's time is
//! a base, a part for each sequence that decodes, and a part for each prompt
//! token computed in it. Prompts are computed in chunks, the more protected
//! first. Prefixes of computed prompts stay in a limited cache.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use woadstage_core::pool::prefix_cache::BLOCK_TOKENS;
use woadstage_types::unit::Span;

/// What an engine is like.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// A step's time with nothing to do, in microseconds.
    pub step_us: f64,
    /// More for each sequence that decodes.
    pub sequence_us: f64,
    /// More for each prompt token.
    pub prompt_us: f64,
    /// Prompt tokens computed in one step at the most.
    pub chunk: u64,
    /// Sequences that run at once.
    pub slots: usize,
    /// Prompt tokens whose state is kept.
    pub cache: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            step_us: 6_000.0,
            sequence_us: 250.0,
            prompt_us: 40.0,
            chunk: 256,
            slots: 16,
            cache: 60_000,
        }
    }
}

/// A request as an engine sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its number, chosen by whoever submits it.
    pub id: u64,
    /// Less is more urgent.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
    /// The prompt's chained block hashes.
    pub blocks: Vec<u64>,
}

#[derive(Debug)]
struct Sequence {
    job: Job,
    cached: u64,
    computed: u64,
    decoded: u64,
}

/// What a step brought about.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A token of a job; the first one ends its prefill.
    Token {
        /// Whose.
        id: u64,
    },
    /// A job's last token.
    Done {
        /// Whose.
        id: u64,
        /// Prompt tokens taken from the cache.
        cached: u64,
        /// Prompt tokens computed.
        computed: u64,
    },
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    /// How many times slower than it should be.
    pub slow: f64,
    running: Vec<Sequence>,
    waiting: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    cached: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    uses: u64,
    /// Prompt tokens computed since the start.
    pub computed: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(options: Options) -> Engine {
        Engine {
            options,
            slow: 1.0,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            cached: HashMap::new(),
            order: VecDeque::new(),
            uses: 0,
            computed: 0,
        }
    }

    /// Takes a job in.
    pub fn submit(&mut self, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
    }

    /// Drops a job. Gives the prompt tokens that were computed for it.
    pub fn cancel(&mut self, id: u64) -> u64 {
        self.waiting.retain(|_, job| job.id != id);
        let Some(at) = self
            .running
            .iter()
            .position(|sequence| sequence.job.id == id)
        else {
            return 0;
        };
        self.running.remove(at).computed
    }

    /// Jobs that run and that wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// True when there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Runs one step: its time, and what it brought about at its end.
    pub fn step(&mut self) -> (Span, Vec<Outcome>) {
        self.admit();
        let mut micros = self.options.step_us;
        let mut room = self.options.chunk;
        let mut outcomes = Vec::new();
        let mut computed = Vec::new();
        self.running.sort_by_key(|sequence| sequence.job.priority);
        for sequence in &mut self.running {
            let left = sequence.job.prompt - sequence.cached - sequence.computed;
            if left > 0 {
                let part = left.min(room);
                room -= part;
                sequence.computed += part;
                self.computed += part;
                micros += part as f64 * self.options.prompt_us;
                if part < left {
                    continue;
                }
                computed.push(sequence.job.blocks.clone());
            } else {
                micros += self.options.sequence_us;
            }
            sequence.decoded += 1;
            let id = sequence.job.id;
            outcomes.push(Outcome::Token { id });
            if sequence.decoded >= sequence.job.output {
                let Sequence {
                    cached, computed, ..
                } = *sequence;
                outcomes.push(Outcome::Done {
                    id,
                    cached,
                    computed,
                });
            }
        }
        self.running
            .retain(|sequence| sequence.decoded < sequence.job.output);
        for blocks in computed {
            self.keep(&blocks);
        }
        (Span((micros * self.slow) as u64), outcomes)
    }

    fn admit(&mut self) {
        while self.running.len() < self.options.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            let cached = self.look_up(&job.blocks).min(job.prompt - 1);
            self.running.push(Sequence {
                job,
                cached,
                computed: 0,
                decoded: 0,
            });
        }
    }

    fn look_up(&mut self, blocks: &[u64]) -> u64 {
        let held = blocks
            .iter()
            .take_while(|block| self.cached.contains_key(*block))
            .count();
        for block in &blocks[..held] {
            self.touch(*block);
        }
        held as u64 * BLOCK_TOKENS
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        self.cached.insert(block, self.uses);
        self.order.push_back((block, self.uses));
    }

    /// Keeps blocks, and drops those unused for longest beyond the limit.
    fn keep(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.touch(*block);
        }
        let limit = (self.options.cache / BLOCK_TOKENS) as usize;
        while self.cached.len() > limit {
            let Some((block, used)) = self.order.pop_front() else {
                return;
            };
            if self.cached.get(&block) == Some(&used) {
                self.cached.remove(&block);
            }
        }
    }
}
