//! Which endpoint has read which prompt. Parts of prompts come in a fixed
//! order, so a prompt is known by the chain of its parts' names; endpoints keep
//! what they read for a while, and sending the same prompt there again saves
//! reading it. What stands here are hints: a wrong one costs a read.

use std::collections::HashMap;
use std::collections::VecDeque;

use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::job::Part;

/// Bounds of the hints.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Prompts remembered.
    pub limit: usize,
    /// How long a hint is believed.
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

/// Endpoints kept for one prompt.
const ENDPOINTS_PER_PROMPT: usize = 4;

#[derive(Debug, Default)]
struct Hint {
    endpoints: Vec<(u32, Time)>,
    last_used: Time,
}

/// Hints, bounded in number; those unused for longest go first.
#[derive(Debug)]
pub struct PrefixCache {
    options: Options,
    hints: HashMap<u64, Hint>,
    order: VecDeque<(u64, Time)>,
}

/// The chain of a prompt's parts: each with the tokens up to its end.
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
    /// No hints.
    pub fn new(options: Options) -> PrefixCache {
        PrefixCache {
            options,
            hints: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Notes that an endpoint read a prompt.
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

    /// Drops all hints of an endpoint that is gone.
    pub fn remove_endpoint(&mut self, endpoint: u32) {
        for hint in self.hints.values_mut() {
            hint.endpoints.retain(|(known, _)| *known != endpoint);
        }
    }

    /// Tokens of a prompt that an endpoint is believed to hold.
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

    /// True where the whole prompt was read before, wherever that was.
    pub fn contains(&self, chain: &[(u64, u64)]) -> bool {
        chain
            .last()
            .is_some_and(|(key, _)| self.hints.contains_key(key))
    }

    /// Prompts remembered.
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// True when none is remembered.
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }
}
