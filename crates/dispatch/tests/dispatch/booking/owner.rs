//! Tests of owners of slots that book places. A caller that returns must be found at any owner, once,
//! and must not be refused again.

use std::net::SocketAddrV4;

use rstest::rstest;
use woadstage_dispatch::activation::Activation;
use woadstage_dispatch::booking::Announcement;
use woadstage_dispatch::booking::Counts;
use woadstage_dispatch::dispatcher::Admission;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::endpoint;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::lease;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::protocol::Protocol;
use woadstage_types::unit::Span;

use super::announcement;
use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::node;
use crate::support::options;
use crate::support::refusals;
use crate::support::starts;

/// Enough nodes for two cells in one data centre.
const NODES: u8 = 40;

/// When the queues of the owners are full.
const FULL_AT: u64 = 310;

/// Returns the request of a caller that waits for a tenth of a second.
fn brief(fingerprint: u64, millis: u64) -> Job {
    Job {
        fingerprint: Fingerprint(fingerprint),
        objective: Span::from_millis(100),
        ..job(SERVICE, 2, at(millis))
    }
}

/// A node and what it has heard of the others.
struct Owner {
    number: u8,
    dispatcher: Dispatcher,
}

impl Owner {
    /// Creates a node that has heard all others of its fleet, on builds with this protocol.
    fn new(number: u8, bookings: Activation, protocol: Protocol) -> Owner {
        let mut options = options(number);
        options.policy.bookings = bookings;
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_configuration(at(0), configuration(1));
        let endpoints = (0..8).map(|number| endpoint(&format!("e{number}"), SERVICE, 1));
        let endpoints: Vec<Endpoint> = endpoints.collect();
        dispatcher.set_endpoints(at(0), list(1, &endpoints));
        let mut owner = Owner { number, dispatcher };
        owner.hear_all(1, protocol);
        owner.dispatcher.tick(at(1));
        owner
    }

    fn hear_all(&mut self, millis: u64, protocol: Protocol) {
        for other in (1..=NODES).filter(|other| *other != self.number) {
            let status = Status {
                incarnation: u64::from(other),
                sequence: millis,
                data_centre: endpoint::number_of("a"),
                protocol,
                ..Status::default()
            };
            self.dispatcher
                .receive_status(at(millis), node(other), status);
        }
    }

    /// Starts forty calls of 30 ms, then fills the four slots and a queue of 90 ms.
    fn fill(&mut self) {
        for round in 0..10 {
            let now = at(10 + round * 30);
            let ids = [0; 4].map(|_| self.dispatcher.enter(now, job(SERVICE, 2, now)));
            for id in ids {
                let ended = now + Span::from_millis(29);
                self.dispatcher.end(ended, id, End::Whole);
            }
        }
        for _ in 0..16 {
            self.dispatcher
                .enter(at(FULL_AT), job(SERVICE, 2, at(FULL_AT)));
        }
        self.dispatcher.take_decisions();
        self.dispatcher.take_messages();
    }

    /// Lets a caller come and be refused. Returns when it is to return.
    fn refuse(&mut self, fingerprint: u64) -> u64 {
        let id = self
            .dispatcher
            .enter(at(FULL_AT), brief(fingerprint, FULL_AT));
        let refused = refusals(&mut self.dispatcher);
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].0, id);
        FULL_AT + refused[0].2.expect("a time to return").0 / 1_000
    }

    /// Lets callers come at the same time, and returns those that are not refused.
    fn admit(&mut self, millis: u64, fingerprints: &[u64]) -> Vec<(job::Id, u64)> {
        self.hear_all(millis, Protocol::CURRENT);
        let entered = fingerprints.iter().map(|one| {
            let id = self.dispatcher.enter(at(millis), brief(*one, millis));
            (id, *one)
        });
        let mut entered: Vec<(job::Id, u64)> = entered.collect();
        let refused = refusals(&mut self.dispatcher);
        entered.retain(|(id, _)| refused.iter().all(|one| one.0 != *id));
        entered
    }

    /// Returns the bookings that a tick announces, with their receivers.
    fn announce(&mut self, millis: u64) -> Vec<(SocketAddrV4, Announcement)> {
        self.dispatcher.tick(at(millis));
        let messages = self.dispatcher.take_messages().into_iter();
        let announcements = messages.filter_map(|(to, message)| match message {
            Message::Bookings(announcement) => Some((to, announcement)),
            _ => None,
        });
        announcements.collect()
    }

    fn counts(&self) -> Counts {
        let summaries = self.dispatcher.summaries(at(0)).into_iter();
        let mut counts = summaries.filter(|one| one.target.as_str() == SERVICE);
        counts.next().expect("the service is configured").bookings
    }
}

/// Returns the owners of the service's slots in both cells, with full queues.
fn full_owners(bookings: Activation, protocol: Protocol) -> (Owner, Owner) {
    let nodes = (1..=NODES).map(|number| Owner::new(number, bookings, protocol));
    let owners = nodes.filter_map(|mut owner| {
        let id = owner.dispatcher.enter(at(2), job(SERVICE, 2, at(2)));
        let is_owner = !starts(&mut owner.dispatcher).is_empty();
        owner.dispatcher.end(at(9), id, End::Whole);
        is_owner.then_some(owner)
    });
    let mut owners: Vec<Owner> = owners.collect();
    owners.iter_mut().for_each(Owner::fill);
    assert_eq!(owners.len(), 2);
    (owners.remove(0), owners.remove(0))
}

/// Many requests with the fingerprint of one booking must not all be admitted.
#[test]
fn one_of_many_retries_is_admitted_and_goes_first() {
    let (mut owner, _) = full_owners(Activation::Always, Protocol::CURRENT);
    let due = owner.refuse(1);
    let admitted = owner.admit(due, &[2, 1, 1, 1]);
    assert_eq!(admitted.len(), 1);
    let (id, fingerprint) = admitted[0];
    assert_eq!(fingerprint, 1);
    owner.dispatcher.tick(at(due));
    owner.dispatcher.take_decisions();
    // The objective of the booked request passed long ago, and those that wait arrived before it.
    let running = job::Id(42);
    owner.dispatcher.end(at(due + 1), running, End::Whole);
    assert_eq!(starts(&mut owner.dispatcher)[0].0, id);
    assert_eq!(owner.dispatcher.take_booking_starts().len(), 1);
}

/// The caller of a more protected request must not wait for one with a booking.
#[test]
fn a_more_protected_request_precedes_a_claimed_one() {
    let (mut owner, _) = full_owners(Activation::Always, Protocol::CURRENT);
    let due = owner.refuse(1);
    assert_eq!(owner.admit(due, &[1]).len(), 1);
    let urgent = owner.dispatcher.enter(at(due), job(SERVICE, 0, at(due)));
    owner.dispatcher.end(at(due + 1), job::Id(42), End::Whole);
    assert_eq!(starts(&mut owner.dispatcher)[0].0, urgent);
}

/// If the forecast was wrong, the claimed request waits until its time runs out, and the failure is
/// counted.
#[test]
fn a_refusal_after_a_claim_is_counted() {
    let (mut owner, _) = full_owners(Activation::Always, Protocol::CURRENT);
    let due = owner.refuse(1);
    assert_eq!(owner.admit(due, &[1]).len(), 1);
    owner.dispatcher.tick(at(due + 8_000));
    let counts = owner.counts();
    assert_eq!((counts.made, counts.claimed, counts.refused), (1, 1, 1));
    assert_eq!(owner.dispatcher.take_booking_starts(), []);
}

/// The owner that made a booking fails after its tick, and the caller returns to the other one.
#[test]
fn the_other_owner_honours_announced_bookings() {
    let (mut failed, mut other) = full_owners(Activation::Always, Protocol::CURRENT);
    let due = failed.refuse(1);
    let announced = failed.announce(FULL_AT + 20);
    assert_eq!(announced.len(), 1);
    let (to, announcement) = announced[0].clone();
    assert_eq!(to, node(other.number));
    let (now, from) = (at(FULL_AT + 21), node(failed.number));
    other.dispatcher.receive_bookings(now, from, announcement);
    assert_eq!(other.admit(due, &[1, 1]).len(), 1);
    let claims = other.announce(due + 20);
    assert_eq!(claims[0].1.claimed, [Fingerprint(1)]);
}

/// The caller of another data centre returns to an owner there, which is not told of bookings made
/// here. Such a booking would take room and expire.
#[rstest]
#[case::own_data_centre("a", 1)]
#[case::another_data_centre("b", 0)]
fn places_are_booked_only_for_callers_of_the_own_data_centre(
    #[case] data_centre: &str,
    #[case] made: u64,
) {
    let (mut owner, _) = full_owners(Activation::Always, Protocol::CURRENT);
    let asker = node(NODES + 1);
    let status = Status {
        incarnation: 1,
        sequence: 1,
        data_centre: endpoint::number_of(data_centre),
        ..Status::default()
    };
    owner.dispatcher.receive_status(at(FULL_AT), asker, status);
    let refused = brief(1, FULL_AT);
    let request = lease::Request {
        incarnation: 1,
        number: 1,
        fingerprint: refused.fingerprint,
        service: endpoint::number_of(SERVICE),
        endpoint: None,
        spare: false,
        rank: refused.rank,
        since_first_try: Span::ZERO,
        age: Span::ZERO,
        time_limit: refused.deadline.since(refused.arrived),
        objective: refused.objective,
        caller_timeout: refused.caller_timeout,
        pause: None,
        prompt: refused.prompt,
        tried: Vec::new(),
        avoided: Vec::new(),
        details: lease::Details::default(),
        software: None,
    };
    owner
        .dispatcher
        .receive_lease_request(at(FULL_AT), asker, request);
    assert_eq!(owner.counts().made, made);
}

/// A node of protocol 11 can't decode announcements.
#[test]
fn nothing_is_announced_to_earlier_builds() {
    let (mut owner, _) = full_owners(Activation::Always, Protocol::NOTICES);
    owner.refuse(1);
    assert_eq!(owner.counts().made, 1);
    assert_eq!(owner.announce(FULL_AT + 20), []);
}

/// Services to which bookings don't apply must be served as before.
#[rstest]
#[case::never(Activation::Never)]
#[case::capacity_does_not_vary(Activation::VariableCapacity)]
fn without_the_setting_nothing_is_booked(#[case] bookings: Activation) {
    let (mut owner, mut other) = full_owners(bookings, Protocol::CURRENT);
    let due = owner.refuse(1);
    assert_eq!(owner.announce(FULL_AT + 20), []);
    let announced = announcement(1, due - FULL_AT);
    other
        .dispatcher
        .receive_bookings(at(FULL_AT + 20), node(owner.number), announced);
    assert_eq!(other.admit(due, &[1]), []);
    assert_eq!(owner.admit(due, &[1]), []);
    assert_eq!(owner.counts(), Counts::default());
}

/// The log would not tell a booked time to return from an estimated one, nor a claim from a new
/// request.
#[test]
fn the_log_is_told_of_a_booking_and_of_its_claim() {
    let (mut owner, _) = full_owners(Activation::Always, Protocol::CURRENT);
    let first = owner.dispatcher.enter(at(FULL_AT), brief(1, FULL_AT));
    let mut decisions = owner.dispatcher.take_decisions();
    let Some(Decision::Refuse {
        job,
        refusal,
        admission,
    }) = decisions.pop()
    else {
        unreachable!("the queue is full: {decisions:?}");
    };
    assert_eq!(job, first);
    let expected = Admission {
        redirected: Some(false),
        booked: Some(false),
        booking: refusal.retry_after,
    };
    assert!(refusal.retry_after.is_some_and(|due| due > Span::ZERO));
    assert_eq!(admission, expected);
    let due = FULL_AT + refusal.retry_after.map_or(0, |due| due.0 / 1_000);
    // A caller with an open booking gets no second one.
    owner.dispatcher.enter(at(FULL_AT), brief(1, FULL_AT));
    let decisions = owner.dispatcher.take_decisions();
    let unbooked = Admission {
        booking: Some(Span::ZERO),
        ..expected
    };
    assert!(
        matches!(&decisions[..], [Decision::Refuse { admission, .. }] if *admission == unbooked),
        "{decisions:?}"
    );
    owner.hear_all(due, Protocol::CURRENT);
    let claimed = owner.dispatcher.enter(at(due), brief(1, due));
    owner.dispatcher.tick(at(due));
    owner.dispatcher.take_decisions();
    owner.dispatcher.end(at(due + 1), job::Id(42), End::Whole);
    let mut decisions = owner.dispatcher.take_decisions().into_iter();
    let admission = decisions.find_map(|decision| match decision {
        Decision::Start { job, admission, .. } | Decision::Refuse { job, admission, .. } => {
            (job == claimed).then_some(admission)
        }
        Decision::Forward { .. } => None,
    });
    let expected = Admission {
        booked: Some(true),
        ..unbooked
    };
    assert_eq!(admission, Some(expected));
}
