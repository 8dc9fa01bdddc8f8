//! Requests that crash the endpoints that run them, and come again under other ids at
//! other nodes.
//!
//! What users saw: for ten seconds over a tenth of one route's requests failed, as 24 of
//! twelve engines ended one after the other, and those that replaced them. The order of
//! events: an engine began to run a request of one customer and ended 0.1 s later, with
//! all that ran beside it; the same request came again within a second, with another id,
//! on another host, and was sent to the next engine. The cause: nodes know a request by
//! the id of one attempt, and only endpoints were learnt about from how attempts end.
//! The evidence: in the hosts' logs 16 requests of one customer, route and sizes, under 16
//! ids, on six of seven hosts, and 14 engines that broke off the answer to one of them.

use woadstage_dispatch::job::Fingerprint;

use super::*;

/// How long after an event a node that hears the others must act on it.
const IN_TOUCH_AFTER: Span = Span::from_secs(3);

/// Times that a request may reach endpoints after that, over all nodes.
const REACHES_MOST: usize = 3;

/// What crashes the endpoints.
const CRASHING: Fingerprint = Fingerprint(0xc4a5);

/// One cell, as of a fleet of seven hosts.
fn small() -> Shape {
    Shape {
        nodes: 7,
        centres: 1,
        endpoints: 12,
        slots: 7,
        ..shape()
    }
}

/// The fleet two years on, with a tenth of its endpoints.
fn large() -> Shape {
    Shape {
        nodes: 46,
        centres: 9,
        endpoints: 34,
        slots: 7,
        ..shape()
    }
}

/// Sends requests that each ask for something of their own, so many a second.
fn load_others(world: &mut World, per_second: u64, span: Span, nodes: &[u16]) {
    for number in 0..per_second * span.0 / SECOND.0 {
        let drawn = hash::chain(world.now.0, &number.to_le_bytes());
        let node = nodes[(drawn >> 32) as usize % nodes.len()];
        world.arrive(Span(drawn % span.0), node, |when| Job {
            fingerprint: Fingerprint(drawn),
            ..request(MODEL)(when)
        });
    }
}

/// Sends the same request to nodes by chance, at even pauses.
fn load_same(world: &mut World, what: Fingerprint, every: Span, span: Span, nodes: &[u16]) {
    for number in 1..span.0 / every.0 {
        let drawn = hash::chain(what.0, &number.to_le_bytes());
        let node = nodes[drawn as usize % nodes.len()];
        world.arrive(Span(every.0 * number), node, |when| Job {
            fingerprint: what,
            ..request(MODEL)(when)
        });
    }
}

/// How often a request reached endpoints although nodes had had time to know that three
/// had ended under it.
fn reached_too_late(world: &World, what: Fingerprint) -> usize {
    let mut crashes = world.crashes.iter().filter(|one| one.fingerprint == what);
    let Some(third) = crashes.nth(2) else {
        return 0;
    };
    let known = third.when + IN_TOUCH_AFTER;
    let reached = world.reached.iter();
    reached
        .filter(|(when, _, of)| *when > known && *of == what)
        .count()
}

/// The share of what else came that had its whole answer, at the first try or the second.
fn share_served(world: &World) -> f64 {
    let others = world.seen.values();
    let others = others.filter(|one| !world.crashing.contains(&one.fingerprint));
    let mut asked = std::collections::BTreeMap::new();
    for one in others {
        *asked.entry(one.fingerprint).or_insert(false) |= one.whole;
    }
    let served = asked.values().filter(|served| **served).count();
    served as f64 / asked.len().max(1) as f64
}

#[rstest]
#[case::of_seven_hosts(small(), 60, 12)]
#[case::of_72_hosts(shape(), 160, 12)]
#[case::of_414_hosts(large(), 400, 6)]
fn a_request_that_crashes_endpoints_is_soon_sent_no_more(
    #[case] shape: Shape,
    #[case] per_second: u64,
    #[case] seconds: u64,
) {
    let mut world = World::start(shape);
    let nodes = all_nodes(&world);
    world.crashing.insert(CRASHING);
    let span = Span::from_secs(seconds);
    load_others(&mut world, per_second, span, &nodes);
    load_same(&mut world, CRASHING, Span(span.0 / 20), span, &nodes);
    world.run_for(span + Span::from_secs(2));
    assert!(reached_too_late(&world, CRASHING) <= REACHES_MOST);
    let served = share_served(&world);
    assert!(served >= 0.99, "{served}");
}

/// A request that many callers send, and that no endpoint ends under: endpoints end by
/// themselves, two a second, and after four seconds half of them at once.
#[test]
fn a_request_that_comes_often_is_served_while_endpoints_end_by_themselves() {
    let mut world = World::start(small());
    let nodes = all_nodes(&world);
    let often = Fingerprint(0x0f7e);
    let span = Span::from_secs(12);
    load_same(&mut world, often, Span::from_millis(50), span, &nodes);
    let endpoints = world.endpoints();
    for (number, endpoint) in endpoints.iter().enumerate() {
        let after = match number % 2 {
            0 => Span(number as u64 * SECOND.0 / 2),
            _ => Span::from_secs(4),
        };
        world.end_endpoint(after, &endpoint.name);
    }
    let from = world.now;
    world.run_for(span + Span::from_secs(3));
    let seen = world.between(from, world.now);
    let whole = share(&seen, |one| one.whole);
    assert!(whole >= 0.8, "{whole}");
}
