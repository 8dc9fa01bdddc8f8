//! How late a node is with its own work, and the new connections that it declines.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::job::End;
use woadstage_dispatch::lateness::Limit;
use woadstage_dispatch::lateness::Meter;
use woadstage_dispatch::message::Status;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::MODEL;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::node;
use crate::support::options;

/// The interval of the node's timer.
const TICK_MS: u64 = 20;

fn ms(millis: u64) -> Span {
    Span::from_millis(millis)
}

#[rstest]
#[case::never(&[0, 1, 0, 1], 0)]
#[case::one_pause(&[0, 700, 0, 0], 0)]
#[case::frozen_for_a_part_of_each_tenth_of_a_second(&[60, 0, 70, 0, 80, 0], 0)]
#[case::always(&[0, 90, 40, 60], 40)]
fn only_delays_that_last_make_a_node_late(#[case] delays_ms: &[u64], #[case] expected_ms: u64) {
    let mut meter = Meter::default();
    for (number, delay) in delays_ms.iter().enumerate() {
        meter.record(at(number as u64 * TICK_MS), ms(*delay));
    }
    assert_eq!(meter.delay(), ms(expected_ms));
    assert_eq!(meter.is_late(), expected_ms > 0);
}

/// A node that gets so many connections done a second, and is late by what it has not got done.
struct Node {
    capacity: f64,
    backlog: f64,
    limit: Limit,
}

impl Node {
    /// Offers connections at a rate, and returns how many were accepted.
    fn offer(&mut self, from: Time, length: Span, per_second: u64) -> u64 {
        let mut accepted = 0;
        let mut offered = 0;
        for tick in 1..=length.0 / ms(TICK_MS).0 {
            let elapsed = ms(tick * TICK_MS);
            let now = from + elapsed;
            while offered * 1_000_000 < elapsed.0 * per_second {
                offered += 1;
                if self.limit.try_accept(now) {
                    accepted += 1;
                    self.backlog += 1.0;
                }
            }
            let done = self.capacity * ms(TICK_MS).as_secs_f64();
            self.backlog = (self.backlog - done).max(0.0);
            let delay = Span::from_millis((self.backlog / self.capacity * 1_000.0) as u64);
            self.limit.adjust(now, delay, true);
        }
        accepted
    }
}

#[rstest]
#[case::four_times_its_capacity(56, 220)]
#[case::a_fifth_more(200, 240)]
fn the_limit_follows_what_a_node_gets_done(#[case] capacity: u64, #[case] per_second: u64) {
    let mut node = Node {
        capacity: capacity as f64,
        backlog: 0.0,
        limit: Limit::default(),
    };
    node.offer(at(0), ms(3_000), per_second);
    let accepted = node.offer(at(3_000), ms(5_000), per_second);
    assert!(accepted <= 5 * capacity * 11 / 10, "{accepted}");
    assert!(accepted >= 5 * capacity * 6 / 10, "{accepted}");
    // Half of its capacity is accepted whole once the limit has grown.
    node.offer(at(8_000), ms(3_000), capacity / 2);
    let accepted = node.offer(at(11_000), ms(2_000), capacity / 2);
    assert_eq!(accepted, capacity);
    assert!(!node.limit.is_in_force());
}

/// Returns how many of 100 connections a late node accepts beside others, some of them late.
fn accepted_beside(others: u8, late: u8) -> usize {
    let mut dispatcher = Dispatcher::new(options(1));
    for number in 2..2 + others {
        let status = Status {
            incarnation: 1,
            sequence: 1,
            is_late: number < 2 + late,
            ..Status::default()
        };
        dispatcher.receive_status(at(0), node(number), status);
    }
    for tick in 0..20 {
        dispatcher.record_delay(at(tick * TICK_MS), ms(200));
    }
    let accepted = (0..100).filter(|_| dispatcher.try_accept_connection(at(400)));
    accepted.count()
}

#[rstest]
#[case::alone(0, 0, 100)]
#[case::others_on_time(8, 0, 1)]
#[case::one_in_four_late(8, 2, 1)]
#[case::most_late(8, 5, 100)]
#[case::all_late(8, 8, 100)]
fn callers_are_left_only_to_nodes_that_are_on_time(
    #[case] others: u8,
    #[case] late: u8,
    #[case] expected: usize,
) {
    assert_eq!(accepted_beside(others, late), expected);
}

/// Makes a node late.
fn delay(dispatcher: &mut Dispatcher, until: Time) {
    for tick in 0..3 {
        dispatcher.record_delay(until - ms(60 - tick * TICK_MS), ms(200));
    }
}

/// Returns whether a node states that an endpoint which resets its calls is failing.
fn states_failure(is_late: bool) -> bool {
    let mut dispatcher = dispatcher(&[endpoint("e1", MODEL, 4)]);
    for call in 0..6 {
        let now = at(10 + call * 10);
        let id = dispatcher.enter(now, job(MODEL, 0, now));
        if is_late {
            delay(&mut dispatcher, now);
        }
        dispatcher.end(now + ms(2), id, End::Lost);
    }
    let status = dispatcher.status(at(80));
    let mut loads = status.loads.iter();
    loads.any(|load| load.unavailability.is_some())
}

#[rstest]
#[case::on_time(false, true)]
#[case::late(true, false)]
fn a_late_node_does_not_vouch_for_failures(#[case] is_late: bool, #[case] expected: bool) {
    assert_eq!(states_failure(is_late), expected);
}
