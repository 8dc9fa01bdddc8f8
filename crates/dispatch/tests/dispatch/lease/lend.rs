//! Tests for the node that owns slots.

use std::net::SocketAddrV4;

use rstest::rstest;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::lease;
use woadstage_dispatch::lease::Answer;
use woadstage_dispatch::lease::Check;
use woadstage_dispatch::lease::Event;
use woadstage_dispatch::lease::Observation;
use woadstage_dispatch::lease::Report;
use woadstage_dispatch::message::Message;
use woadstage_types::unit::Span;

use super::answers_of;
use super::find_lease_request;
use super::lease_request;
use super::slot_owner;
use crate::support::MODEL;
use crate::support::at;
use crate::support::job;
use crate::support::node;

/// Fills all slots that the owner of a cell grants for a rank. Returns the number of the
/// first request that waits.
fn fill(owner: &mut Dispatcher, urgency: u8) -> u64 {
    for number in 1.. {
        owner.receive_lease_request(at(2), node(50), lease_request(number, urgency));
        let answers = answers_of(owner.take_messages());
        if answers == [Answer::Waiting] {
            return number;
        }
    }
    unreachable!("slots are few");
}

/// Returns the nodes that are granted a slot when a request of node 50 ends.
fn nodes_granted_after(owner: &mut Dispatcher, number: u64) -> Vec<SocketAddrV4> {
    let event = Event::Ended {
        end: End::Whole,
        seen: Observation::default(),
    };
    owner.receive_lease_report(
        at(9),
        node(50),
        Report {
            number,
            event,
            load: None,
        },
    );
    let messages = owner.take_messages().into_iter();
    let granted = messages.filter(|(_, message)| {
        matches!(message, Message::Leased(reply) if matches!(reply.answer, Answer::Granted { .. }))
    });
    granted.map(|(to, _)| to).collect()
}

#[test]
fn requests_of_other_nodes_wait_in_the_order_of_their_ranks() {
    let mut owner = slot_owner();
    fill(&mut owner, 0);
    owner.receive_lease_request(at(3), node(51), lease_request(1, 2));
    owner.receive_lease_request(at(4), node(52), lease_request(1, 0));
    owner.take_messages();
    assert_eq!(nodes_granted_after(&mut owner, 1), [node(50)]);
    assert_eq!(nodes_granted_after(&mut owner, 2), [node(52)]);
}

#[test]
fn a_duplicated_request_gets_the_same_slot() {
    let mut owner = slot_owner();
    owner.receive_lease_request(at(2), node(50), lease_request(1, 2));
    owner.receive_lease_request(at(3), node(50), lease_request(1, 2));
    let answers = answers_of(owner.take_messages());
    assert_eq!(answers.len(), 2);
    assert_eq!(answers[0], answers[1]);
    assert_eq!(owner.remote_request_count(), 1);
}

#[test]
fn a_new_incarnation_of_a_node_does_not_inherit_its_slots() {
    let mut owner = slot_owner();
    owner.receive_lease_request(at(2), node(50), lease_request(1, 2));
    let other_incarnation = lease::Request {
        incarnation: 77,
        ..lease_request(1, 2)
    };
    owner.receive_lease_request(at(3), node(50), other_incarnation);
    assert_eq!(owner.remote_request_count(), 1);
}

#[rstest]
#[case::it_still_runs(true)]
#[case::its_node_is_gone(false)]
fn a_slot_without_reports_is_checked(#[case] answers: bool) {
    let mut owner = slot_owner();
    owner.receive_lease_request(at(2), node(50), lease_request(1, 2));
    owner.take_messages();
    for millis in (100..6_000).step_by(100) {
        owner.tick(at(millis));
        let checks = owner.take_messages().into_iter();
        let checks = checks.filter(|(_, message)| *message == Message::Check(Check { number: 1 }));
        if answers && checks.count() > 0 {
            let held = Report {
                number: 1,
                event: Event::Held,
                load: None,
            };
            owner.receive_lease_report(at(millis), node(50), held);
        }
    }
    assert_eq!(owner.remote_request_count(), usize::from(answers));
}

#[rstest]
#[case::free(0, true)]
#[case::all_taken(100, false)]
fn only_spare_slots_are_lent_to_another_cell(#[case] taken: u64, #[case] is_granted: bool) {
    let mut owner = slot_owner();
    for number in 0..taken {
        owner.receive_lease_request(at(2), node(50), lease_request(number, 2));
    }
    owner.take_messages();
    let spare = lease::Request {
        spare: true,
        ..lease_request(1, 2)
    };
    owner.receive_lease_request(at(3), node(60), spare);
    let answers = answers_of(owner.take_messages());
    assert_eq!(matches!(answers[..], [Answer::Granted { .. }]), is_granted);
    assert_eq!(answers.contains(&Answer::Denied), !is_granted);
}

#[test]
fn other_cells_are_asked_once_a_request_has_waited() {
    let mut owner = slot_owner();
    fill(&mut owner, 2);
    owner.tick(at(40));
    assert!(find_lease_request(owner.take_messages()).is_none());
    owner.tick(at(80));
    let (_, request) = find_lease_request(owner.take_messages())
        .expect("a spare slot of another cell is requested");
    assert!(request.spare);
}

#[test]
fn an_owner_considers_the_age_of_a_request() {
    let mut owner = slot_owner();
    fill(&mut owner, 2);
    // Its caller waits for 10 ms more.
    let expiring = Job {
        caller_timeout: Span::from_millis(500),
        ..job(MODEL, 2, at(0))
    };
    let late = lease::Request {
        age: Span::from_millis(490),
        caller_timeout: expiring.caller_timeout,
        tried: vec![1],
        ..lease_request(90, 2)
    };
    owner.receive_lease_request(at(100), node(60), late);
    owner.tick(at(140));
    let answers = answers_of(owner.take_messages());
    assert!(
        matches!(answers.last(), Some(Answer::Refused(_))),
        "{answers:?}"
    );
}

/// An owner that first hears of a stream long after it granted the slot.
#[rstest]
#[case::of_its_first_event(Event::First, true)]
#[case::only_that_it_goes_on(Event::Progress, false)]
fn the_time_to_the_first_event_is_learnt_only_from_its_report(
    #[case] event: Event,
    #[case] learnt: bool,
) {
    let baseline = shortest_timeout(&mut slot_owner());
    let mut owner = slot_owner();
    owner.receive_lease_request(at(2), node(50), lease_request(1, 2));
    owner.receive_lease_report(
        at(60_000),
        node(50),
        Report {
            number: 1,
            event,
            load: None,
        },
    );
    assert_eq!(shortest_timeout(&mut owner) > baseline, learnt);
}

/// Returns the shortest timeout of a caller, in milliseconds, with which a request that can't be in time
/// is accepted behind one that waits.
fn shortest_timeout(owner: &mut Dispatcher) -> u64 {
    fill(owner, 2);
    let mut timeouts = (10..5_000).step_by(10);
    let least = timeouts.find(|timeout| {
        let number = 1_000 + timeout;
        let asked = lease::Request {
            objective: Span::from_millis(1),
            caller_timeout: Span::from_millis(*timeout),
            age: Span::ZERO,
            ..lease_request(number, 2)
        };
        owner.receive_lease_request(at(3), node(70), asked);
        let answers = answers_of(owner.take_messages());
        answers == [Answer::Waiting]
    });
    least.expect("a timeout below 5 s is accepted")
}
