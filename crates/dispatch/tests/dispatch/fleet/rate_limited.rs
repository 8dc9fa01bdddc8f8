//! Endpoints that state in their answers how many requests a second they accept from all
//! nodes together.
//!
//! Guards against a limit that is passed on to callers but not enforced. An endpoint that
//! had stated 2.7 requests a second got 36 in 4 s, where 21 were allowed, until it stated
//! no limit any more: each of seven hosts forwarded its answers, none read the limit, and
//! nothing bounded how often an endpoint was sent requests. It got 6 to 11 requests a
//! second from six hosts, before and after it stated the limit.

use woadstage_dispatch::rate_limit::Limit;
use woadstage_types::id;

use super::*;

/// The time after an endpoint first states its limit from which it must be respected.
const ENFORCED_AFTER: Span = Span::from_secs(3);

/// The time window in which arrivals are counted.
const WINDOW: Span = Span::from_secs(4);

/// The tolerated excess over a limit in a window: half of it, and a few more.
const MARGIN: f64 = 1.5;
const EXTRA: f64 = 5.0;

fn limit(text: &str) -> Limit {
    text.parse().expect("a limit")
}

/// Makes every `one_of`th endpoint state a limit from now on. Returns their names.
fn set_limits(world: &mut World, one_of: usize, text: &str) -> Vec<id::Endpoint> {
    let endpoints = world.endpoints();
    let named = endpoints.iter().step_by(one_of);
    let named: Vec<id::Endpoint> = named.map(|endpoint| endpoint.name.clone()).collect();
    for name in &named {
        world.rate_limits.insert(name.clone(), limit(text));
    }
    named
}

/// Returns the most arrivals at an endpoint in any window that ends after its limit must
/// be respected. Only arrivals since it stated the limit count.
fn most_in_a_window(world: &World, endpoint: &id::Endpoint, named_at: Time) -> usize {
    let arrivals = world.arrivals.get(endpoint);
    let arrivals = arrivals.map_or(&[][..], |arrivals| &arrivals[..]);
    let since: Vec<Time> = arrivals
        .iter()
        .copied()
        .filter(|at| *at >= named_at)
        .collect();
    let ends = since.iter().filter(|at| **at >= named_at + ENFORCED_AFTER);
    let windows = ends.map(|end| {
        let within = |at: &&Time| **at <= *end && end.since(**at) < WINDOW;
        since.iter().filter(within).count()
    });
    windows.max().unwrap_or(0)
}

/// Asserts that none of these endpoints got more in any window than its limit allows,
/// which it stated at `named_at`.
fn assert_limits_respected(world: &World, named: &[id::Endpoint], text: &str, named_at: Time) {
    let allowed = limit(text).per_second() * WINDOW.as_secs_f64() * MARGIN + EXTRA;
    for endpoint in named {
        let most = most_in_a_window(world, endpoint, named_at);
        assert!(most as f64 <= allowed, "{most} at {endpoint} of {allowed}");
    }
}

#[rstest]
#[case::seven_hosts(small(), 72, 6, "2.7")]
#[case::seven_hosts_slowly(small(), 72, 6, "0.4")]
#[case::cells(middle(), 700, 6, "2.7")]
#[case::cells_slowly(middle(), 400, 2, "0.4")]
#[case::large_fleet(large(), 700, 6, "2.7")]
fn an_endpoint_gets_no_more_than_its_limit(
    #[case] shape: Shape,
    #[case] per_second: u64,
    #[case] one_of: usize,
    #[case] text: &str,
) {
    let mut world = under_load(shape, MODEL, per_second, Span::from_secs(9));
    let from = world.now;
    let named = set_limits(&mut world, one_of, text);
    world.run_for(Span::from_secs(7));
    assert_limits_respected(&world, &named, text, from);
    let seen = world.arrived_between(from + ENFORCED_AFTER, world.now - SECOND);
    assert_in_time(&seen, 95.0);
}

/// All endpoints state limits, and callers request less than these allow together, or
/// more: no limit is exceeded, and nearly all of it is used.
#[rstest]
#[case::below_the_limits(24, 90.0)]
#[case::twice_the_limits(58, 42.0)]
fn all_endpoints_state_limits(#[case] per_second: u64, #[case] in_time: f64) {
    let mut world = under_load(small(), MODEL, per_second, Span::from_secs(16));
    let from = world.now;
    // 28.8 requests a second in total.
    let named = set_limits(&mut world, 1, "2.4");
    world.run_for(Span::from_secs(15));
    assert_limits_respected(&world, &named, "2.4", from);
    let seen = world.arrived_between(from + ENFORCED_AFTER, world.now - SECOND);
    assert_in_time(&seen, in_time);
}

/// A disruption of the fleet while endpoints state limits.
type Disruption = fn(&mut World, Span);

/// Kills and restarts the owners of limits one after the other.
fn kill_in_turn(world: &mut World, span: Span) {
    let pause = Span(span.0 / 20);
    for turn in 0..20 {
        let node = turn % 7;
        kill_for(world, &[node], Span::from_millis(100));
        world.run_for(Span(pause.0 - 100_000));
    }
}

/// Kills half of the nodes at once, and restarts them.
fn kill_half(world: &mut World, span: Span) {
    let all = all_nodes(world);
    let half: Vec<u16> = all.into_iter().filter(|node| node % 2 == 0).collect();
    kill_for(world, &half, Span::from_millis(700));
    world.run_for(Span(span.0 - 700_000));
}

/// Isolates some nodes, each on its own, and reconnects them.
fn isolate_some(world: &mut World, span: Span) {
    world.partitioned = [0, 3, 4].into();
    world.run_for(Span(span.0 * 2 / 3));
    world.partitioned.clear();
    world.run_for(Span(span.0 / 3));
}

/// Splits the fleet into two partitions for a while.
fn split_in_two(world: &mut World, span: Span) {
    world.partition_of = Some(|node| u16::from(node < 3));
    world.run_for(Span(span.0 * 2 / 3));
    world.partition_of = None;
    world.run_for(Span(span.0 / 3));
}

/// Stops and restarts the nodes one after the other, as in a planned rollout.
fn stop_in_turn(world: &mut World, span: Span) {
    for node in 0..7 {
        if let Some(dispatcher) = world.nodes.get_mut(&node) {
            dispatcher.leave();
        }
        world.run_for(Span(span.0 / 14));
        kill_for(world, &[node], Span(span.0 / 14));
    }
}

fn no_disruption(world: &mut World, span: Span) {
    world.run_for(span);
}

#[rstest]
#[case::owners_die_in_turn(kill_in_turn, 0, "2.7")]
#[case::owners_die_in_turn_slowly(kill_in_turn, 0, "0.4")]
#[case::half_die(kill_half, 0, "2.7")]
#[case::some_are_isolated(isolate_some, 0, "2.7")]
#[case::some_are_isolated_slowly(isolate_some, 0, "0.4")]
#[case::two_partitions(split_in_two, 0, "2.7")]
#[case::two_partitions_slowly(split_in_two, 0, "0.4")]
#[case::planned_stops(stop_in_turn, 0, "2.7")]
#[case::messages_are_lost(no_disruption, 20, "2.7")]
fn limits_are_respected_during_disruptions(
    #[case] disruption: Disruption,
    #[case] loss_percent: u64,
    #[case] text: &str,
    #[values(1, 3)] one_of: usize,
) {
    let mut world = under_load(
        Shape {
            loss_percent,
            ..small()
        },
        MODEL,
        50,
        Span::from_secs(16),
    );
    let from = world.now;
    let named = set_limits(&mut world, one_of, text);
    world.run_for(Span::from_secs(2));
    disruption(&mut world, Span::from_secs(10));
    world.run_for(Span::from_secs(2));
    assert_limits_respected(&world, &named, text, from);
}

/// A changed limit is enforced at its new value, and a withdrawn one no longer applies.
#[rstest]
#[case::lowered("5", Some("0.5"), 0.9)]
#[case::raised("0.5", Some("5"), 0.9)]
#[case::ended("0.5", None, 8.0)]
#[case::zero("0", Some("0"), 0.01)]
#[case::zero_then_none("0", None, 8.0)]
fn a_changed_limit_is_enforced(
    #[case] before: &str,
    #[case] after: Option<&str>,
    #[case] used: f64,
) {
    // More than the other endpoints can serve.
    let mut world = under_load(small(), MODEL, 200, Span::from_secs(40));
    let from = world.now;
    let named = set_limits(&mut world, 3, before);
    world.run_for(Span::from_secs(8));
    assert_limits_respected(&world, &named, before, from);
    let moved = world.now;
    for name in &named {
        match after {
            Some(text) => world.rate_limits.insert(name.clone(), limit(text)),
            None => world.rate_limits.remove(name),
        };
    }
    // An endpoint that gets one request in ten seconds can report a change only as often.
    world.run_for(Span::from_secs(15));
    let converged_at = world.now;
    world.run_for(Span::from_secs(10));
    if let Some(text) = after {
        assert_limits_respected(&world, &named, text, moved + ENFORCED_AFTER);
    }
    let wanted = after.map_or(used, |text| limit(text).per_second() * used);
    for name in &named {
        let arrivals = world.arrivals[name].iter();
        let since = arrivals.filter(|at| **at >= converged_at).count();
        let per_second = since as f64 / 10.0;
        assert!(per_second >= wanted, "{per_second} a second at {name}");
    }
}

/// Limits end while no requests are sent. Once requests arrive again, that is noticed.
#[test]
fn a_limit_ends_while_nothing_is_sent() {
    let mut world = under_load(small(), MODEL, 60, Span::from_secs(3));
    let nodes = all_nodes(&world);
    let named = set_limits(&mut world, 1, "0.5");
    world.run_for(Span::from_secs(2));
    world.rate_limits.clear();
    world.run_for(Span::from_secs(60));
    load(&mut world, MODEL, 60, Span::from_secs(10), &nodes);
    world.run_for(Span::from_secs(10));
    let seen = world.arrived_between(world.now - Span::from_secs(6), world.now - SECOND);
    assert_in_time(&seen, 95.0);
    assert_eq!(named.len(), 12);
}

/// Nodes of the previous build ignore limits; those of this build enforce what they can.
/// With several cells the former own slots too: slots of a limited endpoint that they
/// grant are returned.
#[rstest]
#[case::one_cell(small(), 40)]
#[case::cells(middle(), 300)]
fn nodes_of_this_build_keep_limits_beside_those_before(
    #[case] shape: Shape,
    #[case] per_second: u64,
) {
    let mut world = World::start(shape);
    let nodes = all_nodes(&world);
    let (own, before): (Vec<u16>, Vec<u16>) = nodes.iter().partition(|node| **node % 2 == 1);
    world.previous_build = before.into_iter().collect();
    world.run_for(SECOND);
    load(&mut world, MODEL, per_second, Span::from_secs(10), &own);
    let from = world.now;
    let named = set_limits(&mut world, 6, "2.7");
    world.run_for(Span::from_secs(10));
    assert_limits_respected(&world, &named, "2.7", from);
    let seen = world.arrived_between(from + ENFORCED_AFTER, world.now - SECOND);
    assert_in_time(&seen, 95.0);
}

/// With several cells, nodes that see different fleets for a while consider different
/// nodes to be the owner of the same slots. Each restart of a node moves others to other
/// cells.
#[rstest]
#[case::one_after_the_other(1, "2.7")]
#[case::one_after_the_other_fast(1, "8")]
#[case::six_at_a_time_fast(6, "8")]
fn limits_are_respected_while_cells_change(#[case] at_once: usize, #[case] text: &str) {
    let mut world = under_load(
        Shape {
            nodes: 36,
            centres: 2,
            ..middle()
        },
        MODEL,
        900,
        Span::from_secs(14),
    );
    let nodes = all_nodes(&world);
    let from = world.now;
    let named = set_limits(&mut world, 2, text);
    world.run_for(Span::from_secs(2));
    for turn in nodes.chunks(at_once).take(20) {
        kill_for(&mut world, turn, Span::from_millis(200));
        world.run_for(Span::from_millis(300));
    }
    assert_limits_respected(&world, &named, text, from);
}
