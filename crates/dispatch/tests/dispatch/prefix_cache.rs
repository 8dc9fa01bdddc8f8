//! The record of which endpoint has read which prompt.

use woadstage_dispatch::job::Part;
use woadstage_dispatch::prefix_cache;
use woadstage_dispatch::prefix_cache::Options;
use woadstage_dispatch::prefix_cache::PrefixCache;
use woadstage_types::unit::Span;

use crate::support::at;

fn prompt(ids: &[u64]) -> Vec<(u64, u64)> {
    let parts: Vec<Part> = ids
        .iter()
        .map(|id| Part {
            id: *id,
            tokens: 100,
        })
        .collect();
    prefix_cache::chain(&parts)
}

#[test]
fn the_longest_common_prefix_is_cached() {
    let mut cache = PrefixCache::new(Options::default());
    cache.record(at(0), &prompt(&[1, 2, 3]), 7);
    assert_eq!(cache.cached_tokens(at(1), &prompt(&[1, 2, 3]), 7), 300);
    assert_eq!(cache.cached_tokens(at(1), &prompt(&[1, 2, 4]), 7), 200);
    assert_eq!(cache.cached_tokens(at(1), &prompt(&[2, 3]), 7), 0);
    assert_eq!(cache.cached_tokens(at(1), &prompt(&[1, 2, 3]), 8), 0);
    assert!(cache.contains(&prompt(&[1, 2, 3])));
    assert!(!cache.contains(&prompt(&[1, 2, 4])));
}

#[test]
fn entries_are_bounded_and_expire() {
    let options = Options {
        limit: 10,
        ttl: Span::from_secs(5),
    };
    let mut cache = PrefixCache::new(options);
    for id in 0..1_000 {
        cache.record(at(id), &prompt(&[id]), 1);
    }
    assert!(cache.len() <= 10);
    assert_eq!(cache.cached_tokens(at(1_000), &prompt(&[999]), 1), 100);
    assert_eq!(cache.cached_tokens(at(7_000), &prompt(&[999]), 1), 0);
}

#[test]
fn a_removed_endpoint_caches_nothing() {
    let mut cache = PrefixCache::new(Options::default());
    cache.record(at(0), &prompt(&[1]), 7);
    cache.remove_endpoint(7);
    assert_eq!(cache.cached_tokens(at(1), &prompt(&[1]), 7), 0);
}
