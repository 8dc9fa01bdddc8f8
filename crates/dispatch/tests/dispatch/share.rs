//! What nodes tell each other.

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
fn a_status_holds_what_runs_and_what_waits() {
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
fn a_place_taken_elsewhere_is_free_again_when_its_node_is_silent() {
    let mut first = dispatcher(&[endpoint("e", MODEL, 1)]);
    let mut second = dispatcher(&[endpoint("e", MODEL, 1)]);
    first.enter(at(0), job(MODEL, 2, at(0)));
    let said = first.status(at(1));
    second.hear(
        at(2),
        node(2),
        Status {
            incarnation: 9,
            ..said
        },
    );
    second.tick(at(2));
    let waits = second.enter(at(3), job(MODEL, 2, at(3)));
    assert_eq!(starts(&mut second), []);
    second.tick(at(1_100));
    assert_eq!(starts(&mut second), []);
    second.tick(at(1_300));
    assert_eq!(starts(&mut second), [(waits, "e".to_owned())]);
}

#[test]
fn after_a_pause_nothing_that_others_said_holds() {
    let mut first = dispatcher(&[endpoint("e", MODEL, 1)]);
    let mut second = dispatcher(&[endpoint("e", MODEL, 1)]);
    second.tick(at(0));
    first.enter(at(0), job(MODEL, 2, at(0)));
    let said = first.status(at(1));
    second.hear(
        at(2),
        node(2),
        Status {
            incarnation: 9,
            ..said
        },
    );
    second.tick(at(2));
    assert!(second.tick(at(5_000)));
    let id = second.enter(at(5_001), job(MODEL, 2, at(5_001)));
    assert_eq!(starts(&mut second), [(id, "e".to_owned())]);
}

/// Bytes of what goes to a node now, with the addresses that it is told of.
fn sent_to(dispatcher: &mut Dispatcher, now: Time, to: u8) -> Option<(usize, usize)> {
    let mut statuses = dispatcher.statuses(now).into_iter();
    let (status, _) = statuses.find(|(_, due)| due.contains(&node(to)))?;
    let told = status.members.len();
    let bytes = wire::to_datagram(&Message::Status(Box::new(status)));
    Some((bytes.expect("it can be written").len(), told))
}

/// Sixteen addresses make up most of what a node at rest says: with them a status takes
/// 118 bytes, and with two 34.
#[test]
fn a_node_that_knows_the_fleet_is_told_of_few_others() {
    let mut own = dispatcher(&[]);
    for other in 2..40 {
        let said = Status {
            incarnation: u64::from(other),
            sequence: 1,
            ..Status::default()
        };
        own.hear(at(0), node(other), said);
    }
    let (first, told) = sent_to(&mut own, at(1), 2).expect("it is due");
    assert_eq!(told, 16);
    for millis in (100..6_000).step_by(100) {
        own.tick(at(millis));
        for other in 2..40 {
            let said = Status {
                incarnation: u64::from(other),
                sequence: millis,
                ..Status::default()
            };
            own.hear(at(millis), node(other), said);
        }
        own.statuses(at(millis));
    }
    let later = (6_000..8_000).find_map(|millis| sent_to(&mut own, at(millis), 2));
    let (later, told) = later.expect("it is due");
    assert_eq!(told, 2);
    assert!(later + 14 * 6 <= first, "{later} of {first} bytes");
}

proptest! {
    /// Whatever comes and goes, places and counts add up in the end.
    #[test]
    fn counts_add_up(steps in proptest::collection::vec((0u8..6, 0usize..8), 1..80)) {
        let ends = [End::Whole, End::Lost, End::Full, End::NotSent, End::Fault];
        let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 2), endpoint("f", MODEL, 2)]);
        let mut ids = Vec::new();
        let mut now = 0;
        for (what, which) in steps {
            now += 37;
            match what {
                0 | 1 => ids.push(dispatcher.enter(at(now), Job { repeatable: what == 0, ..job(MODEL, 2, at(now)) })),
                2 => { dispatcher.tick(at(now)); }
                3 if which < ids.len() => { dispatcher.abandon(at(now), ids[which]); }
                4 if which < ids.len() => { dispatcher.end(at(now), ids[which], ends[which % ends.len()]); }
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
