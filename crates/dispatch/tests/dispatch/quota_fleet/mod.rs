//! Quotas of a whole fleet, whose nodes ask the owners of quotas while some are
//! partitioned, killed and restarted. The simulation is the same in each run.

use proptest::prelude::*;
use rstest::rstest;
use woadstage_dispatch::dispatcher::Charge;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::message::Reserve;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::message::Usage;
use woadstage_dispatch::message::Verdict;
use woadstage_dispatch::quota;
use woadstage_dispatch::quota::Demand;
use woadstage_types::unit::Span;

use crate::support::at;
use crate::support::node;
use crate::support::options;

mod world;

use world::FLEET_NODES;
use world::Fleet;
use world::OVERRUN;
use world::Outage;
use world::REQUEST_UNITS;
use world::SLACK_UNITS;
use world::STEP_MILLIS;
use world::WINDOW_MILLIS;
use world::kill;
use world::partition;
use world::quota;

#[rstest]
#[case::nothing_happens(300_000.0, &[])]
#[case::a_small_limit(30_000.0, &[])]
#[case::a_third_is_partitioned(300_000.0, &[partition(0..10, 8_000, 14_000)])]
#[case::a_third_is_partitioned_under_a_small_limit(30_000.0, &[partition(0..10, 8_000, 14_000)])]
#[case::a_third_is_partitioned_twice(100_000.0, &[partition(0..10, 8_000, 12_000), partition(15..25, 13_000, 17_000)])]
#[case::a_flapping_partition(100_000.0, &[partition(0..10, 8_000, 9_000), partition(0..10, 10_000, 11_000), partition(0..10, 12_000, 13_000)])]
#[case::half_is_killed(300_000.0, &[kill(0..15, 8_000, 10_000)])]
#[case::half_is_killed_under_a_small_limit(30_000.0, &[kill(0..15, 8_000, 10_000)])]
#[case::all_are_killed(300_000.0, &[kill(0..30, 8_000, 9_000)])]
#[case::killed_and_partitioned(100_000.0, &[kill(0..15, 8_000, 10_000), partition(20..28, 9_000, 14_000)])]
fn a_fleet_keeps_to_the_limit(#[case] rate: f64, #[case] outages: &[Outage]) {
    let mut fleet = Fleet::new(rate, outages);
    // The callers ask for fifteen times the limit or more.
    for millis in (0..20_000).step_by(STEP_MILLIS as usize) {
        let requests = if millis < 3_000 { 0 } else { 1 };
        fleet.step(millis, requests);
    }
    let quota = quota(rate);
    let base = rate * WINDOW_MILLIS as f64 / 1_000.0 + quota.burst;
    let allowed = base * (1.0 + OVERRUN) + SLACK_UNITS;
    let most = fleet.max_admitted_in_window() as f64;
    assert!(most <= allowed, "{most} of {allowed}");
    // Before the first outage the fleet admits at least the limit.
    let undisturbed = fleet.admitted_in(3_000..8_000) as f64;
    assert!(undisturbed >= rate * 5.0, "{undisturbed}");
}

#[test]
fn the_next_owner_replaces_one_that_is_gone() {
    let mut fleet = Fleet::new(300_000.0, &[kill(0..15, 4_000, 9_000)]);
    for millis in (0..9_000).step_by(STEP_MILLIS as usize) {
        let requests = if millis < 3_000 { 0 } else { 1 };
        fleet.step(millis, requests);
    }
    // From the kill on, the remaining nodes serve at least 80 % of their share.
    let served = fleet.admitted_in(4_000..8_000) as f64;
    assert!(served >= 300_000.0 * 4.0 * 0.4, "{served}");
}

#[test]
fn an_owner_that_does_not_know_a_customer_causes_no_refusal() {
    let mut fleet = Fleet::new(300_000.0, &[]);
    for millis in (0..3_000).step_by(STEP_MILLIS as usize) {
        fleet.step(millis, 0);
    }
    // More than a node's share of the initial credit.
    let demand = Demand {
        units: 100_000,
        relative_priority: 0.0,
        backlogged: false,
    };
    let customer = fleet.customer.clone();
    let (index, owner, reserve) = (0..usize::from(FLEET_NODES))
        .find_map(|index| {
            let dispatcher = fleet.nodes[index].as_mut()?;
            match dispatcher.charge(at(3_000), &customer, demand, Span::from_secs(5)) {
                Charge::Ask(owner, reserve) => Some((index, owner, reserve)),
                _ => None,
            }
        })
        .expect("all nodes but the owner ask");
    let mut unconfigured = Dispatcher::new(options(99));
    assert_eq!(unconfigured.reserve(at(3_000), &reserve), Verdict::Unknown);
    let dispatcher = fleet.nodes[index].as_mut().expect("the node runs");
    let left = Span::from_secs(5);
    let verdict = Some(Verdict::Unknown);
    let next = dispatcher.finish_reservation(at(3_000), owner, &customer, demand, left, verdict);
    // Another owner is asked, or this node decides itself.
    assert!(!matches!(next, Charge::Ask(again, _) if again == owner));
}

#[test]
fn a_refund_goes_to_the_owner() {
    let mut fleet = Fleet::new(30_000.0, &[]);
    for millis in (0..3_000).step_by(STEP_MILLIS as usize) {
        fleet.step(millis, 0);
    }
    let customer = fleet.customer.clone();
    let dispatcher = fleet.nodes[0].as_mut().expect("the node runs");
    let message = dispatcher.refund(&customer, 70, Some(node(4)));
    let (owner, release) = message.expect("a message to the owner");
    assert_eq!((owner, release.units), (node(4), 70));
    assert_eq!(dispatcher.refund(&customer, 70, None), None);
}

#[rstest]
#[case::nothing_happens(&[])]
#[case::one_is_restarted(&[kill(1..2, 6_000, 6_500)])]
#[case::each_is_restarted(&[kill(1..2, 6_000, 6_200), kill(2..3, 8_000, 8_200), kill(3..4, 10_000, 10_200), kill(0..1, 12_000, 12_200)])]
#[case::one_is_down_for_long(&[kill(1..2, 4_000, 9_000)])]
#[case::one_is_partitioned(&[partition(1..2, 6_000, 9_000)])]
fn a_small_fleet_keeps_to_the_limit_while_callers_move(#[case] outages: &[Outage]) {
    let rate = 60_000.0;
    let mut fleet = Fleet::with_nodes(4, rate, outages);
    for millis in (0..16_000).step_by(STEP_MILLIS as usize) {
        // All callers use one node, and move to the next each 1.5 s.
        let active = (millis / 1_500 % 4) as u8;
        fleet.step_with(millis, |number| match millis < 3_000 || number != active {
            true => 0,
            false => 2,
        });
    }
    let quota = quota(rate);
    let base = rate * WINDOW_MILLIS as f64 / 1_000.0 + quota.burst;
    // The part of the allowance that nodes may use, the initial credit after a start,
    // and one request for each node.
    let quota::Options { part, initial, .. } = quota::Options::default();
    let usable = part + initial;
    let allowed =
        base * (1.0 + OVERRUN * usable) + SLACK_UNITS * usable + 4.0 * REQUEST_UNITS as f64;
    let most = fleet.max_admitted_in_window() as f64;
    assert!(most <= allowed, "{most} of {allowed}");
}

/// The number of requests that a node admits right after its start, by its first event.
fn admitted_at_start(first: impl Fn(&mut Dispatcher, u64)) -> usize {
    let mut fleet = Fleet::with_nodes(1, 60_000.0, &[]);
    fleet.initial = 0.0;
    let customer = fleet.customer.clone();
    let mut dispatcher = fleet.make_node(0);
    first(&mut dispatcher, customer.name.to_number());
    let demand = Demand {
        units: REQUEST_UNITS,
        relative_priority: 0.0,
        backlogged: false,
    };
    let left = Span::from_secs(5);
    let charges =
        (0..50).map(|millis| dispatcher.charge(at(10_000 + millis), &customer, demand, left));
    charges.filter(|charge| *charge == Charge::Admitted).count()
}

#[rstest]
#[case::a_request(&|_: &mut Dispatcher, _| {})]
#[case::a_status(&|dispatcher: &mut Dispatcher, customer| {
    let usage = vec![Usage { customer, units: 0 }];
    let status = Status { incarnation: 9, sequence: 1, usage, ..Status::default() };
    dispatcher.receive_status(at(9_990), node(7), status);
})]
#[case::a_reservation(&|dispatcher: &mut Dispatcher, customer| {
    let reserve = Reserve { number: 1, customer, units: REQUEST_UNITS, relative_priority: 0, backlogged: false };
    assert!(matches!(dispatcher.reserve(at(9_990), &reserve), Verdict::Denied(_)));
})]
fn a_node_starts_with_empty_buckets_whatever_comes_first(
    #[case] first: &dyn Fn(&mut Dispatcher, u64),
) {
    assert_eq!(admitted_at_start(first), 0);
}

/// After all nodes were killed, a customer far below its limit needs more than a node's
/// share of the initial credit.
#[test]
fn a_node_that_has_just_started_does_not_refuse_customers_below_their_limit() {
    let mut fleet = Fleet::new(60_000.0, &[kill(0..FLEET_NODES, 4_000, 4_500)]);
    for millis in (0..6_000).step_by(STEP_MILLIS as usize) {
        // One request of 3,000 units each 100 ms is half of the limit.
        let asks = millis >= 2_000 && millis % 100 == 0;
        let active = (millis / 100 % u64::from(FLEET_NODES)) as u8;
        fleet.step_with(millis, |number| u64::from(asks && number == active));
    }
    let asked = (4_500..6_000).step_by(100).count() as u64 * REQUEST_UNITS;
    assert_eq!(fleet.admitted_in(4_500..6_000), asked);
}

#[test]
fn a_request_without_time_to_wait_is_answered_at_once() {
    let mut fleet = Fleet::with_nodes(1, 60_000.0, &[]);
    fleet.initial = 0.0;
    let customer = fleet.customer.clone();
    let mut dispatcher = fleet.make_node(0);
    let demand = Demand {
        units: REQUEST_UNITS,
        relative_priority: 0.0,
        backlogged: false,
    };
    let discovery_ends_at = at(10_000) + quota::Options::default().discovery_time;
    let mut charge =
        |left| dispatcher.charge(at(10_000), &customer, demand, Span::from_millis(left));
    assert_eq!(charge(5_000), Charge::Wait(discovery_ends_at));
    assert!(matches!(charge(200), Charge::Refused(..)));
}

/// Lets a customer ask a fleet for many times its limit. Returns the most units admitted
/// in a window, and the most that are allowed.
fn max_admitted_under(nodes: u8, rate: f64, outages: &[Outage]) -> (f64, f64) {
    let mut fleet = Fleet::with_nodes(nodes, rate, outages);
    for millis in (0..18_000).step_by(STEP_MILLIS as usize) {
        let requests = if millis < 2_000 { 0 } else { 2 };
        fleet.step(millis, requests);
    }
    let quota = quota(rate);
    let base = rate * WINDOW_MILLIS as f64 / 1_000.0 + quota.burst;
    (
        fleet.max_admitted_in_window() as f64,
        base * (1.0 + OVERRUN) + SLACK_UNITS,
    )
}

#[rstest]
#[case::once(&[kill(0..6, 9_000, 9_500)])]
#[case::twice_in_a_window(&[kill(0..6, 9_000, 9_500), kill(0..6, 13_000, 13_500)])]
#[case::three_times_in_a_window(&[kill(0..6, 8_000, 8_300), kill(0..6, 10_000, 10_300), kill(0..6, 12_000, 12_300)])]
#[case::after_a_long_downtime(&[kill(0..6, 9_000, 12_000)])]
fn a_fleet_that_is_killed_keeps_to_the_limit(
    #[case] outages: &[Outage],
    #[values(10_000.0, 60_000.0, 200_000.0)] rate: f64,
) {
    let (most, allowed) = max_admitted_under(6, rate, outages);
    assert!(most <= allowed, "{most} of {allowed}");
}

#[rstest]
#[case::answered_late(8, 108_071.9, &[kill(5..6, 6_849, 8_681), kill(0..4, 8_116, 9_121)])]
#[case::seeds_probed_late(6, 165_715.1, &[kill(3..5, 7_863, 8_961), kill(0..3, 8_941, 9_361)])]
fn nodes_that_restart_while_their_seeds_are_down_do_not_take_a_few_nodes_for_all(
    #[case] nodes: u8,
    #[case] rate: f64,
    #[case] outages: &[Outage],
) {
    let (most, allowed) = max_admitted_under(nodes, rate, outages);
    assert!(most <= allowed, "{most} of {allowed}");
}

/// Guards against usage that is lost with killed nodes, beside a limit of a few requests a second.
#[test]
fn requests_admitted_right_before_their_nodes_are_killed_count() {
    let (most, allowed) = max_admitted_under(8, 12_125.9, &[kill(0..5, 9_121, 9_381)]);
    assert!(most <= allowed, "{most} of {allowed}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Any nodes are killed at any times and restarted after any downtime.
    #[test]
    fn a_fleet_with_random_kills_keeps_to_the_limit(
        nodes in 2u8..9,
        rate in 10_000.0f64..200_000.0,
        kills in prop::collection::vec((0u8..9, 1u8..9, 6_000u64..14_000, 200u64..2_000), 1..6),
    ) {
        let outages: Vec<Outage> = kills
            .iter()
            .map(|(first, count, from, lasts)| kill(*first..first + count, *from, from + lasts))
            .collect();
        let (most, allowed) = max_admitted_under(nodes, rate, &outages);
        prop_assert!(most <= allowed, "{most} of {allowed}");
    }
}

#[test]
fn a_customer_below_its_limit_is_served_after_all_were_killed() {
    let mut fleet = Fleet::with_nodes(6, 200_000.0, &[kill(0..6, 9_000, 9_500)]);
    for millis in (0..12_000).step_by(STEP_MILLIS as usize) {
        // Half of the limit: 3,000 units every 30 ms, at the nodes in turn.
        let turn = millis / STEP_MILLIS;
        let asked = u64::from(turn % 3 != 2);
        fleet.step_with(millis, |number| match turn % 6 == u64::from(number) {
            true => asked,
            false => 0,
        });
    }
    let asked = 1_000.0 * 0.1 * 2.0 / 3.0 * 0.5 * REQUEST_UNITS as f64;
    let served = fleet.admitted_in(9_500..10_500) as f64;
    assert!(served >= asked * 0.5, "{served} of {asked}");
}
