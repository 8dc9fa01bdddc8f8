//! Tests of the planned stop.

use std::collections::BTreeSet;

use woadstage_core::node::Event;
use woadstage_standin::cases;
use woadstage_standin::world::Options;
use woadstage_standin::world::World;
use woadstage_types::unit::Span;

use crate::support::chat;
use crate::support::is_complete;
use crate::support::refusal_code;
use crate::support::service;
use crate::support::ticket;
use crate::support::violations;
use crate::support::world;

fn four_nodes() -> World {
    world(Options {
        nodes: 4,
        ..Options::default()
    })
}

fn stop(world: &mut World, node: usize) {
    world.tell(node, Event::Stop);
    world.after(Span::from_secs(1), move |world| {
        world.tell(node, Event::Close)
    });
}

cases! {
    a_planned_stop_interrupts_no_request => {
        for node in 0..4 {
            let mut world = four_nodes();
            for turn in 0..40 {
                let (arrival, work) = chat("handover-summary", &format!("chat {turn}"), 400, 80);
                world.ask(turn % 4, arrival, work);
            }
            world.run_for(Span::from_millis(100));
            stop(&mut world, node);
            world.run_for(Span::from_secs(15));
            assert_eq!(world.query(node, |core| core.is_drained()), Some(true));
            let whole = world.asked.keys().filter(|id| is_complete(&world, **id)).count();
            assert_eq!(whole, 40, "node {node}");
        }
    };

    a_rolling_restart_of_all_hosts_refuses_no_ticket => {
        let mut world = four_nodes();
        let keys: Vec<String> =
            (0..40).filter_map(|turn| ticket(&mut world, turn % 4)).collect();
        for node in 0..4 {
            stop(&mut world, node);
            world.run_for(Span::from_secs(4));
            assert_eq!(world.query(node, |core| core.is_drained()), Some(true));
            world.kill(node, true);
            world.run_for(Span::from_secs(1));
            world.start(node);
            world.run_for(Span::from_secs(2));
        }
        for (turn, key) in keys.iter().enumerate() {
            let (arrival, work) = service("shift-confirmation", &format!("{turn}"), Some(key));
            world.ask(turn % 4, arrival, work);
        }
        world.run_for(Span::from_secs(2));
        let whole = world.asked.keys().filter(|id| is_complete(&world, **id)).count();
        assert_eq!(whole, 40);
        assert!(world.runs.values().all(|count| *count == 1));
        assert_eq!(violations(&world), Vec::<String>::new());
    };

    a_stopping_node_refuses_new_requests_with_a_retry_time => {
        let mut world = four_nodes();
        stop(&mut world, 0);
        world.run_for(Span::from_secs(2));
        let (arrival, work) = chat("handover-summary", "late", 50, 5);
        let late = world.ask(0, arrival, work);
        world.run_for(Span::from_secs(1));
        assert_eq!(refusal_code(&world, late), "W2006");
    };

    an_aborted_stop_answers_every_request_in_progress => {
        let mut world = four_nodes();
        let mut asked = Vec::new();
        for turn in 0..400 {
            let (arrival, work) = chat("handover-summary", &format!("chat {turn}"), 400, 4_000);
            asked.push(world.ask(0, arrival, work));
        }
        world.run_for(Span::from_millis(500));
        stop(&mut world, 0);
        world.run_for(Span::from_millis(1_050));
        let waiting: Vec<_> =
            asked.iter().filter(|id| world.asked[*id].answers.is_empty()).copied().collect();
        assert!(!waiting.is_empty());
        world.tell(0, Event::Abort);
        world.run_for(Span::from_millis(100));
        assert_eq!(world.query(0, |core| core.is_drained()), Some(true));
        let codes: BTreeSet<String> =
            waiting.iter().map(|id| refusal_code(&world, *id)).collect();
        // Requests that wait for an endpoint and those that were sent to one.
        assert_eq!(codes, BTreeSet::from(["W2006".to_string(), "W3005".to_string()]));
        assert_eq!(violations(&world), Vec::<String>::new());
    };

    an_aborted_stop_answers_a_keyed_call_and_its_repeat_as_unknown => {
        let mut world = four_nodes();
        let key = ticket(&mut world, 0).expect("a ticket");
        let (arrival, work) = service("shift-confirmation", "call", Some(&key));
        let first = world.ask(0, arrival.clone(), work.clone());
        let repeat = world.ask(0, arrival, work);
        let mut steps = 0;
        while world.runs.is_empty() && steps < 1_000 {
            world.run_for(Span::from_millis(1));
            steps += 1;
        }
        assert_eq!(world.runs.len(), 1);
        world.tell(0, Event::Abort);
        world.run_for(Span::from_millis(100));
        assert_eq!(world.query(0, |core| core.is_drained()), Some(true));
        for id in [first, repeat] {
            assert_eq!(refusal_code(&world, id), "W3005");
        }
        assert_eq!(violations(&world), Vec::<String>::new());
    };
}
