//! Endpoints that fall over if they have to reject too many requests within a second, and let no
//! requests wait.

use woadstage_dispatch::protocol::Protocol;

use super::world::brittle::Brittle;
use super::*;

/// Returns a fleet with a plain service, whose requests take a while to its endpoints.
fn distant_service(nodes: u16, endpoints: u16) -> Shape {
    Shape {
        endpoint_latency: Span::from_millis(1),
        ..plain_service(nodes, endpoints)
    }
}

/// The time for which the endpoints are brittle.
const BRITTLE_FOR: Span = Span::from_secs(12);

/// Returns a fleet under load whose endpoints are brittle from now on.
fn brittle_fleet(shape: Shape, service: &'static str, per_second: u64, tolerance: u32) -> World {
    let span = BRITTLE_FOR + SECOND;
    let mut world = under_load(shape, service, per_second, span);
    world.brittle = Some(Brittle::new(world.now, tolerance, 0));
    world
}

/// Asserts that no more endpoints fell than two and a tenth of them.
fn assert_few_fell(world: &World) {
    let brittle = world.brittle.as_ref().expect("endpoints are brittle");
    let most = 2 + world.endpoints().len() / 10;
    let (falls, rejections) = (brittle.falls.len(), brittle.rejections());
    assert!(falls <= most, "{falls} fell after {rejections} rejections");
}

#[rstest]
#[case::seven_hosts_overloaded(small(), MODEL, 300, 2)]
#[case::sixteen_hosts_overloaded(distant_service(16, 8), SERVICE, 1_200, 5)]
#[case::five_hosts_overloaded_and_no_tolerance(distant_service(5, 6), SERVICE, 900, 0)]
#[case::cells(middle(), MODEL, 1_500, 5)]
fn brittle_endpoints_do_not_fall_over(
    #[case] shape: Shape,
    #[case] service: &'static str,
    #[case] per_second: u64,
    #[case] tolerance: u32,
) {
    let mut world = brittle_fleet(shape, service, per_second, tolerance);
    world.run_for(BRITTLE_FOR);
    assert_few_fell(&world);
}

#[rstest]
#[case::seven_hosts(small(), MODEL, 150, 90.0)]
#[case::sixteen_hosts(distant_service(16, 8), SERVICE, 600, 95.0)]
#[case::cells(middle(), MODEL, 900, 90.0)]
fn callers_of_brittle_endpoints_are_served_below_capacity(
    #[case] shape: Shape,
    #[case] service: &'static str,
    #[case] per_second: u64,
    #[case] in_time: f64,
) {
    let mut world = brittle_fleet(shape, service, per_second, 5);
    let from = world.now;
    world.run_for(BRITTLE_FOR);
    assert_few_fell(&world);
    let seen = world.arrived_between(from + SECOND, world.now - SECOND);
    assert_in_time(&seen, in_time);
}

/// Kills each node for a moment, one after the other.
fn kill_in_turn(world: &mut World) {
    for turn in 0..20 {
        let nodes = all_nodes(world).len();
        kill_for(world, &[turn % nodes as u16], Span::from_millis(100));
        world.run_for(Span::from_millis(500));
    }
}

/// Kills half of the nodes once fewer requests may wait.
fn kill_half(world: &mut World) {
    world.run_for(Span::from_secs(4));
    let half: Vec<u16> = all_nodes(world).into_iter().step_by(2).collect();
    kill_for(world, &half, SECOND);
    world.run_for(Span::from_secs(7));
}

/// Cuts half of the nodes off from the other half.
fn partition(world: &mut World) {
    world.run_for(Span::from_secs(4));
    world.partition_of = Some(|node| node % 2);
    world.run_for(Span::from_secs(4));
    world.partition_of = None;
    world.run_for(Span::from_secs(4));
}

#[rstest]
#[case::kill_in_turn(kill_in_turn)]
#[case::kill_half(kill_half)]
#[case::partition(partition)]
fn brittle_endpoints_stay_up_while_owners_change(#[case] disrupt: fn(&mut World)) {
    let mut world = brittle_fleet(distant_service(9, 10), SERVICE, 1_400, 5);
    disrupt(&mut world);
    assert_few_fell(&world);
}

/// Nodes of the previous build, which serve no callers here, must not be asked for slots that they
/// would hand out without bound.
#[test]
fn nodes_of_this_build_keep_brittle_endpoints_up_beside_those_before() {
    let mut world = World::start(distant_service(9, 10));
    let nodes = all_nodes(&world);
    let (own, before): (Vec<u16>, Vec<u16>) = nodes.iter().partition(|node| **node % 2 == 1);
    world.previous_build = before.into_iter().collect();
    world.previous_protocol = Protocol::FORWARDING;
    world.run_for(SECOND);
    load(&mut world, SERVICE, 1_400, BRITTLE_FOR, &own);
    world.brittle = Some(Brittle::new(world.now, 5, 0));
    world.run_for(BRITTLE_FOR);
    assert_few_fell(&world);
}
