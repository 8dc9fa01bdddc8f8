//! Tests for the node that asks for a slot.

use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Refusal;
use woadstage_dispatch::job::End;
use woadstage_dispatch::lease::Answer;
use woadstage_dispatch::lease::Event;
use woadstage_dispatch::lease::Reply;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;

use super::borrower;
use super::endpoints;
use super::find_lease_request;
use super::grant_reply;
use super::reports_of;
use crate::support::at;
use crate::support::list;
use crate::support::starts;

#[test]
fn a_request_runs_in_the_granted_slot_and_its_end_is_reported() {
    let (mut dispatcher, owner, request) = borrower();
    assert!(starts(&mut dispatcher).is_empty());
    dispatcher.receive_lease_reply(at(3), owner, grant_reply(&request, "e3"));
    let started = starts(&mut dispatcher);
    assert_eq!(started[0].1, "e3");
    dispatcher.progress(at(50), started[0].0, 1);
    dispatcher.end(at(90), started[0].0, End::Whole);
    let reports = reports_of(dispatcher.take_messages());
    let events: Vec<Event> = reports.iter().map(|(_, report)| report.event).collect();
    assert!(reports.iter().all(|(to, _)| *to == owner));
    assert!(matches!(
        events[..],
        [
            Event::First,
            Event::Ended {
                end: End::Whole,
                ..
            }
        ]
    ));
    assert_eq!(dispatcher.held(), 0);
}

#[test]
fn load_that_the_owner_reports_is_not_reported_twice() {
    let (mut dispatcher, owner, request) = borrower();
    dispatcher.receive_lease_reply(at(3), owner, grant_reply(&request, "e3"));
    assert!(dispatcher.status(at(4)).loads.is_empty());
    // Once the owner is silent, no other node reports the load.
    assert_eq!(dispatcher.status(at(10_000)).loads.len(), 1);
}

#[test]
fn a_silent_owner_is_asked_again_and_then_passed_over() {
    let (mut dispatcher, owner, request) = borrower();
    dispatcher.tick(at(40));
    assert!(find_lease_request(dispatcher.take_messages()).is_none());
    dispatcher.tick(at(70));
    let (again, repeated) =
        find_lease_request(dispatcher.take_messages()).expect("the request is repeated");
    assert_eq!((again, repeated.number), (owner, request.number));
    dispatcher.tick(at(140));
    let next = find_lease_request(dispatcher.take_messages());
    assert!(next.is_none_or(|(next, _)| next != owner));
}

#[test]
fn a_node_that_reaches_no_owner_decides_on_its_own() {
    let (mut dispatcher, _, _) = borrower();
    for millis in (20..1_000).step_by(20) {
        dispatcher.tick(at(millis));
        dispatcher.take_messages();
        if !starts(&mut dispatcher).is_empty() {
            assert!(millis <= 300, "{millis} ms");
            return;
        }
    }
    panic!("the request was not sent within a second");
}

#[test]
fn a_slot_at_a_leaving_endpoint_is_returned() {
    let (mut dispatcher, owner, request) = borrower();
    let mut leaving = endpoints();
    leaving[3].leaving = true;
    dispatcher.set_endpoints(at(3), list(2, &leaving));
    dispatcher.take_messages();
    dispatcher.receive_lease_reply(at(4), owner, grant_reply(&request, "e3"));
    assert!(starts(&mut dispatcher).is_empty());
    let messages = dispatcher.take_messages();
    let reports = reports_of(messages.clone());
    assert!(matches!(
        reports[0].1.event,
        Event::Ended {
            end: End::NotThere,
            ..
        }
    ));
    let (_, request) = find_lease_request(messages).expect("another slot is requested");
    assert_eq!(request.tried, [endpoints()[3].to_number()]);
}

#[test]
fn a_slot_that_nobody_waits_for_is_returned() {
    let (mut dispatcher, owner, request) = borrower();
    let id = woadstage_dispatch::job::Id(1);
    dispatcher.abandon(at(3), id);
    assert_eq!(reports_of(dispatcher.take_messages()).len(), 1);
    dispatcher.receive_lease_reply(at(4), owner, grant_reply(&request, "e3"));
    assert!(starts(&mut dispatcher).is_empty());
    assert_eq!(reports_of(dispatcher.take_messages()).len(), 1);
}

#[test]
fn a_refusal_is_passed_on() {
    let (mut dispatcher, owner, request) = borrower();
    let refusal = Refusal {
        code: Code::TooLate,
        retry_after: Some(Span::from_millis(300)),
        wait: Some(Span::from_secs(3)),
        owner: None,
    };
    let reply = Reply {
        number: request.number,
        answer: Answer::Refused(refusal),
    };
    dispatcher.receive_lease_reply(at(3), owner, reply);
    let decisions = dispatcher.take_decisions();
    let passed_on = Refusal {
        owner: Some(owner),
        ..refusal
    };
    assert!(matches!(
        &decisions[..],
        [Decision::Refuse { refusal, .. }] if *refusal == passed_on
    ));
    assert_eq!(dispatcher.held(), 0);
}
