//! Tests of callers that retry once when they are refused, with and without bookings. Without them
//! a retry is refused as often as a first try, and that costs a caller the most.

use woadstage_dispatch::activation::Activation;
use woadstage_dispatch::booking::Counts;
use woadstage_dispatch::booking::Start;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::map::HashMap;

use super::*;

/// The time of a call of a plain service.
const PLAIN_CALL: Span = Span::from_millis(30);

/// The time of a stream.
const STREAM_CALL: Span = Span::from_millis(400);

/// Callers of a plain service with the times of the booking deployment.
const PLAIN: Load = Load {
    service: SERVICE,
    objective: Span::from_millis(150),
    timeout: Span::from_millis(1_200),
};

/// Callers of streams of the booking deployment's most protected rank.
const STREAM: Load = Load {
    service: MODEL,
    objective: Span::from_millis(600),
    timeout: Span::from_secs(8),
};

/// Two cells in one data centre, whose 40 slots serve 400 calls of 100 ms in a second.
fn two_cells(bookings: Activation) -> Shape {
    Shape {
        nodes: 40,
        centres: 1,
        endpoints: 10,
        slots: 4,
        service: SERVICE,
        call_time: Span::from_millis(100),
        callers_retry: true,
        policy: Policy {
            bookings,
            ..Policy::default()
        },
        ..shape()
    }
}

/// A load of callers, each with a fingerprint of its own.
#[derive(Debug, Clone, Copy)]
struct Load {
    service: &'static str,
    objective: Span,
    timeout: Span,
}

impl Load {
    /// Sends requests to random nodes, at an average rate and for a span.
    fn run(self, world: &mut World, per_second: u64, span: Span) {
        let nodes = all_nodes(world);
        for number in 0..per_second * span.0 / SECOND.0 {
            let drawn = hash::chain(world.now.0, &number.to_le_bytes());
            let node = nodes[(drawn >> 32) as usize % nodes.len()];
            world.arrive(Span(drawn % span.0), node, |when| Job {
                fingerprint: Fingerprint(drawn),
                objective: self.objective,
                deadline: when + self.timeout,
                caller_timeout: self.timeout,
                ..job(self.service, 2, when)
            });
        }
        world.run_for(span);
    }
}

/// What became of the callers of a load.
#[derive(Debug, Default)]
struct Tally {
    callers: usize,
    /// Those served within the objective, counted from the first try.
    in_time: usize,
    refused: usize,
    retries: usize,
    refused_retries: usize,
}

impl Tally {
    /// Counts the callers that first tried since a time, whose calls have this objective.
    fn of(world: &World, from: Time, objective: Span) -> Tally {
        let mut callers: HashMap<Fingerprint, Vec<Outcome>> = HashMap::default();
        for outcome in world.outcomes.values() {
            let tries = callers.entry(outcome.fingerprint).or_default();
            tries.push(*outcome);
        }
        let mut tally = Tally::default();
        for tries in callers.values_mut() {
            tries.sort_by_key(|one| one.arrived);
            let first = tries[0];
            if first.arrived < from {
                continue;
            }
            let began = tries.iter().find_map(|one| one.began);
            let in_time = began.is_some_and(|at| at.since(first.arrived) <= objective);
            tally.callers += 1;
            tally.in_time += usize::from(in_time);
            tally.refused += usize::from(first.refused);
            tally.retries += tries.len() - 1;
            tally.refused_retries += tries[1..].iter().filter(|one| one.refused).count();
        }
        tally
    }

    fn refused_share(&self) -> f64 {
        self.refused as f64 / self.callers.max(1) as f64
    }

    fn refused_share_of_retries(&self) -> f64 {
        self.refused_retries as f64 / self.retries.max(1) as f64
    }
}

/// Returns the counts of bookings of all nodes.
fn counts(world: &World) -> Counts {
    let mut total = Counts::default();
    for dispatcher in world.nodes.values() {
        for summary in dispatcher.summaries(world.now) {
            total.made += summary.bookings.made;
            total.claimed += summary.bookings.claimed;
            total.expired += summary.bookings.expired;
            total.refused += summary.bookings.refused;
        }
    }
    total
}

/// Takes the starts of claimed requests on all nodes.
fn take_starts(world: &mut World) -> Vec<Start> {
    let nodes = world.nodes.values_mut();
    nodes.flat_map(Dispatcher::take_booking_starts).collect()
}

/// Asserts that bookings were made and claimed, and that 95% of the claims were served.
fn assert_claims_served(world: &mut World) {
    let counts = counts(world);
    let starts = take_starts(world);
    let served = starts.len() as f64 / counts.claimed as f64;
    assert!(counts.claimed * 10 >= counts.made * 8, "{counts:?}");
    assert!(
        counts.claimed >= 20 && served >= 0.95,
        "{counts:?} {served}"
    );
}

/// Runs a load at 0.7 times the capacity for two seconds and at another rate for four. Returns
/// what became of the callers of the latter.
fn overload(world: &mut World, load: Load, capacity: u64, percent: u64) -> Tally {
    load.run(world, capacity * 7 / 10, Span::from_secs(2));
    let from = world.now;
    load.run(world, capacity * percent / 100, Span::from_secs(4));
    world.run_for(Span::from_secs(4));
    // The answer of a plain call counts, and the first event of a stream.
    let answer = match load.service == SERVICE {
        true => PLAIN_CALL,
        false => Span::ZERO,
    };
    Tally::of(world, from, Span(load.objective.0 - answer.0))
}

/// With the remaining time as the sign of a retry, retries were admitted however late they would be
/// answered, and few first tries were served in time.
#[rstest]
#[case::plain_1_3(PLAIN, PLAIN_CALL, 1_200, 130)]
#[case::plain_2(PLAIN, PLAIN_CALL, 1_200, 200)]
#[case::stream_1_3(STREAM, STREAM_CALL, 400, 130)]
#[case::stream_2(STREAM, STREAM_CALL, 400, 200)]
fn retries_are_refused_less_often_than_first_tries(
    #[case] load: Load,
    #[case] call_time: Span,
    #[case] capacity: u64,
    #[case] percent: u64,
) {
    let run = |bookings| {
        let mut world = World::start(Shape {
            service: load.service,
            endpoints: (capacity * call_time.0 / SECOND.0 / 4) as u16,
            call_time,
            ..two_cells(bookings)
        });
        let tally = overload(&mut world, load, capacity, percent);
        (world, tally)
    };
    let (without, before) = run(Activation::Never);
    let (mut world, tally) = run(Activation::Always);
    assert!(tally.refused_share_of_retries() < tally.refused_share());
    assert!(tally.in_time >= before.in_time, "{tally:?} {before:?}");
    assert_claims_served(&mut world);
    assert_eq!(counts(&without), Counts::default());
}

/// A shared service's owners are anywhere in the fleet, so a caller may return to any of them.
#[test]
fn bookings_of_a_shared_service_are_known_to_all_its_owners() {
    let mut world = World::start(Shape {
        centres: 2,
        endpoints: 2,
        slots: 6,
        call_time: PLAIN_CALL,
        ..two_cells(Activation::Always)
    });
    let tally = overload(&mut world, PLAIN, 800, 150);
    assert!(tally.refused_share_of_retries() < tally.refused_share());
    assert_claims_served(&mut world);
    assert_all_finished(&mut world);
}

/// Bookings whose announcement is lost are unknown to the other owner, and their callers are
/// treated as new there.
#[test]
fn lost_announcements_cost_only_their_bookings() {
    let mut world = World::start(Shape {
        loss_percent: 2,
        call_time: PLAIN_CALL,
        ..two_cells(Activation::Always)
    });
    let tally = overload(&mut world, PLAIN, 1_333, 150);
    assert!(tally.refused_share_of_retries() < tally.refused_share());
    let counts = counts(&world);
    assert!(counts.claimed * 10 >= counts.made * 7, "{counts:?}");
    assert_all_finished(&mut world);
}

/// Each side of a partition keeps the bookings of its own callers.
#[test]
fn bookings_are_claimed_in_a_data_centre_that_is_cut_off() {
    let mut world = World::start(Shape {
        centres: 2,
        call_time: PLAIN_CALL,
        ..two_cells(Activation::Always)
    });
    PLAIN.run(&mut world, 1_800, Span::from_secs(1));
    world.partition_of = Some(|node| node % 2);
    // Until the owners on the other side count as silent.
    PLAIN.run(&mut world, 1_800, Span::from_secs(3));
    let before = counts(&world);
    PLAIN.run(&mut world, 4_000, Span::from_secs(3));
    world.run_for(SECOND);
    let after = counts(&world);
    let (made, claimed) = (after.made - before.made, after.claimed - before.claimed);
    assert!(
        made >= 100 && claimed * 10 >= made * 9,
        "{before:?} {after:?}"
    );
    world.partition_of = None;
    assert_all_finished(&mut world);
}

/// An owner is killed while callers wait to return. They are treated as new by the next owner of its
/// cell, which makes bookings of its own.
#[test]
fn bookings_go_on_when_an_owner_is_killed() {
    let mut world = World::start(Shape {
        call_time: PLAIN_CALL,
        ..two_cells(Activation::Always)
    });
    PLAIN.run(&mut world, 2_000, Span::from_secs(2));
    let made = |node: &u16| {
        let summaries = world.nodes[node].summaries(world.now);
        let made = summaries.iter().map(|summary| summary.bookings.made);
        made.sum::<u64>()
    };
    let owner = all_nodes(&world).into_iter().max_by_key(made);
    world.kill(owner.expect("nodes run"));
    world.run_for(SECOND);
    let before = counts(&world);
    PLAIN.run(&mut world, 2_000, Span::from_secs(2));
    world.run_for(SECOND);
    let after = counts(&world);
    let (made, claimed) = (after.made - before.made, after.claimed - before.claimed);
    assert!(
        made >= 50 && claimed * 10 >= made * 9,
        "{before:?} {after:?}"
    );
    assert_all_finished(&mut world);
}
