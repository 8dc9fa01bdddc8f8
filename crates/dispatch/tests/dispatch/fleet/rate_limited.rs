//! Endpoints in need, which name in their answers how many requests a second they take
//! from all nodes together.
//!
//! What users saw: an endpoint that had named 2.7 requests a second got 36 in 4 s where
//! 21 were allowed, and it went on so until it named no limit any more. The order of
//! events: it began to name the limit in its answers; each of seven hosts passed such
//! answers on; requests went there as often as before. The cause: nobody read the limit,
//! and nothing in the decisions bounds how often an endpoint is sent requests.
//! The evidence: the endpoint's arrivals, second by second, before and after it named the
//! limit (6 to 11 either way, from six hosts), and no line of the source with the name.

use woadstage_dispatch::rate_limit::Limit;
use woadstage_types::id;

use super::*;

/// How long after an endpoint first named its limit that holds.
const HOLDS_AFTER: Span = Span::from_secs(3);

/// The span in which arrivals are counted.
const WINDOW: Span = Span::from_secs(4);

/// Arrivals in a span by which a limit may be exceeded: half of it, and some more.
const MARGIN: f64 = 1.5;
const MORE: f64 = 5.0;

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

/// Three data centres with a cell each.
fn middle() -> Shape {
    Shape {
        nodes: 24,
        centres: 3,
        endpoints: 24,
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

fn limit(text: &str) -> Limit {
    text.parse().expect("a limit")
}

/// Every so-manieth endpoint names a limit from now on. Gives their names.
fn name_limits(world: &mut World, one_of: usize, text: &str) -> Vec<id::Endpoint> {
    let endpoints = world.endpoints();
    let named = endpoints.iter().step_by(one_of);
    let named: Vec<id::Endpoint> = named.map(|endpoint| endpoint.name.clone()).collect();
    for name in &named {
        world.limits.insert(name.clone(), limit(text));
    }
    named
}

/// The most arrivals at an endpoint in a window that ends between two moments.
fn most_in_a_window(world: &World, endpoint: &id::Endpoint, from: Time, until: Time) -> usize {
    let arrivals = world.arrivals.get(endpoint);
    let arrivals = arrivals.map_or(&[][..], |arrivals| &arrivals[..]);
    let ends = arrivals.iter().filter(|at| **at >= from && **at <= until);
    let windows = ends.map(|end| {
        let within = |at: &&Time| **at <= *end && end.since(**at) < WINDOW;
        arrivals.iter().filter(within).count()
    });
    windows.max().unwrap_or(0)
}

/// None of these endpoints got more than its limit allows in a window that ends between
/// two moments.
fn assert_kept(world: &World, named: &[id::Endpoint], text: &str, (from, until): (Time, Time)) {
    let allowed = limit(text).per_second() * WINDOW.as_secs_f64() * MARGIN + MORE;
    for endpoint in named {
        let most = most_in_a_window(world, endpoint, from, until);
        assert!(most as f64 <= allowed, "{most} at {endpoint} of {allowed}");
    }
}

#[rstest]
#[case::seven_hosts(small(), 72, 6, "2.7")]
#[case::seven_hosts_slowly(small(), 72, 6, "0.4")]
#[case::cells(middle(), 700, 6, "2.7")]
#[case::cells_slowly(middle(), 400, 2, "0.4")]
#[case::the_fleet_two_years_on(large(), 700, 6, "2.7")]
fn an_endpoint_gets_no_more_than_it_says_it_takes(
    #[case] shape: Shape,
    #[case] per_second: u64,
    #[case] one_of: usize,
    #[case] text: &str,
) {
    let mut world = World::start(shape);
    let nodes = all_nodes(&world);
    load(&mut world, MODEL, per_second, Span::from_secs(9), &nodes);
    world.run_for(SECOND);
    let from = world.now;
    let named = name_limits(&mut world, one_of, text);
    world.run_for(Span::from_secs(7));
    assert_kept(&world, &named, text, (from + HOLDS_AFTER, world.now));
    let seen = world.between(from + HOLDS_AFTER, world.now - SECOND);
    assert_in_time(&seen, 95.0);
}

/// All endpoints name a limit, and callers ask for a part of what all limits allow
/// together, or for more: nothing is exceeded, and nearly all of it is used.
#[rstest]
#[case::less_than_they_take(24, 90.0)]
#[case::twice_as_much(58, 42.0)]
fn all_endpoints_name_limits(#[case] per_second: u64, #[case] in_time: f64) {
    let mut world = World::start(small());
    let nodes = all_nodes(&world);
    load(&mut world, MODEL, per_second, Span::from_secs(16), &nodes);
    world.run_for(SECOND);
    let from = world.now;
    // 28.8 requests a second together.
    let named = name_limits(&mut world, 1, "2.4");
    world.run_for(Span::from_secs(15));
    assert_kept(&world, &named, "2.4", (from + HOLDS_AFTER, world.now));
    let seen = world.between(from + HOLDS_AFTER, world.now - SECOND);
    assert_in_time(&seen, in_time);
}
