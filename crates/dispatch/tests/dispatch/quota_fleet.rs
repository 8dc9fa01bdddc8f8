//! What a fleet of many nodes gives out together, with owners that are asked,
//! while nodes are cut off, killed and started again. The world is virtual: the
//! same each run.

use std::net::SocketAddrV4;
use std::ops::Range;
use std::sync::Arc;

use proptest::prelude::*;
use rstest::rstest;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Quota;
use woadstage_dispatch::dispatcher::Charge;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::message::Reserve;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::message::Usage;
use woadstage_dispatch::message::Verdict;
use woadstage_dispatch::quota;
use woadstage_dispatch::quota::Demand;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::support::at;
use crate::support::node;
use crate::support::options;

/// Time between two steps of the world, in milliseconds.
const STEP: u64 = 20;

/// The window of the rule, in milliseconds.
const WINDOW: u64 = 8_000;

/// How far the rule lets the whole go beyond the limit.
const OVERRUN: f64 = 0.25;
const SLACK: f64 = 72_000.0;

/// Tokens of one request.
const REQUEST: u64 = 3_000;

/// Nodes of a fleet of several cells.
const NODES: u8 = 30;

/// Nodes that lose all others between two moments, or are not there at all.
#[derive(Clone)]
struct Trouble {
    nodes: Range<u8>,
    from: u64,
    to: u64,
    kill: bool,
}

struct Fleet {
    nodes: Vec<Option<Dispatcher>>,
    customer: Customer,
    troubles: Vec<Trouble>,
    lives: u64,
    /// The part of the allowance that is the initial credit.
    initial: f64,
    given: Vec<(u64, u64)>,
    asked: u64,
}

fn quota(rate: f64) -> Quota {
    Quota {
        per_second: rate,
        burst: rate * 2.0,
        plain_tokens: Some(1),
    }
}

impl Fleet {
    fn new(rate: f64, troubles: &[Trouble]) -> Fleet {
        Fleet::of(NODES, rate, troubles)
    }

    fn of(nodes: u8, rate: f64, troubles: &[Trouble]) -> Fleet {
        let customer = Customer {
            name: id::Customer::new("one"),
            keys: Vec::new(),
            priority: None,
            quota: Some(quota(rate)),
        };
        let mut fleet = Fleet {
            nodes: Vec::new(),
            customer,
            troubles: troubles.to_vec(),
            lives: 0,
            initial: quota::Options::default().initial,
            given: Vec::new(),
            asked: 0,
        };
        for number in 0..nodes {
            let made = fleet.make(number);
            fleet.nodes.push(Some(made));
        }
        fleet
    }

    fn make(&mut self, number: u8) -> Dispatcher {
        self.lives += 1;
        let mut dispatcher = Dispatcher::new(Options {
            incarnation: self.lives,
            seeds: vec![node(0), node(1), node(2)],
            quota: quota::Options {
                overrun: OVERRUN,
                slack: SLACK,
                initial: self.initial,
                ..quota::Options::default()
            },
            ..options(number)
        });
        let configuration = Configuration {
            version: 1,
            customers: Some(vec![self.customer.clone()]),
            ..Configuration::default()
        };
        dispatcher.set_configuration(at(0), Arc::new(configuration));
        dispatcher
    }

    fn troubled(&self, millis: u64, number: u8, kill: bool) -> bool {
        let mut now = self
            .troubles
            .iter()
            .filter(|one| one.kill == kill && (one.from..one.to).contains(&millis));
        now.any(|one| one.nodes.contains(&number))
    }

    /// The node at an address, where the two can reach each other.
    fn reached(&mut self, millis: u64, from: u8, to: SocketAddrV4) -> Option<&mut Dispatcher> {
        let number = to.ip().octets()[3];
        if self.troubled(millis, from, false) || self.troubled(millis, number, false) {
            return None;
        }
        self.nodes.get_mut(usize::from(number))?.as_mut()
    }

    fn step(&mut self, millis: u64, requests: u64) {
        self.step_asking(millis, |_| requests);
    }

    /// One step in which each node gets as many requests as `asked` says.
    fn step_asking(&mut self, millis: u64, asked: impl Fn(u8) -> u64) {
        for number in 0..self.nodes.len() as u8 {
            let killed = self.troubled(millis, number, true);
            let place = usize::from(number);
            match (killed, self.nodes[place].is_some()) {
                (true, true) => self.nodes[place] = None,
                (false, false) => self.nodes[place] = Some(self.make(number)),
                _ => {}
            }
            let Some(dispatcher) = &mut self.nodes[place] else {
                continue;
            };
            dispatcher.tick(at(millis));
            if let Some((status, due)) = dispatcher.statuses(at(millis)) {
                for to in due {
                    if let Some(other) = self.reached(millis, number, to) {
                        other.hear(at(millis), node(number), status.clone());
                    }
                }
            }
            for _ in 0..asked(number) {
                self.request(millis, number);
            }
        }
    }

    fn request(&mut self, millis: u64, number: u8) {
        let demand = Demand {
            units: REQUEST,
            routine: 0.0,
            pressed: false,
        };
        let customer = self.customer.clone();
        let place = usize::from(number);
        let Some(dispatcher) = &mut self.nodes[place] else {
            return;
        };
        let left = Span::from_secs(5);
        let mut charge = dispatcher.charge(at(millis), &customer, demand, left);
        while let Charge::Ask(owner, reserve) = charge {
            self.asked += 1;
            let verdict = self
                .reached(millis, number, owner)
                .map(|owner| owner.reserve(at(millis), &reserve));
            let dispatcher = self.nodes[place].as_mut().expect("it has just asked");
            charge = dispatcher.reserved(at(millis), owner, &customer, demand, left, verdict);
        }
        if charge == Charge::Admitted {
            self.given.push((millis, REQUEST));
        }
    }

    /// The most that was given out in any window of the rule.
    fn most(&self) -> u64 {
        let windows = self.given.iter().map(|(from, _)| {
            let within = self
                .given
                .iter()
                .filter(|(at, _)| (*from..from + WINDOW).contains(at));
            within.map(|(_, units)| units).sum()
        });
        windows.max().unwrap_or(0)
    }

    fn sum(&self, span: Range<u64>) -> u64 {
        let within = self.given.iter().filter(|(at, _)| span.contains(at));
        within.map(|(_, units)| units).sum()
    }
}

fn cut(nodes: Range<u8>, from: u64, to: u64) -> Trouble {
    Trouble {
        nodes,
        from,
        to,
        kill: false,
    }
}

fn kill(nodes: Range<u8>, from: u64, to: u64) -> Trouble {
    Trouble {
        nodes,
        from,
        to,
        kill: true,
    }
}

#[rstest]
#[case::nothing_happens(300_000.0, &[])]
#[case::a_small_limit(30_000.0, &[])]
#[case::a_third_is_cut_off(300_000.0, &[cut(0..10, 8_000, 14_000)])]
#[case::a_third_is_cut_off_under_a_small_limit(30_000.0, &[cut(0..10, 8_000, 14_000)])]
#[case::a_third_is_cut_off_twice(100_000.0, &[cut(0..10, 8_000, 12_000), cut(15..25, 13_000, 17_000)])]
#[case::a_cut_that_comes_and_goes(100_000.0, &[cut(0..10, 8_000, 9_000), cut(0..10, 10_000, 11_000), cut(0..10, 12_000, 13_000)])]
#[case::half_is_killed(300_000.0, &[kill(0..15, 8_000, 10_000)])]
#[case::half_is_killed_under_a_small_limit(30_000.0, &[kill(0..15, 8_000, 10_000)])]
#[case::all_are_killed(300_000.0, &[kill(0..30, 8_000, 9_000)])]
#[case::killed_and_cut(100_000.0, &[kill(0..15, 8_000, 10_000), cut(20..28, 9_000, 14_000)])]
fn a_fleet_keeps_to_the_limit(#[case] rate: f64, #[case] troubles: &[Trouble]) {
    let mut fleet = Fleet::new(rate, troubles);
    // Twenty times and more of what the limit lets through is asked for.
    for millis in (0..20_000).step_by(STEP as usize) {
        let requests = if millis < 3_000 { 0 } else { 1 };
        fleet.step(millis, requests);
    }
    let quota = quota(rate);
    let plain = rate * WINDOW as f64 / 1_000.0 + quota.burst;
    let allowed = plain * (1.0 + OVERRUN) + SLACK;
    let most = fleet.most() as f64;
    assert!(most <= allowed, "{most} of {allowed}");
    // And no less than the limit gives, where nothing happens for long.
    let calm = fleet.sum(3_000..8_000) as f64;
    assert!(calm >= rate * 5.0, "{calm}");
}

#[test]
fn an_owner_that_is_gone_is_passed_over_by_the_next() {
    let mut fleet = Fleet::new(300_000.0, &[kill(0..15, 4_000, 9_000)]);
    for millis in (0..9_000).step_by(STEP as usize) {
        let requests = if millis < 3_000 { 0 } else { 1 };
        fleet.step(millis, requests);
    }
    // From the moment of the kill on, what lives serves at least its part.
    let served = fleet.sum(4_000..8_000) as f64;
    assert!(served >= 300_000.0 * 4.0 * 0.4, "{served}");
}

#[test]
fn a_customer_without_a_quota_at_its_owner_is_not_refused_for_it() {
    let mut fleet = Fleet::new(300_000.0, &[]);
    for millis in (0..3_000).step_by(STEP as usize) {
        fleet.step(millis, 0);
    }
    // More than any node's share of the initial credit.
    let demand = Demand {
        units: 100_000,
        routine: 0.0,
        pressed: false,
    };
    let customer = fleet.customer.clone();
    let (place, owner, reserve) = (0..usize::from(NODES))
        .find_map(|place| {
            let dispatcher = fleet.nodes[place].as_mut()?;
            match dispatcher.charge(at(3_000), &customer, demand, Span::from_secs(5)) {
                Charge::Ask(owner, reserve) => Some((place, owner, reserve)),
                _ => None,
            }
        })
        .expect("all but the owner ask");
    let mut stranger = Dispatcher::new(options(99));
    assert_eq!(stranger.reserve(at(3_000), &reserve), Verdict::Unknown);
    let dispatcher = fleet.nodes[place].as_mut().expect("it lives");
    let left = Span::from_secs(5);
    let verdict = Some(Verdict::Unknown);
    let next = dispatcher.reserved(at(3_000), owner, &customer, demand, left, verdict);
    // Another is asked, or this node decides.
    assert!(!matches!(next, Charge::Ask(again, _) if again == owner));
}

#[test]
fn what_did_not_run_goes_back_to_the_owner() {
    let mut fleet = Fleet::new(30_000.0, &[]);
    for millis in (0..3_000).step_by(STEP as usize) {
        fleet.step(millis, 0);
    }
    let customer = fleet.customer.clone();
    let dispatcher = fleet.nodes[0].as_mut().expect("it lives");
    let told = dispatcher.give_back(&customer, 70, Some(node(4)));
    let (owner, release) = told.expect("the owner is told");
    assert_eq!((owner, release.units), (node(4), 70));
    assert_eq!(dispatcher.give_back(&customer, 70, None), None);
}

#[rstest]
#[case::nothing_happens(&[])]
#[case::one_is_started_again(&[kill(1..2, 6_000, 6_500)])]
#[case::each_is_started_again(&[kill(1..2, 6_000, 6_200), kill(2..3, 8_000, 8_200), kill(3..4, 10_000, 10_200), kill(0..1, 12_000, 12_200)])]
#[case::one_is_away_for_long(&[kill(1..2, 4_000, 9_000)])]
#[case::one_is_cut_off(&[cut(1..2, 6_000, 9_000)])]
fn a_small_fleet_keeps_to_the_limit_while_callers_move(#[case] troubles: &[Trouble]) {
    let rate = 60_000.0;
    let mut fleet = Fleet::of(4, rate, troubles);
    for millis in (0..16_000).step_by(STEP as usize) {
        // All callers are at one node, and at the next a second and a half later.
        let at_node = (millis / 1_500 % 4) as u8;
        fleet.step_asking(millis, |number| match millis < 3_000 || number != at_node {
            true => 0,
            false => 2,
        });
    }
    let quota = quota(rate);
    let plain = rate * WINDOW as f64 / 1_000.0 + quota.burst;
    // What the nodes are told to use of the overrun, what they may give out after
    // a start, and one request a node.
    let quota::Options { part, initial, .. } = quota::Options::default();
    let used = part + initial;
    let told = plain * (1.0 + OVERRUN * used) + SLACK * used + 4.0 * REQUEST as f64;
    let most = fleet.most() as f64;
    assert!(most <= told, "{most} of {told}");
}

/// What a node gives out that has only just started, by its first event.
fn given_at_start(first: impl Fn(&mut Dispatcher, u64)) -> usize {
    let mut fleet = Fleet::of(1, 60_000.0, &[]);
    fleet.initial = 0.0;
    let customer = fleet.customer.clone();
    let mut dispatcher = fleet.make(0);
    first(&mut dispatcher, customer.name.to_number());
    let demand = Demand {
        units: REQUEST,
        routine: 0.0,
        pressed: false,
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
    dispatcher.hear(at(9_990), node(7), status);
})]
#[case::a_question(&|dispatcher: &mut Dispatcher, customer| {
    let reserve = Reserve { number: 1, customer, units: REQUEST, routine: 0, pressed: false };
    assert!(matches!(dispatcher.reserve(at(9_990), &reserve), Verdict::Denied(_)));
})]
fn a_node_starts_with_empty_buckets_whatever_comes_first(
    #[case] first: &dyn Fn(&mut Dispatcher, u64),
) {
    assert_eq!(given_at_start(first), 0);
}

/// What a customer that asks for many times its limit gets of a fleet's nodes,
/// which are killed as `troubles` say: the most in a window, and what the rules
/// allow there.
fn most_under(nodes: u8, rate: f64, troubles: &[Trouble]) -> (f64, f64) {
    let mut fleet = Fleet::of(nodes, rate, troubles);
    for millis in (0..18_000).step_by(STEP as usize) {
        let requests = if millis < 2_000 { 0 } else { 2 };
        fleet.step(millis, requests);
    }
    let quota = quota(rate);
    let plain = rate * WINDOW as f64 / 1_000.0 + quota.burst;
    (fleet.most() as f64, plain * (1.0 + OVERRUN) + SLACK)
}

#[rstest]
#[case::once(&[kill(0..6, 9_000, 9_500)])]
#[case::twice_in_a_window(&[kill(0..6, 9_000, 9_500), kill(0..6, 13_000, 13_500)])]
#[case::three_times_in_a_window(&[kill(0..6, 8_000, 8_300), kill(0..6, 10_000, 10_300), kill(0..6, 12_000, 12_300)])]
#[case::after_a_long_time_away(&[kill(0..6, 9_000, 12_000)])]
fn a_fleet_that_is_killed_keeps_to_the_limit(
    #[case] troubles: &[Trouble],
    #[values(10_000.0, 60_000.0, 200_000.0)] rate: f64,
) {
    let (most, allowed) = most_under(6, rate, troubles);
    assert!(most <= allowed, "{most} of {allowed}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whichever nodes are killed, whenever, and however soon they are back.
    #[test]
    fn nodes_that_are_killed_at_random_keep_to_the_limit(
        nodes in 2u8..9,
        rate in 10_000.0f64..200_000.0,
        kills in prop::collection::vec((0u8..9, 1u8..9, 6_000u64..14_000, 200u64..2_000), 1..6),
    ) {
        let troubles: Vec<Trouble> = kills
            .iter()
            .map(|(first, count, from, lasts)| kill(*first..first + count, *from, from + lasts))
            .collect();
        let (most, allowed) = most_under(nodes, rate, &troubles);
        prop_assert!(most <= allowed, "{most} of {allowed}");
    }
}

#[test]
fn a_customer_below_its_limit_is_served_on_once_all_were_killed() {
    let mut fleet = Fleet::of(6, 200_000.0, &[kill(0..6, 9_000, 9_500)]);
    for millis in (0..12_000).step_by(STEP as usize) {
        // Half of the limit: 3,000 units every 30 ms, at one node after the other.
        let turn = millis / STEP;
        let asked = u64::from(turn % 3 != 2);
        fleet.step_asking(millis, |number| match turn % 6 == u64::from(number) {
            true => asked,
            false => 0,
        });
    }
    let asked = 1_000.0 * 0.1 * 2.0 / 3.0 * 0.5 * REQUEST as f64;
    let served = fleet.sum(9_500..10_500) as f64;
    assert!(served >= asked * 0.5, "{served} of {asked}");
}
