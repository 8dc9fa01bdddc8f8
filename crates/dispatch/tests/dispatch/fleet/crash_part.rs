//! Prompts of which one part crashes the engines that begin to answer them, in requests that
//! otherwise differ.
//!
//! Guards against a chain of crashes: requests with one part in their prompts end one engine
//! after the other. Each has a path, a body and a last part of its own, so that nodes which know
//! a request only by all that it asks for never meet the same one twice. Sound requests share
//! their customer and their other parts.

use std::collections::BTreeMap;

use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Part;
use woadstage_dispatch::job::Prompt;

use super::*;

/// The time after an event within which a node that hears the others must act on it.
const LEARNT_WITHIN: Span = Span::from_secs(3);

/// The number of endpoints that a part may crash before it has to be known.
const CRASHES_TO_LEARN: usize = 5;

/// The number of requests with the part that may reach endpoints after that, over all nodes.
const MAX_LATE_ARRIVALS: usize = 3;

/// A part that crashes engines.
const CRASHING_PART: u64 = 0xbad0;

/// The number of customers, each of which has a first part of its own.
const CUSTOMERS: u64 = 5;

/// The number of other parts that requests share.
const TOPICS: u64 = 40;

/// The customer that sends the requests that crash engines.
const AFFECTED: u64 = 1;

/// Added to the fingerprints of requests that crash engines.
const CRASHING_BASE: u64 = 0xc4a5_0000_0000;

fn first_part(customer: u64) -> u64 {
    0x100 + customer
}

fn with_parts(fingerprint: Fingerprint, ids: &[u64]) -> impl Fn(Time) -> Job {
    let parts = ids.iter().map(|id| Part {
        id: *id,
        tokens: 50,
    });
    let prompt = Prompt {
        tokens: 50 * ids.len() as u64,
        output: 100,
        output_hint: None,
        parts: parts.collect(),
        ..Prompt::default()
    };
    move |when| Job {
        fingerprint,
        prompt: prompt.clone(),
        repeatable: true,
        attempts: 3,
        ..request(MODEL)(when)
    }
}

/// Sends sound requests of all customers, each with the first part of its customer, one of the other
/// parts and a last part of its own.
fn load_sound(world: &mut World, per_second: u64, span: Span, nodes: &[u16]) {
    for number in 0..per_second * span.0 / SECOND.0 {
        let drawn = hash::chain(world.now.0, &number.to_le_bytes());
        let node = nodes[(drawn >> 32) as usize % nodes.len()];
        let topic = 0x200 + (drawn >> 8) % TOPICS;
        let ids = [first_part(drawn % CUSTOMERS), topic, drawn];
        world.arrive(
            Span(drawn % span.0),
            node,
            with_parts(Fingerprint(drawn), &ids),
        );
    }
}

/// Sends requests with `part` after the first part of their customer, each up to three times.
fn load_crashing(world: &mut World, part: u64, every: Span, span: Span, nodes: &[u16]) {
    for number in 0..span.0 / every.0 {
        let fingerprint = Fingerprint(CRASHING_BASE + (part << 16) + number);
        world.crashing.insert(fingerprint);
        let ids = [first_part(AFFECTED), part, fingerprint.0];
        for turn in 0..3_u64 {
            let drawn = hash::chain(fingerprint.0, &turn.to_le_bytes());
            let node = nodes[drawn as usize % nodes.len()];
            let after = Span(every.0 * number) + Span::from_millis(400 * turn);
            world.arrive(after, node, with_parts(fingerprint, &ids));
        }
    }
}

fn has_part(fingerprint: Fingerprint, part: u64) -> bool {
    fingerprint.0 >> 16 == (CRASHING_BASE >> 16) + part
}

/// Returns when nodes must know a part: some time after it has crashed five endpoints.
fn known_at(world: &World, part: u64) -> Option<Time> {
    let mut crashes = world.crashes.iter();
    let fifth = crashes
        .by_ref()
        .filter(|crash| has_part(crash.fingerprint, part))
        .nth(CRASHES_TO_LEARN - 1)?;
    Some(fifth.when + LEARNT_WITHIN)
}

/// Returns how often requests with a part reached endpoints after nodes had to know it.
fn reached_too_late(world: &World, part: u64) -> usize {
    let Some(known_at) = known_at(world, part) else {
        return 0;
    };
    let reached = world.crash_arrivals.iter();
    let reached = reached.filter(|(when, _, of)| *when > known_at && has_part(*of, part));
    reached.count()
}

/// Returns the share of the sound requests of a customer that were answered completely at the
/// first attempt, of those that arrived in a period.
fn share_served(world: &World, customer: u64, from: Time, until: Time) -> f64 {
    let sound = world.outcomes.values().filter(|one| {
        one.fingerprint.0 % CUSTOMERS == customer && !world.crashing.contains(&one.fingerprint)
    });
    let mut first_attempts: BTreeMap<Fingerprint, Outcome> = BTreeMap::new();
    for one in sound.filter(|one| one.arrived >= from && one.arrived < until) {
        let first = first_attempts.entry(one.fingerprint).or_insert(*one);
        if one.arrived < first.arrived {
            *first = *one;
        }
    }
    let whole = first_attempts.values().filter(|one| one.whole).count();
    whole as f64 / first_attempts.len().max(1) as f64
}

#[rstest]
#[case::of_seven_hosts(small(), 60, 10)]
#[case::of_72_hosts(shape(), 160, 8)]
#[case::of_414_hosts(large(), 400, 8)]
fn requests_with_a_part_that_crashes_endpoints_are_soon_sent_no_more(
    #[case] shape: Shape,
    #[case] per_second: u64,
    #[case] seconds: u64,
) {
    let mut world = World::start(shape);
    let nodes = all_nodes(&world);
    let span = Span::from_secs(seconds);
    load_sound(&mut world, per_second, span, &nodes);
    world.run_for(SECOND);
    let every = Span::from_millis(333);
    let crashing_for = Span::from_secs(seconds - 1);
    load_crashing(&mut world, CRASHING_PART, every, crashing_for, &nodes);
    world.run_for(span);
    assert!(reached_too_late(&world, CRASHING_PART) <= MAX_LATE_ARRIVALS);
    let (from, until) = (world.now - Span::from_secs(3), world.now - SECOND);
    for customer in 0..CUSTOMERS {
        let served = share_served(&world, customer, from, until);
        assert!(served >= 0.95, "customer {customer}: {served}");
    }
}

/// Guilty and sound requests of the same customer, and when a fleet must know the guilty ones.
struct Figures {
    /// The most times that one of the parts reached endpoints too late.
    late: usize,
    /// Endpoints crashed by the parts.
    ends: usize,
    /// The least share of a customer's requests that were served from six seconds after the start
    /// of the requests that crash endpoints.
    served: f64,
}

/// Runs seven hosts for 14 s, on which requests with `parts` parts crash endpoints.
fn run_with_crashing(world: &mut World, parts: u64) -> Figures {
    let nodes = all_nodes(world);
    let span = Span::from_secs(14);
    load_sound(world, 60, span, &nodes);
    let begun = world.now;
    for part in CRASHING_PART..CRASHING_PART + parts {
        let every = Span(SECOND.0 * parts / 3);
        load_crashing(world, part, every, Span::from_secs(13), &nodes);
    }
    world.run_for(span);
    let from = begun + Span::from_secs(6);
    let served =
        (0..CUSTOMERS).map(|customer| share_served(world, customer, from, world.now - SECOND));
    let late = (CRASHING_PART..CRASHING_PART + parts).map(|part| reached_too_late(world, part));
    Figures {
        late: late.max().unwrap_or(0),
        ends: world.crashes.len(),
        served: served.fold(1.0, f64::min),
    }
}

/// No part is in all requests that crash endpoints, and the first part of their customer is in more
/// of them than any that does.
#[rstest]
#[case::two(2, 12)]
#[case::six(6, 36)]
fn several_parts_that_crash_endpoints_are_told_from_the_one_that_they_share(
    #[case] parts: u64,
    #[case] max_ends: usize,
) {
    let mut world = World::start(small());
    let figures = run_with_crashing(&mut world, parts);
    assert!(figures.late <= MAX_LATE_ARRIVALS);
    assert!(figures.ends <= max_ends, "{}", figures.ends);
    assert!(figures.served >= 0.95, "{}", figures.served);
}

#[rstest]
#[case::halves(|node| node % 2, 0.95)]
#[case::single_nodes(|node| node, 0.5)]
fn partitions_learn_a_part_and_lose_no_customer(#[case] part: fn(u16) -> u16, #[case] served: f64) {
    let mut world = World::start(small());
    world.partition_of = Some(part);
    let figures = run_with_crashing(&mut world, 1);
    assert!(figures.late <= MAX_LATE_ARRIVALS, "{}", figures.late);
    assert!(figures.served >= served, "{}", figures.served);
}

/// The customer's first part is only ever seen with the part that crashes endpoints until a request
/// without that part comes.
#[test]
fn a_part_that_came_only_with_a_crashing_one_is_not_barred_with_it() {
    let mut world = World::start(small());
    let nodes = all_nodes(&world);
    load_crashing(
        &mut world,
        CRASHING_PART,
        SECOND,
        Span::from_secs(5),
        &nodes,
    );
    world.run_for(Span::from_secs(6));
    let ids = [first_part(AFFECTED), 0x777];
    let what = Fingerprint(0x5_0000 + AFFECTED);
    world.arrive(Span::ZERO, nodes[0], with_parts(what, &ids));
    world.run_for(SECOND);
    let mut outcomes = world.outcomes.values();
    let outcome = outcomes.find(|one| one.fingerprint == what);
    assert!(outcome.is_some_and(|one| one.whole));
    assert!(world.crashes.len() <= CRASHES_TO_LEARN);
}

/// Two thirds of the endpoints end at once, four times, without any such part.
#[test]
fn no_customer_is_refused_because_many_endpoints_end_at_once() {
    let mut world = World::start(small());
    let nodes = all_nodes(&world);
    load_sound(&mut world, 60, Span::from_secs(16), &nodes);
    for turn in 0..4_u64 {
        let endpoints = world.endpoints();
        let ending = endpoints
            .iter()
            .enumerate()
            .filter(|(number, _)| number % 3 != 0);
        for (_, endpoint) in ending {
            let name = format!("{}{}", endpoint.name, "-again".repeat(turn as usize));
            let after = Span::from_millis(1_000 + 3_500 * turn);
            world.end_endpoint(after, &woadstage_types::id::Endpoint::new(&name));
        }
    }
    let begun = world.now;
    world.run_for(Span::from_secs(16));
    for customer in 0..CUSTOMERS {
        let served = share_served(&world, customer, begun, world.now - SECOND);
        assert!(served >= 0.95, "customer {customer}: {served}");
    }
    let barred = world.outcomes.values().filter(|one| one.barred).count();
    assert!(barred <= 9, "{barred} of 960");
}

/// All nodes restart in two halves, so that no node that saw an end is left; then all at once.
#[test]
fn a_part_stays_barred_while_nodes_restart_in_turn_and_is_learnt_again_after_all_did() {
    let mut world = World::start(small());
    let nodes = all_nodes(&world);
    let span = Span::from_secs(20);
    load_sound(&mut world, 60, span, &nodes);
    load_crashing(
        &mut world,
        CRASHING_PART,
        Span::from_millis(333),
        span,
        &nodes,
    );
    world.run_for(Span::from_secs(4));
    let learnt = world.crashes.len();
    let (even, odd): (Vec<u16>, Vec<u16>) = nodes.iter().partition(|node| **node % 2 == 0);
    for half in [&even, &odd] {
        kill_for(&mut world, half, SECOND);
        world.run_for(Span::from_secs(3));
    }
    let kept = world.crashes.len();
    kill_for(&mut world, &nodes, SECOND);
    world.run_for(Span::from_secs(6));
    assert!(learnt <= CRASHES_TO_LEARN, "{learnt}");
    assert!(kept <= learnt + MAX_LATE_ARRIVALS, "{kept}");
    assert!(
        world.crashes.len() <= kept + CRASHES_TO_LEARN,
        "{}",
        world.crashes.len()
    );
}

/// Requests with 30 parts each, of which few were seen before: the nodes of a fleet of 414 tell
/// each other of hundreds of features for each end.
#[test]
fn findings_on_many_parts_cost_a_large_fleet_little() {
    let mut world = World::start(large());
    let nodes = all_nodes(&world);
    let span = Span::from_secs(3);
    let mut send = |number: u64, base: u64, after: Span| {
        let what = Fingerprint(base + number);
        let mut ids: Vec<u64> = (0..30).map(|part| hash::chain(what.0, &[part])).collect();
        if base == CRASHING_BASE {
            world.crashing.insert(what);
            ids[1] = CRASHING_PART;
        }
        let node = nodes[hash::chain(what.0, &[99]) as usize % nodes.len()];
        world.arrive(after, node, with_parts(what, &ids));
    };
    for number in 0..1_200 {
        send(number, 0, Span(span.0 * number / 1_200));
    }
    for number in 0..9 {
        send(number, CRASHING_BASE, Span(span.0 * number / 9));
    }
    let before = world.findings_bytes;
    world.run_for(span);
    let part = quarantine::Feature::of_part(
        woadstage_dispatch::endpoint::number_of(MODEL),
        CRASHING_PART,
    );
    let knowing = world.nodes.values();
    let knowing = knowing.filter(|node| node.is_barred(world.now, part));
    assert_eq!(knowing.count(), nodes.len());
    let each = (world.findings_bytes - before) as f64 / nodes.len() as f64 / span.as_secs_f64();
    assert!(each <= 12_000.0, "{each}");
}
