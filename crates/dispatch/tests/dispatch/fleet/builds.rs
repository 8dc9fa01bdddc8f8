//! Nodes of the previous build and of this one in one fleet. They hear each other, and
//! the owners of slots and quotas and the readers of lists are among all of them.

use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job::Fingerprint;

use super::*;

/// The percentage of requests by which a mixed fleet may do worse than a fleet of one build
/// under the same restarts: sent to an endpoint without a free slot, or late.
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
fn change_build(world: &mut World, node: u16, incarnation: u64) {
    world.kill(node);
    if !world.previous_build.remove(&node) {
        world.previous_build.insert(node);
    }
    world.boot(node, incarnation);
}

/// A rolling update of the fleet.
#[derive(Clone, Copy)]
struct Rollout {
    /// The number of nodes that are restarted at once.
    at_once: usize,
    /// The number of nodes that are updated before the rollout stops.
    changed: usize,
    /// Whether the updated nodes are rolled back in the end.
    rollback: bool,
}

#[rstest]
#[case::one_at_a_time(1, 78, false)]
#[case::six_at_a_time(6, 78, false)]
#[case::stopped_half_way(3, 39, false)]
#[case::rolled_back(6, 39, true)]
fn slots_are_granted_once_and_all_nodes_get_the_list(
    #[case] at_once: usize,
    #[case] changed: usize,
    #[case] rollback: bool,
) {
    let rollout = Rollout {
        at_once,
        changed,
        rollback,
    };
    let mixed = outcomes_of(rollout, change_build);
    let single = outcomes_of(rollout, restart);
    let percent =
        |outcomes: &[Outcome], matches: fn(&Outcome) -> bool| share(outcomes, matches) * 100.0;
    let queued = |outcomes: &[Outcome]| percent(outcomes, |one| one.queued);
    let in_time = |outcomes: &[Outcome]| percent(outcomes, is_in_time);
    let (with_mixed, with_single) = (queued(&mixed), queued(&single));
    assert!(
        with_mixed <= with_single + MAX_WORSE_PERCENT,
        "{with_mixed}, {with_single}"
    );
    let (with_mixed, with_single) = (in_time(&mixed), in_time(&single));
    assert!(
        with_mixed >= with_single - MAX_WORSE_PERCENT,
        "{with_mixed}, {with_single}"
    );
}

/// Restarts a node under its own build.
fn restart(world: &mut World, node: u16, incarnation: u64) {
    world.kill(node);
    world.boot(node, incarnation);
}

/// Runs a rollout, asserts that all nodes have the newest list in the end, and returns the
/// outcomes of the requests that arrived meanwhile.
fn outcomes_of(rollout: Rollout, replace: fn(&mut World, u16, u64)) -> Vec<Outcome> {
    let Rollout {
        at_once,
        changed,
        rollback,
    } = rollout;
    let mut world = fleet();
    let all = all_nodes(&world);
    // Four fifths of the capacity of the endpoints.
    load(&mut world, MODEL, 380, Span::from_secs(20), &all);
    world.run_for(SECOND);
    let from = world.now;
    let mut batches: Vec<&[u16]> = all[..changed].chunks(at_once).collect();
    if rollback {
        batches.extend(all[..changed].chunks(at_once));
    }
    let pause = Span(Span::from_secs(12).0 / batches.len() as u64);
    for (incarnation, batch) in (2..).zip(batches) {
        for node in batch {
            replace(&mut world, *node, incarnation);
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

/// All nodes are killed while half of them run each build.
#[test]
fn a_mass_restart_in_the_middle_of_a_rollout() {
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

/// All nodes bar a request that crashes endpoints, whichever build saw the crashes.
#[test]
fn a_request_that_crashes_endpoints_is_barred_by_both_builds() {
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
    let third = world.crashes.get(2).map_or(world.now, |crash| crash.when);
    let late = world.crash_arrivals.iter();
    let late = late.filter(|(at, _, _)| at.since(third) > Span::from_secs(3));
    assert!(late.count() <= 3, "{} crashes", world.crashes.len());
}
