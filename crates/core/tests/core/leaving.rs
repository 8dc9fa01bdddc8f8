//! Tests of endpoints that leave, fail or stall.

use std::sync::Arc;

use woadstage_config::hosts;
use woadstage_standin::cases;
use woadstage_standin::world::Options;
use woadstage_standin::world::World;
use woadstage_types::unit::Span;

use crate::support::chat;
use crate::support::is_complete;
use crate::support::violations;
use crate::support::world;

fn send_steadily(world: &mut World, count: u64, every: Span) {
    for turn in 0..count {
        let node = (turn % 3) as usize;
        world.after(Span(every.0 * turn), move |world| {
            let (arrival, work) = chat("handover-summary", &format!("chat {turn}"), 50, 5);
            world.ask(node, arrival, work);
        });
    }
}

fn whole_answers(world: &World) -> usize {
    world
        .asked
        .keys()
        .filter(|request| is_complete(world, **request))
        .count()
}

/// Returns the host list with the first engine leaving.
fn list_with_first_leaving(world: &World) -> Arc<hosts::List> {
    let mut list = world.true_list();
    let first = list.hosts.iter_mut().find(|host| host.name == "engine-0");
    first.expect("it is listed").state = hosts::State::Leaving;
    Arc::new(list)
}

/// Returns the index of the host list that each node holds.
fn indexes(world: &World) -> Vec<u64> {
    let now = world.now();
    let index = |node: usize| world.query(node, |core| core.status(now).hosts_index);
    (0..world.hosts.len()).filter_map(index).collect()
}

cases! {
    one_node_with_a_stale_platform_brings_no_leaving_endpoint_back => {
        let mut world = world(Options { nodes: 4, ..Options::default() });
        let (old, new) = (Arc::new(world.true_list()), list_with_first_leaving(&world));
        // For 90 seconds, nodes 0 and 1 read the platform every 30 seconds and
        // node 2 reads a stale copy of it every second.
        for second in 0..90u64 {
            let (old, new) = (old.clone(), new.clone());
            world.after(Span::from_secs(second), move |world| {
                world.show_hosts(2, &old, 1);
                if second % 30 == 0 {
                    world.show_hosts(0, &new, 2);
                    world.show_hosts(1, &new, 2);
                }
            });
        }
        world.run_for(Span::from_secs(1));
        world.endpoints[0].leaving = true;
        send_steadily(&mut world, 800, Span::from_millis(100));
        for _ in 0..1_800 {
            world.run_for(Span::from_millis(50));
            assert_eq!(indexes(&world), [2, 2, 2, 2], "at {:?}", world.now());
        }
        assert_eq!(world.endpoints[0].late_work, 0);
    };

    a_platform_that_counts_from_the_beginning_again_is_followed => {
        let mut world = world(Options { nodes: 4, ..Options::default() });
        let (old, new) = (Arc::new(world.true_list()), list_with_first_leaving(&world));
        world.show_hosts(0, &old, 900);
        world.run_for(Span::from_secs(5));
        assert_eq!(indexes(&world), [900, 900, 900, 900]);
        for second in 0..200u64 {
            let new = new.clone();
            world.after(Span::from_secs(second), move |world| {
                world.show_hosts(0, &new, 7);
                world.show_hosts(1, &new, 7);
            });
        }
        world.run_for(Span::from_secs(200));
        assert_eq!(indexes(&world), [7, 7, 7, 7]);
    };

    while_the_platform_is_down_no_older_list_spreads => {
        let mut world = world(Options { nodes: 4, ..Options::default() });
        let new = list_with_first_leaving(&world);
        for node in 0..3 {
            world.show_hosts(node, &new, 2);
        }
        world.cut(0, 3);
        world.cut(1, 3);
        world.cut(2, 3);
        world.run_for(Span::from_secs(200));
        for node in 0..3 {
            world.heal(node, 3);
        }
        world.run_for(Span::from_secs(5));
        assert_eq!(indexes(&world), [2, 2, 2, 2]);
    };

    an_endpoint_listed_as_leaving_gets_nothing_new => {
        let mut world = world(Options::default());
        let mut list = world.true_list();
        let first = list.hosts.iter_mut().find(|host| host.name == "engine-0");
        first.expect("it is listed").state = hosts::State::Leaving;
        world.publish_hosts(list, Span::from_secs(1), &[]);
        world.run_for(Span::from_secs(2));
        world.endpoints[0].leaving = true;
        send_steadily(&mut world, 100, Span::from_millis(20));
        world.run_for(Span::from_secs(5));
        assert_eq!(world.endpoints[0].late_work, 0);
        assert_eq!(whole_answers(&world), 100);
    };

    an_endpoint_that_says_so_itself_gets_nothing_new_though_the_list_lags => {
        let mut world = world(Options::default());
        world.endpoints[0].leaving = true;
        world.report(Span::from_millis(100));
        world.run_for(Span::from_millis(200));
        send_steadily(&mut world, 100, Span::from_millis(20));
        world.run_for(Span::from_secs(5));
        assert_eq!(world.endpoints[0].late_work, 0);
        assert_eq!(whole_answers(&world), 100);
    };

    an_endpoint_that_refuses_as_leaving_is_asked_once => {
        let mut world = world(Options::default());
        world.endpoints[0].leaving = true;
        send_steadily(&mut world, 100, Span::from_millis(20));
        world.run_for(Span::from_secs(5));
        assert_eq!(world.endpoints[0].late_work, 1);
        assert_eq!(whole_answers(&world), 100, "the one refused ran elsewhere");
        assert_eq!(violations(&world), Vec::<String>::new());
    };

    a_frozen_engine_gets_no_more_and_what_it_had_runs_elsewhere => {
        let mut world = world(Options::default());
        world.endpoints[0].mute = true;
        send_steadily(&mut world, 100, Span::from_millis(20));
        world.run_for(Span::from_secs(30));
        assert_eq!(whole_answers(&world), 100);
        assert!(world.called < 115, "{} calls for 100 requests", world.called);
    };
}
