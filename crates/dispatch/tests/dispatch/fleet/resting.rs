//! Endpoints that turn requests away and ask each node that they turn away for rest.

use woadstage_types::id;

use super::world::notices::Rejecting;
use super::*;

/// Some endpoints turn requests away from now on, one of so many.
fn refuse(world: &mut World, count: usize, refusing: Rejecting) -> Vec<id::Endpoint> {
    let endpoints = world.endpoints().into_iter().take(count);
    let names: Vec<id::Endpoint> = endpoints.map(|one| one.name).collect();
    for name in &names {
        world.notices.rejecting.insert(name.clone(), refusing);
    }
    names
}

fn all(rest: Span) -> Rejecting {
    Rejecting { rest, one_of: 1 }
}

/// So many nodes before so many endpoints of a plain service.
fn before(nodes: u16, endpoints: u16) -> Shape {
    Shape {
        nodes,
        centres: 1,
        endpoints,
        service: SERVICE,
        call_time: Span::from_millis(60),
        ..small()
    }
}

#[rstest]
#[case::seven_hosts(small(), MODEL, 72, 2)]
#[case::sixteen_hosts(before(16, 8), SERVICE, 200, 4)]
#[case::cells(middle(), MODEL, 400, 12)]
#[case::the_fleet_two_years_on(large(), MODEL, 700, 60)]
fn an_endpoint_that_asks_for_rest_gets_it(
    #[case] shape: Shape,
    #[case] service: &'static str,
    #[case] per_second: u64,
    #[case] count: usize,
) {
    let mut world = under_load(shape, service, per_second, Span::from_secs(9));
    refuse(&mut world, count, all(Span::from_secs(3)));
    world.run_for(Span::from_secs(8));
    world.notices.assert_rest_respected();
}

/// Others have room, so no caller is to notice once the endpoints have said so.
#[rstest]
#[case::sixteen_hosts_half_of_eight(before(16, 8), 4, 3_000, 200)]
#[case::seven_hosts_half_of_six(before(7, 6), 3, 1_000, 120)]
#[case::five_hosts_two_of_six(before(5, 6), 2, 3_000, 80)]
#[case::five_hosts_short_rests(before(5, 6), 2, 400, 80)]
fn nobody_is_refused_while_other_endpoints_have_room(
    #[case] shape: Shape,
    #[case] count: usize,
    #[case] rest_ms: u64,
    #[case] per_second: u64,
) {
    let mut world = under_load(shape, SERVICE, per_second, Span::from_secs(21));
    refuse(&mut world, count, all(Span::from_millis(rest_ms)));
    let from = world.now;
    world.run_for(Span::from_secs(20));
    let seen = world.arrived_between(from + SECOND, world.now - SECOND);
    let refused = seen.iter().filter(|one| one.refused).count();
    assert_eq!(refused, 0, "of {}", seen.len());
    assert_in_time(&seen, 99.0);
    world.notices.assert_rest_respected();
}

/// What serves again is used again, all of it.
#[rstest]
#[case::seven_hosts(small(), 200)]
#[case::cells(middle(), 800)]
fn an_endpoint_that_has_rested_is_used_again(#[case] shape: Shape, #[case] per_second: u64) {
    let mut world = under_load(shape, MODEL, per_second, Span::from_secs(16));
    let names = refuse(&mut world, 4, all(SECOND));
    world.run_for(Span::from_secs(4));
    world.notices.rejecting.clear();
    world.run_for(Span::from_secs(5));
    let from = world.now;
    world.run_for(Span::from_secs(6));
    let count = |name: &id::Endpoint| {
        let arrivals = world.arrivals[name].iter();
        arrivals.filter(|at| **at > from).count()
    };
    let others = world.endpoints().into_iter().map(|one| one.name);
    let others: Vec<usize> = others
        .filter(|name| !names.contains(name))
        .map(|name| count(&name))
        .collect();
    let mean = others.iter().sum::<usize>() / others.len();
    for name in &names {
        let got = count(name);
        assert!(got * 2 >= mean, "{got} at {name}, {mean} at others");
    }
}

/// A worker that turns away one request in three is neither starved nor flooded.
#[test]
fn an_endpoint_that_turns_some_away_goes_on_serving() {
    let mut world = under_load(small(), MODEL, 120, Span::from_secs(11));
    let some = Rejecting {
        rest: SECOND,
        one_of: 3,
    };
    let names = refuse(&mut world, 1, some);
    let from = world.now;
    world.run_for(Span::from_secs(10));
    world.notices.assert_rest_respected();
    let arrivals = world.arrivals[&names[0]].iter();
    let got = arrivals.filter(|at| **at > from).count();
    assert!(got >= 20, "{got} in 10 s");
    let seen = world.arrived_between(from, world.now - SECOND);
    assert_in_time(&seen, 97.0);
}

/// Where all rest, requests wait and are served as soon as one may be sent.
#[test]
fn requests_wait_where_all_endpoints_rest() {
    let mut world = under_load(small(), MODEL, 40, Span::from_secs(6));
    let from = world.now;
    refuse(&mut world, 12, all(Span::from_millis(400)));
    world.run_for(Span::from_millis(300));
    world.notices.rejecting.clear();
    world.run_for(Span::from_secs(5));
    world.notices.assert_rest_respected();
    let seen = world.arrived_between(from + SECOND, world.now - SECOND);
    assert_in_time(&seen, 97.0);
}
