//! The forecast of a request's wait from its position, and the decision made from it.

use rstest::rstest;
use woadstage_dispatch::activation::Activation;
use woadstage_dispatch::configuration::Rank;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::dispatcher::Rate;
use woadstage_dispatch::dispatcher::forecast::Backlog;
use woadstage_dispatch::dispatcher::forecast::Limits;
use woadstage_dispatch::dispatcher::forecast::Outcome;
use woadstage_dispatch::dispatcher::forecast::decide;
use woadstage_dispatch::fair_share::Tag;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::queue::Position;
use woadstage_dispatch::queue::Queue;
use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

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

fn backlog(ahead: usize, arrivals: f64) -> Backlog {
    Backlog {
        ahead,
        starts: Rate(100.0),
        arrivals: Rate(arrivals),
    }
}

/// A hundred starts a second, an objective of 150 ms and a deadline of 1.2 s; calls take 30 ms.
#[rstest]
#[case::nothing_ahead(backlog(0, 200.0), backlog(50, 200.0), Outcome::InTime)]
#[case::late_requests_behind_do_not_count(backlog(10, 0.0), backlog(500, 0.0), Outcome::InTime)]
#[case::late_but_before_its_deadline(backlog(20, 0.0), backlog(20, 50.0), Outcome::Held)]
#[case::within_the_margin_for_errors(backlog(20, 0.0), backlog(50, 50.0), Outcome::Refused)]
#[case::after_its_deadline(backlog(20, 0.0), backlog(200, 0.0), Outcome::Refused)]
#[case::no_late_request_under_overload(backlog(20, 0.0), backlog(20, 100.0), Outcome::Refused)]
fn the_outcome_follows_from_the_forecast(
    #[case] own: Backlog,
    #[case] all: Backlog,
    #[case] outcome: Outcome,
) {
    let limits = Limits {
        objective: Span::from_millis(150),
        expiry: Span::from_millis(1_200),
        deadline: Span::from_millis(1_200),
        response: Span::from_millis(30),
        completion: Span::from_millis(30),
    };
    assert_eq!(decide(own, all, limits), outcome);
}

/// A stream that begins before its caller gives up but ends after its deadline is cut off.
#[test]
fn a_held_stream_must_end_before_its_deadline() {
    let limits = Limits {
        objective: Span::from_millis(100),
        expiry: Span::from_secs(3),
        deadline: Span::from_secs(3),
        response: Span::from_millis(100),
        completion: Span::from_secs(2),
    };
    assert_eq!(
        decide(backlog(50, 0.0), backlog(50, 0.0), limits),
        Outcome::Held
    );
    let late = backlog(90, 0.0);
    assert_eq!(decide(late, late, limits), Outcome::Refused);
}

/// One slot, of a service whose calls are assumed to take 40 ms at first.
fn dispatcher(position_forecast: Activation) -> Dispatcher {
    let policy = Policy {
        position_forecast,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new(Options {
        policy,
        ..options(1)
    });
    dispatcher.set_configuration(at(0), configuration(1));
    dispatcher.set_endpoints(at(0), list(1, &[endpoint("e", SERVICE, 1)]));
    dispatcher
}

fn brief(urgency: u8, arrived: Time) -> Job {
    Job {
        objective: Span::from_millis(200),
        ..job(SERVICE, urgency, arrived)
    }
}

/// Runs calls of 40 ms from one time to another, with an arrival every `interval` ms, and returns
/// the refused requests with the time of the refusal.
fn run(
    dispatcher: &mut Dispatcher,
    running: &mut Option<(job::Id, u64)>,
    millis: std::ops::Range<u64>,
    interval: u64,
) -> Vec<(job::Id, u64)> {
    let mut refused = Vec::new();
    for now in millis {
        if let Some((id, since)) = *running
            && now >= since + 40
        {
            *running = None;
            dispatcher.end(at(now), id, End::Whole);
        }
        if now % interval == 0 {
            dispatcher.enter(at(now), brief(2, at(now)));
        }
        if now % 20 == 0 {
            dispatcher.tick(at(now));
        }
        for decision in dispatcher.take_decisions() {
            match decision {
                Decision::Start { job, .. } => {
                    *running = Some((job, now));
                }
                Decision::Refuse { job, .. } => {
                    refused.push((job, now));
                }
                Decision::Forward { .. } => unreachable!("there is no other node"),
            }
        }
    }
    refused
}

/// If late requests stay until their time runs out, they are counted in the forecast of new ones,
/// and their callers wait in vain for seconds.
#[test]
fn late_requests_are_refused_once_they_are_not_feasible() {
    let mut dispatcher = dispatcher(Activation::Always);
    let mut running = None;
    let refused = run(&mut dispatcher, &mut running, 1..3_000, 15);
    let waiting: usize = dispatcher
        .summaries(at(3_000))
        .iter()
        .map(|one| one.late)
        .sum();
    assert!(waiting <= 1, "{waiting} late");
    assert!(refused.len() > 80, "{} refused", refused.len());
    let summary = dispatcher.summaries(at(3_000));
    assert!(summary.iter().any(|one| one.dropped > 0 && one.refused > 0));
}

/// Requests that come together and then no more are served late rather than refused.
#[test]
fn requests_beyond_the_objective_are_held_if_the_queue_drains() {
    for (setting, refused) in [(Activation::Never, true), (Activation::Always, false)] {
        let mut dispatcher = dispatcher(setting);
        for _ in 0..15 {
            dispatcher.enter(at(0), brief(2, at(0)));
        }
        let refusals = run(&mut dispatcher, &mut None, 0..1_000, 2_000);
        assert_eq!(!refusals.is_empty(), refused, "{setting}: {refusals:?}");
    }
}

/// A request is refused for those ahead of it only.
#[test]
fn less_protected_requests_do_not_count() {
    let mut dispatcher = dispatcher(Activation::Always);
    for _ in 0..300 {
        dispatcher.enter(at(0), brief(2, at(0)));
    }
    assert!(!refusals(&mut dispatcher).is_empty());
    dispatcher.enter(at(1), brief(1, at(1)));
    assert_eq!(refusals(&mut dispatcher), []);
}

/// With the arrivals of a more protected rank at the rate of starts, nothing of this rank starts.
/// It must be refused within the window in which arrivals are counted, not after its 8 s.
#[test]
fn arrivals_of_more_protected_ranks_count() {
    let mut dispatcher = dispatcher(Activation::Always);
    dispatcher.enter(at(0), brief(2, at(0)));
    let mut running = starts(&mut dispatcher).pop().map(|(id, _)| (id, 0));
    let waits = dispatcher.enter(at(0), brief(3, at(0)));
    let refused = run(&mut dispatcher, &mut running, 1..3_000, 35);
    let refused_at = refused.iter().find(|(id, _)| *id == waits);
    assert!(
        refused_at.is_some_and(|(_, at)| *at <= 1_500),
        "{refused_at:?}"
    );
}

/// In a fleet of one cell, requests in the new queues of other nodes take the same slots. A late
/// request would be kept until its time runs out.
#[test]
fn late_requests_are_refused_for_those_that_wait_elsewhere() {
    let mut dispatcher = dispatcher(Activation::Always);
    dispatcher.enter(at(0), brief(2, at(0)));
    let late = Job {
        arrived: at(0) - Span::from_millis(300),
        ..brief(2, at(0))
    };
    let late = dispatcher.enter(at(0), late);
    dispatcher.tick(at(1));
    assert_eq!(refusals(&mut dispatcher), []);
    let mut waiting = dispatcher.status(at(1)).waiting;
    waiting[0].count = 400;
    let status = Status {
        incarnation: 2,
        sequence: 1,
        waiting,
        ..Status::default()
    };
    dispatcher.receive_status(at(2), node(2), status);
    dispatcher.tick(at(2));
    let refused = refusals(&mut dispatcher).into_iter().map(|(id, ..)| id);
    assert_eq!(refused.collect::<Vec<_>>(), [late]);
}

/// A caller that returns to its booked place must not be refused again, nor wait behind new ones.
#[test]
fn a_booked_request_is_admitted_ahead_of_new_ones() {
    let mut dispatcher = dispatcher(Activation::Always);
    for _ in 0..300 {
        dispatcher.enter(at(0), brief(2, at(0)));
    }
    let (first, _) = starts(&mut dispatcher).pop().expect("one runs");
    let protected = dispatcher.enter(at(0), brief(1, at(0)));
    let booked = Job {
        is_booked: true,
        first_try: at(1) - Span::from_secs(1),
        ..brief(2, at(1))
    };
    let booked = dispatcher.enter(at(1), booked);
    assert_eq!(refusals(&mut dispatcher), []);
    let mut order = Vec::new();
    let mut running = first;
    for turn in 1..3 {
        dispatcher.end(at(turn * 40), running, End::Whole);
        running = starts(&mut dispatcher).pop().expect("one starts").0;
        order.push(running);
    }
    assert_eq!(order, [protected, booked]);
}

/// The refusal states the forecast, and leaves time to retry.
#[test]
fn a_refusal_states_the_forecast() {
    let mut dispatcher = dispatcher(Activation::Always);
    for _ in 0..300 {
        dispatcher.enter(at(0), brief(2, at(0)));
    }
    let decisions = dispatcher.take_decisions();
    let refusal = decisions.iter().find_map(|decision| match decision {
        Decision::Refuse { refusal, .. } => Some(*refusal),
        Decision::Start { .. } | Decision::Forward { .. } => None,
    });
    let refusal = refusal.expect("some are refused");
    assert_eq!(refusal.code, Code::TooLate);
    assert!(
        refusal
            .wait
            .is_some_and(|wait| wait > Span::from_millis(160))
    );
    assert!(refusal.retry_after.is_some());
}

/// The order of a queue and the number of requests before a position must agree after any sequence
/// of insertions, removals and demotions.
#[test]
fn requests_before_a_position_are_counted() {
    let mut queue = Queue::default();
    let make = |drawn: u64| Job {
        rank: Rank {
            priority: (drawn % 3) as u8,
            urgency: 0,
        },
        is_booked: drawn.is_multiple_of(11),
        first_try: at(drawn >> 8 & 63),
        ..job(SERVICE, 0, at(100))
    };
    for number in 0..2_000 {
        let drawn = hash::of(&u64::to_le_bytes(number));
        let tag = Tag(drawn >> 16 & 3);
        let late_at = at(100 + (drawn >> 24 & 2_047));
        queue.push(at(100), job::Id(number), make(drawn), tag, late_at);
        queue.remove(job::Id(drawn >> 32 & 2_047));
        queue.demote_late(at(100 + number / 2));
        let probe = make(drawn >> 5);
        let is_late = drawn >> 40 & 1 == 0;
        let position = Position::new(&probe, tag, is_late, job::Id(u64::MAX));
        let before = queue.count_before(&position);
        let order: Vec<job::Id> = queue.iter().map(|(id, _)| id).collect();
        queue.push(at(100), position.id, probe, tag, at(10_000));
        let index = queue.iter().position(|(id, _)| id == position.id);
        if !position.is_late {
            assert_eq!(index, Some(before), "{position:?}");
        }
        queue.remove(position.id);
        assert_eq!(queue.iter().map(|(id, _)| id).collect::<Vec<_>>(), order);
    }
    assert!(queue.count_late() > 100);
}
