//! Tests for slots around a pause of the owner or of the node that asked.

use woadstage_dispatch::job::End;
use woadstage_dispatch::lease::Answer;
use woadstage_dispatch::lease::Event;

use super::NODES;
use super::answers_of;
use super::borrower;
use super::find_lease_request;
use super::grant_reply;
use super::lease_request;
use super::receive_status_at;
use super::reports_of;
use super::slot_owner;
use crate::support::at;
use crate::support::node;
use crate::support::starts;

/// Guards against requests sent in slots that their owner has given to others meanwhile.
#[test]
fn a_slot_granted_before_a_pause_is_given_back() {
    let (mut dispatcher, owner, request) = borrower();
    dispatcher.observe(at(2));
    dispatcher.observe(at(2_902));
    dispatcher.receive_lease_reply(at(2_902), owner, grant_reply(&request, "e3"));
    assert!(starts(&mut dispatcher).is_empty());
    let reports = reports_of(dispatcher.take_messages());
    let abandoned = reports.iter().any(|(to, report)| {
        let ended = matches!(
            report.event,
            Event::Ended {
                end: End::Abandoned,
                ..
            }
        );
        *to == owner && report.number == request.number && ended
    });
    assert!(abandoned);
    // What the others sent during the pause is read.
    let own = dispatcher.own_address();
    for other in (1..=NODES).filter(|other| node(*other) != own) {
        receive_status_at(&mut dispatcher, at(2_905), other, 2);
    }
    let generation = dispatcher.unconfirmed_opt().expect("a pause");
    dispatcher.confirm(at(2_910), generation);
    let again = find_lease_request(dispatcher.take_messages());
    assert!(again.is_some_and(|(_, again)| again.number != request.number));
}

/// Guards against owners that grant slots of endpoints which left while the owner stood still.
#[test]
fn an_owner_grants_nothing_after_a_pause_until_it_is_confirmed() {
    let mut owner = slot_owner();
    owner.observe(at(2));
    owner.observe(at(2_902));
    owner.receive_lease_request(at(2_902), node(39), lease_request(1, 1));
    let answers = answers_of(owner.take_messages());
    assert!(matches!(answers[..], [Answer::Waiting]), "{answers:?}");
    let generation = owner.unconfirmed_opt().expect("a pause");
    owner.confirm(at(2_910), generation);
    let answers = answers_of(owner.take_messages());
    assert!(
        matches!(answers[..], [Answer::Granted { .. }]),
        "{answers:?}"
    );
}
