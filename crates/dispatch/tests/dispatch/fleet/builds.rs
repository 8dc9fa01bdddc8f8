//! Nodes of the build before and of this one, side by side: they hear each other, and
//! each slot, quota and list has its owners and readers among all of them.

use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job::Fingerprint;

use super::*;

/// Requests in a hundred that may more come to an endpoint without a free slot, or be late,
/// than while the same nodes are restarted under one build.
const MAX_WORSE_PERCENT: f64 = 1.0;

fn fleet() -> World {
    let mut world = World::start(Shape {
        nodes: 26,
        centres: 3,
        ..shape()
    });
    world.previous_build = all_nodes(&world).into_iter().collect();
    world
}

/// Restarts a node under the other build.
fn change_build(world: &mut World, node: u16, life: u64) {
    world.kill(node);
    if !world.previous_build.remove(&node) {
        world.previous_build.insert(node);
    }
    world.boot(node, life);
}

/// A roll: how many nodes are restarted at once, how many of all before it stops, and
/// whether it goes back then.
#[derive(Clone, Copy)]
struct Roll {
    at_once: usize,
    changed: usize,
    back: bool,
}

#[rstest]
#[case::one_at_a_time(1, 78, false)]
#[case::six_at_a_time(6, 78, false)]
#[case::stopped_half_way(3, 39, false)]
#[case::back_again(6, 39, true)]
fn slots_are_given_once_and_lists_reach_all(
    #[case] at_once: usize,
    #[case] changed: usize,
    #[case] back: bool,
) {
    let roll = Roll {
        at_once,
        changed,
        back,
    };
    let two = outcomes_of(roll, change_build);
    let one = outcomes_of(roll, restart);
    let percent = |outcomes: &[Outcome], is: fn(&Outcome) -> bool| share(outcomes, is) * 100.0;
    let queued = |outcomes: &[Outcome]| percent(outcomes, |one| one.queued);
    let in_time = |outcomes: &[Outcome]| percent(outcomes, is_in_time);
    let (with_two, with_one) = (queued(&two), queued(&one));
    assert!(
        with_two <= with_one + MAX_WORSE_PERCENT,
        "{with_two}, {with_one}"
    );
    let (with_two, with_one) = (in_time(&two), in_time(&one));
    assert!(
        with_two >= with_one - MAX_WORSE_PERCENT,
        "{with_two}, {with_one}"
    );
}

/// Restarts a node under its own build.
fn restart(world: &mut World, node: u16, life: u64) {
    world.kill(node);
    world.boot(node, life);
}

/// The requests that come during a roll, after which all nodes have the newest list.
fn outcomes_of(roll: Roll, replace: fn(&mut World, u16, u64)) -> Vec<Outcome> {
    let Roll {
        at_once,
        changed,
        back,
    } = roll;
    let mut world = fleet();
    let all = all_nodes(&world);
    // Four fifths of what the endpoints can do.
    load(&mut world, MODEL, 380, Span::from_secs(20), &all);
    world.run_for(SECOND);
    let from = world.now;
    let mut turns: Vec<&[u16]> = all[..changed].chunks(at_once).collect();
    if back {
        turns.extend(all[..changed].chunks(at_once));
    }
    let pause = Span(Span::from_secs(12).0 / turns.len() as u64);
    for (life, turn) in (2..).zip(turns) {
        for node in turn {
            replace(&mut world, *node, life);
        }
        world.run_for(pause);
        let list = List {
            era: Era(1),
            revision: world.list.revision + 1,
            ..(*world.list).clone()
        };
        world.publish_to_readers(list);
    }
    world.run_for(Span::from_secs(2));
    let wanted = world.list.revision;
    let behind = world.nodes.values();
    let behind = behind.filter(|node| node.edition().revision < wanted);
    assert_eq!(behind.count(), 0);
    world.arrived_between(from, world.now)
}

/// All are killed while half are of either build.
#[test]
fn a_mass_restart_in_the_middle() {
    let mut world = fleet();
    let all = all_nodes(&world);
    for node in all.iter().filter(|node| *node % 2 == 0) {
        change_build(&mut world, *node, 2);
    }
    world.run_for(SECOND);
    kill_for(&mut world, &all, SECOND);
    world.run_for(Span::from_secs(3));
    let outcomes = serve(&mut world, MODEL, 380, Span::from_secs(4), &all);
    assert_in_time(&outcomes, 90.0);
    assert_queued(&outcomes, 3.0);
}

/// What crashes endpoints is barred by all, whichever build saw the ends.
#[test]
fn a_request_that_crashes_endpoints_is_barred_by_both() {
    let crashing = Fingerprint(0xc4a5);
    let mut world = fleet();
    let all = all_nodes(&world);
    for node in all.iter().filter(|node| *node % 2 == 0) {
        change_build(&mut world, *node, 2);
    }
    world.run_for(SECOND);
    world.crashing.insert(crashing);
    for number in 0..40 {
        let node = all[number * 7 % all.len()];
        let after = Span::from_millis(200 * number as u64);
        world.arrive(after, node, |when| Job {
            fingerprint: crashing,
            ..request(MODEL)(when)
        });
    }
    world.run_for(Span::from_secs(9));
    let third = world.crashes.get(2).map_or(world.now, |one| one.when);
    let late = world.crash_arrivals.iter();
    let late = late.filter(|(at, _, _)| at.since(third) > Span::from_secs(3));
    assert!(late.count() <= 3, "{} crashes", world.crashes.len());
}
