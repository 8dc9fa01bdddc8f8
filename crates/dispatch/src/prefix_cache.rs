//! Tracks which endpoints have prompt prefixes in their cache. Parts of prompts have a fixed order,
//! so a prefix is identified by a hash chain over its parts. Endpoints keep what they read for a
//! while, and sending the same prompt there again saves reading it. The entries are hints: a wrong
//! entry costs one read.

use std::collections::VecDeque;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::job::Part;
use crate::map::HashMap;

/// Settings of the prefix cache.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The maximum number of prefixes.
    pub limit: usize,
    /// How long an entry is valid.
    pub ttl: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            limit: 20_000,
            ttl: Span::from_secs(60),
        }
    }
}

/// The number of endpoints kept for each prefix.
const ENDPOINTS_PER_PROMPT: usize = 4;

#[derive(Debug, Default)]
struct Hint {
    endpoints: Vec<(u32, Time)>,
    last_used: Time,
}

/// The known prefixes, bounded in number. The least recently used are evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    options: Options,
    hints: HashMap<u64, Hint>,
    order: VecDeque<(u64, Time)>,
}

/// Returns the hash chain of a prompt's parts, each with the number of tokens up to its end.
pub fn chain(parts: &[Part]) -> Vec<(u64, u64)> {
    let mut key = 0;
    let mut tokens = 0;
    let links = parts.iter().map(|part| {
        key = hash::chain(key, &part.id.to_le_bytes());
        tokens += part.tokens;
        (key, tokens)
    });
    links.collect()
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(options: Options) -> PrefixCache {
        PrefixCache {
            options,
            hints: HashMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Records that an endpoint read a prompt.
    pub fn record(&mut self, now: Time, chain: &[(u64, u64)], endpoint: u32) {
        for (key, _) in chain {
            let hint = self.hints.entry(*key).or_default();
            hint.last_used = now;
            hint.endpoints.retain(|(known, _)| *known != endpoint);
            hint.endpoints.insert(0, (endpoint, now));
            hint.endpoints.truncate(ENDPOINTS_PER_PROMPT);
            self.order.push_back((*key, now));
        }
        while self.hints.len() > self.options.limit || self.order.len() > self.options.limit * 4 {
            let Some((key, last_used)) = self.order.pop_front() else {
                return;
            };
            if self
                .hints
                .get(&key)
                .is_some_and(|hint| hint.last_used == last_used)
            {
                self.hints.remove(&key);
            }
        }
    }

    /// Removes all entries of an endpoint that is gone.
    pub fn remove_endpoint(&mut self, endpoint: u32) {
        for hint in self.hints.values_mut() {
            hint.endpoints.retain(|(known, _)| *known != endpoint);
        }
    }

    /// Returns how many tokens of a prompt an endpoint is believed to have cached.
    pub fn cached_tokens(&self, now: Time, chain: &[(u64, u64)], endpoint: u32) -> u64 {
        let ttl = self.options.ttl;
        let holds = |key: &u64| {
            let endpoints = self.hints.get(key).map(|hint| &hint.endpoints);
            endpoints.is_some_and(|endpoints| {
                let mut endpoints = endpoints.iter();
                endpoints.any(|(known, at)| *known == endpoint && now.since(*at) <= ttl)
            })
        };
        let held = chain.iter().take_while(|(key, _)| holds(key));
        held.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Whether the whole prompt was read before, by any endpoint.
    pub fn contains(&self, chain: &[(u64, u64)]) -> bool {
        chain
            .last()
            .is_some_and(|(key, _)| self.hints.contains_key(key))
    }

    /// The number of prefixes.
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }
}
