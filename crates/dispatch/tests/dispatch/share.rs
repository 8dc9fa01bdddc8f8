//! Tests for the exchange of status between nodes.

use proptest::prelude::*;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::job::Prompt;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::wire;
use woadstage_types::unit::Time;

use crate::support::MODEL;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::node;
use crate::support::starts;

#[test]
fn a_status_holds_running_and_waiting_requests() {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 1)]);
    let long = Job {
        prompt: Prompt {
            tokens: 700,
            ..Prompt::default()
        },
        ..job(MODEL, 2, at(0))
    };
    let running = dispatcher.enter(at(0), long);
    dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    let status = dispatcher.status(at(1));
    assert_eq!(status.loads.len(), 1);
    assert_eq!(
        (status.loads[0].running, status.loads[0].pending_tokens),
        (1, 700)
    );
    assert_eq!((status.waiting.len(), status.waiting[0].count), (1, 1));
    dispatcher.progress(at(50), running, 1);
    assert_eq!(dispatcher.status(at(51)).loads[0].pending_tokens, 0);
    dispatcher.end(at(100), running, End::Whole);
    assert_eq!(dispatcher.status(at(101)).waiting, []);
}

#[test]
fn a_slot_taken_by_another_node_is_free_once_that_node_is_silent() {
    let mut first = dispatcher(&[endpoint("e", MODEL, 1)]);
    let mut second = dispatcher(&[endpoint("e", MODEL, 1)]);
    first.enter(at(0), job(MODEL, 2, at(0)));
    let other_status = first.status(at(1));
    second.receive_status(
        at(2),
        node(2),
        Status {
            incarnation: 9,
            ..other_status
        },
    );
    second.tick(at(2));
    let waiting_id = second.enter(at(3), job(MODEL, 2, at(3)));
    assert_eq!(starts(&mut second), []);
    second.tick(at(1_100));
    assert_eq!(starts(&mut second), []);
    second.tick(at(1_300));
    assert_eq!(starts(&mut second), [(waiting_id, "e".to_owned())]);
}

#[test]
fn after_a_pause_statuses_of_others_have_expired() {
    let mut first = dispatcher(&[endpoint("e", MODEL, 1)]);
    let mut second = dispatcher(&[endpoint("e", MODEL, 1)]);
    second.tick(at(0));
    first.enter(at(0), job(MODEL, 2, at(0)));
    let other_status = first.status(at(1));
    second.receive_status(
        at(2),
        node(2),
        Status {
            incarnation: 9,
            ..other_status
        },
    );
    second.tick(at(2));
    assert!(second.tick(at(5_000)));
    let id = second.enter(at(5_001), job(MODEL, 2, at(5_001)));
    assert_eq!(starts(&mut second), [(id, "e".to_owned())]);
}

/// Returns the size in bytes of the status that is due to a node, and the number of
/// addresses in it.
fn status_size_to(dispatcher: &mut Dispatcher, now: Time, to: u8) -> Option<(usize, usize)> {
    let mut statuses = dispatcher.statuses(now).into_iter();
    let (status, _) = statuses.find(|(_, due)| due.contains(&node(to)))?;
    let addresses = status.members.len();
    let bytes = wire::to_datagram(&Message::Status(Box::new(status)));
    Some((bytes.expect("encodes").len(), addresses))
}

/// Sixteen addresses make up most of an idle node's status: with them it takes 118 bytes,
/// with two it takes 34.
#[test]
fn an_established_node_is_told_of_few_others() {
    let mut own = dispatcher(&[]);
    for other in 2..40 {
        let other_status = Status {
            incarnation: u64::from(other),
            sequence: 1,
            ..Status::default()
        };
        own.receive_status(at(0), node(other), other_status);
    }
    let (first, addresses) = status_size_to(&mut own, at(1), 2).expect("a status is due");
    assert_eq!(addresses, 16);
    for millis in (100..6_000).step_by(100) {
        own.tick(at(millis));
        for other in 2..40 {
            let other_status = Status {
                incarnation: u64::from(other),
                sequence: millis,
                ..Status::default()
            };
            own.receive_status(at(millis), node(other), other_status);
        }
        own.statuses(at(millis));
    }
    let later = (6_000..8_000).find_map(|millis| status_size_to(&mut own, at(millis), 2));
    let (later, addresses) = later.expect("a status is due");
    assert_eq!(addresses, 2);
    assert!(later + 14 * 6 <= first, "{later} of {first} bytes");
}

proptest! {
    /// Whatever requests and endpoints do, counts stay consistent.
    #[test]
    fn counts_stay_consistent(steps in proptest::collection::vec((0u8..6, 0usize..8), 1..80)) {
        let ends = [End::Whole, End::Lost, End::Full, End::NotSent, End::Fault];
        let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 2), endpoint("f", MODEL, 2)]);
        let mut ids = Vec::new();
        let mut now = 0;
        for (action, index) in steps {
            now += 37;
            match action {
                0 | 1 => ids.push(dispatcher.enter(at(now), Job { repeatable: action == 0, ..job(MODEL, 2, at(now)) })),
                2 => { dispatcher.tick(at(now)); }
                3 if index < ids.len() => { dispatcher.abandon(at(now), ids[index]); }
                4 if index < ids.len() => { dispatcher.end(at(now), ids[index], ends[index % ends.len()]); }
                _ => { dispatcher.take_decisions(); }
            }
            let summary = dispatcher.summaries(at(now)).into_iter().find(|one| one.target.as_str() == MODEL);
            let summary = summary.expect("the model is configured");
            prop_assert_eq!(summary.waiting + summary.running as usize, dispatcher.held());
            prop_assert!(summary.running <= 8);
        }
        for id in ids {
            dispatcher.abandon(at(now), id);
        }
        prop_assert_eq!(dispatcher.held(), 0);
    }
}
