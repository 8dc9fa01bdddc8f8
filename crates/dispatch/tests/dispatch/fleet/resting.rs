//! Endpoints that reject requests and ask each node that they reject for a rest.

use woadstage_types::id;

use super::world::notices::Rejecting;
use super::*;

/// Makes `count` endpoints reject requests from now on, one in so many.
fn reject(world: &mut World, count: usize, refusing: Rejecting) -> Vec<id::Endpoint> {
    let endpoints = world.endpoints().into_iter().take(count);
    let names: Vec<id::Endpoint> = endpoints.map(|one| one.name).collect();
    for name in &names {
        world.notices.rejecting.insert(name.clone(), refusing);
    }
    names
}

fn reject_all(rest: Span) -> Rejecting {
    Rejecting { rest, one_of: 1 }
}

#[rstest]
#[case::seven_hosts(small(), MODEL, 72, 2)]
#[case::sixteen_hosts(plain_service(16, 8), SERVICE, 200, 4)]
#[case::cells(middle(), MODEL, 400, 12)]
#[case::large_fleet(large(), MODEL, 700, 60)]
fn an_endpoint_that_asks_for_a_rest_gets_no_requests(
    #[case] shape: Shape,
    #[case] service: &'static str,
    #[case] per_second: u64,
    #[case] count: usize,
) {
    let mut world = under_load(shape, service, per_second, Span::from_secs(9));
    reject(&mut world, count, reject_all(Span::from_secs(3)));
    world.run_for(Span::from_secs(8));
    world.notices.assert_rest_respected();
}

/// Other endpoints have room, so no caller is affected once the endpoints have asked for
/// a rest.
#[rstest]
#[case::sixteen_hosts_half_of_eight(plain_service(16, 8), 4, 3_000, 200)]
#[case::seven_hosts_half_of_six(plain_service(7, 6), 3, 1_000, 120)]
#[case::five_hosts_two_of_six(plain_service(5, 6), 2, 3_000, 80)]
#[case::five_hosts_short_rests(plain_service(5, 6), 2, 400, 80)]
fn nobody_is_refused_while_other_endpoints_have_room(
    #[case] shape: Shape,
    #[case] count: usize,
    #[case] rest_ms: u64,
    #[case] per_second: u64,
) {
    let mut world = under_load(shape, SERVICE, per_second, Span::from_secs(21));
    reject(&mut world, count, reject_all(Span::from_millis(rest_ms)));
    let from = world.now;
    world.run_for(Span::from_secs(20));
    let seen = world.arrived_between(from + SECOND, world.now - SECOND);
    let refused = seen.iter().filter(|one| one.refused).count();
    assert_eq!(refused, 0, "of {}", seen.len());
    assert_in_time(&seen, 99.0);
    world.notices.assert_rest_respected();
}

/// An endpoint that accepts requests again gets a full share of them.
#[rstest]
#[case::seven_hosts(small(), 200)]
#[case::cells(middle(), 800)]
fn an_endpoint_that_has_rested_is_used_again(#[case] shape: Shape, #[case] per_second: u64) {
    let mut world = under_load(shape, MODEL, per_second, Span::from_secs(16));
    let names = reject(&mut world, 4, reject_all(SECOND));
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

/// An endpoint that rejects one request in three is neither starved nor flooded.
#[test]
fn an_endpoint_that_rejects_some_requests_keeps_serving() {
    let mut world = under_load(small(), MODEL, 120, Span::from_secs(11));
    let some = Rejecting {
        rest: SECOND,
        one_of: 3,
    };
    let names = reject(&mut world, 1, some);
    let from = world.now;
    world.run_for(Span::from_secs(10));
    world.notices.assert_rest_respected();
    let arrivals = world.arrivals[&names[0]].iter();
    let got = arrivals.filter(|at| **at > from).count();
    assert!(got >= 20, "{got} in 10 s");
    let seen = world.arrived_between(from, world.now - SECOND);
    assert_in_time(&seen, 97.0);
}

/// If all endpoints rest, requests wait and are served as soon as one may be sent.
#[test]
fn requests_wait_while_all_endpoints_rest() {
    let mut world = under_load(small(), MODEL, 40, Span::from_secs(6));
    let from = world.now;
    reject(&mut world, 12, reject_all(Span::from_millis(400)));
    world.run_for(Span::from_millis(300));
    world.notices.rejecting.clear();
    world.run_for(Span::from_secs(5));
    world.notices.assert_rest_respected();
    let seen = world.arrived_between(from + SECOND, world.now - SECOND);
    assert_in_time(&seen, 97.0);
}
