//! Owners that redirect requests to owners at which they wait less.

use woadstage_dispatch::activation::Activation;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::queue_report::Counters;

use super::*;

fn fleet(redirects: Activation) -> Shape {
    Shape {
        nodes: 12,
        policy: Policy {
            redirects,
            ..Policy::default()
        },
        ..shape()
    }
}

/// The load of the two cells, in percent of their capacity of 160 requests a second each.
fn load_unevenly(world: &mut World, percents: [u64; 2], span: Span) {
    for (centre, percent) in (0..).zip(percents) {
        let mut nodes = all_nodes(world);
        nodes.retain(|node| world.centre(*node) == centre);
        load(world, MODEL, 160 * percent / 100, span, &nodes);
    }
}

/// The outcomes by cell of eight seconds of such a load, without its first second, and the number
/// of messages.
fn serve_unevenly(redirects: Activation, percents: [u64; 2]) -> ([Vec<Outcome>; 2], usize) {
    let mut world = World::start(fleet(redirects));
    let (from, before) = (world.now, world.messages);
    let span = Span::from_secs(8);
    load_unevenly(&mut world, percents, span);
    world.run_for(span);
    let messages = world.messages - before;
    let outcomes = [0, 1].map(|centre| world.arrived_at(from + SECOND, |node| node % 2 == centre));
    assert_all_finished(&mut world);
    (outcomes, messages)
}

/// Adds up a counter over all nodes.
fn total(world: &World, counter: impl Fn(Counters) -> u64) -> u64 {
    let summaries = world.nodes.values().map(|node| node.summaries(world.now));
    summaries
        .flatten()
        .map(|summary| counter(summary.redirects))
        .sum()
}

fn refused_percent(outcomes: &[Outcome]) -> f64 {
    share(outcomes, |one| one.refused) * 100.0
}

/// A cell would refuse requests while the other has room.
#[test]
fn two_cells_refuse_alike_under_uneven_arrivals() {
    let ([lesser, greater], messages) = serve_unevenly(Activation::Always, [60, 140]);
    let (refused, also_refused) = (refused_percent(&lesser), refused_percent(&greater));
    assert!(
        (refused - also_refused).abs() <= 3.0,
        "{refused}, {also_refused}"
    );
    let ([lesser_alone, greater_alone], alone) = serve_unevenly(Activation::Never, [60, 140]);
    let with = share(&[lesser, greater].concat(), is_in_time);
    let all = [lesser_alone, greater_alone].concat();
    let without = share(&all, is_in_time);
    assert!(with >= 0.94 && with > without, "{with}, {without}");
    // Two messages for each redirected request, and the reports of both owners.
    assert!(messages <= alone + 2 * all.len(), "{messages}, {alone}");
}

/// Requests would be redirected for ever, or the redirections would cost requests in time.
#[test]
fn two_full_cells_serve_as_many_in_time_as_without_redirections() {
    let in_time = [Activation::Always, Activation::Never].map(|redirects| {
        let (outcomes, _) = serve_unevenly(redirects, [150, 150]);
        share(&outcomes.concat(), is_in_time)
    });
    assert!(in_time[0] >= in_time[1] - 0.01, "{in_time:?}");
}

/// Requests would be sent to owners that can't be reached, or operators would not see it. The cells
/// of one data centre go on redirecting to each other.
#[rstest]
#[case::one_cell_in_each_data_centre(12, false)]
#[case::two_cells_in_each_data_centre(36, true)]
fn the_sides_of_a_partition_decide_by_themselves(#[case] nodes: u16, #[case] redirects: bool) {
    let mut world = World::start(Shape {
        nodes,
        ..fleet(Activation::Always)
    });
    load_unevenly(&mut world, [60, 180], Span::from_secs(6));
    world.run_for(Span::from_secs(2));
    assert_eq!(total(&world, |counters| counters.isolated), 0);
    world.partition_of = Some(|node| node % 2);
    world.run_for(Span::from_millis(320));
    let redirected = total(&world, |counters| counters.redirected);
    assert!(redirected > 0);
    world.run_for(Span::from_secs(2));
    let goes_on = total(&world, |counters| counters.redirected) > redirected;
    assert_eq!(goes_on, redirects);
    assert!(total(&world, |counters| counters.isolated) > 0);
    world.partition_of = None;
    assert_all_finished(&mut world);
}

/// A request, or the slot that it holds, would be lost with a message or at a node of another build.
#[rstest]
#[case::lost_messages(10, |_| false)]
#[case::two_builds(0, |node| node / 2 % 2 == 1)]
fn every_redirected_request_is_decided_once(
    #[case] loss_percent: u64,
    #[case] is_previous_build: fn(u16) -> bool,
) {
    let mut world = World::start(Shape {
        loss_percent,
        ..fleet(Activation::Always)
    });
    let nodes = all_nodes(&world);
    let older = nodes.into_iter().filter(|node| is_previous_build(*node));
    world.previous_build = older.collect();
    world.run_for(SECOND);
    load_unevenly(&mut world, [60, 180], Span::from_secs(4));
    world.run_for(Span::from_secs(4));
    assert!(total(&world, |counters| counters.redirected) > 0);
    assert_all_finished(&mut world);
}

/// A fleet without owners would send reports that nobody reads.
#[test]
fn a_fleet_of_one_cell_sends_no_more_messages() {
    let messages = [Activation::Always, Activation::Never].map(|redirects| {
        let mut world = World::start(Shape {
            policy: fleet(redirects).policy,
            ..small()
        });
        let nodes = all_nodes(&world);
        serve(&mut world, MODEL, 300, Span::from_secs(2), &nodes);
        world.messages
    });
    assert_eq!(messages[0], messages[1]);
}

/// Requests would wait for an owner that failed after it was named. Without redirections, requests
/// for its spare slots are lost as well.
#[test]
fn an_owner_that_fails_costs_no_more_than_without_redirections() {
    let in_time = [Activation::Always, Activation::Never].map(|redirects| {
        let mut world = World::start(fleet(redirects));
        load_unevenly(&mut world, [0, 180], Span::from_secs(4));
        world.run_for(Span::from_secs(2));
        let idle_cell = world.nodes.iter().filter(|(node, _)| *node % 2 == 0);
        let lender = idle_cell.max_by_key(|(_, node)| node.remote_request_count());
        let lender = *lender.expect("the cell has nodes").0;
        world.kill(lender);
        let killed = world.now;
        world.run_for(Span::from_secs(2));
        // Until the last report of the owner expires, and until its successor is known.
        [300, 2_000].map(|millis| {
            let outcomes = world.arrived_between(killed, killed + Span::from_millis(millis));
            share(&outcomes, is_in_time)
        })
    });
    let [[at_once, in_all], [at_once_alone, in_all_alone]] = in_time;
    assert!(at_once >= at_once_alone - 0.05, "{in_time:?}");
    assert!(in_all >= in_all_alone, "{in_time:?}");
}

/// An endpoint with fewer slots than the others would make its owner refuse requests that the
/// owners of the others could serve. Nodes choose among endpoints by their own open requests.
#[test]
fn owners_of_single_endpoints_refuse_alike() {
    let refused = [Activation::Always, Activation::Never].map(|redirects| {
        let mut world = World::start(Shape {
            endpoints: 2,
            slots: 6,
            service: SERVICE,
            call_time: Span::from_millis(30),
            ..fleet(redirects)
        });
        let mut list = (*world.list).clone();
        list.revision += 1;
        list.endpoints[0].slots = 2;
        world.publish_to_readers(list);
        world.run_for(SECOND);
        let all = all_nodes(&world);
        // 0.95 of the capacity of 20 slots.
        let outcomes = serve(&mut world, SERVICE, 633, Span::from_secs(4), &all);
        assert_all_finished(&mut world);
        refused_percent(&outcomes)
    });
    assert!(refused[0] <= 0.5 && refused[1] >= 3.0, "{refused:?}");
}
