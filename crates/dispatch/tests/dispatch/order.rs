//! Which request goes first, and where to.

use rstest::rstest;
use woadstage_dispatch::configuration::Rank;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::job::Part;
use woadstage_dispatch::job::Prompt;
use woadstage_dispatch::message::Load;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::message::Waiting;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;

use crate::support::MODEL;
use crate::support::SERVICE;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::node;
use crate::support::refusals;
use crate::support::starts;

fn ranked(priority: u8, urgency: u8, millis: u64) -> Job {
    Job {
        rank: Rank { priority, urgency },
        ..job(SERVICE, urgency, at(millis))
    }
}

/// An engine whose only place is taken, and what runs there.
fn full() -> (Dispatcher, woadstage_dispatch::job::Id) {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 1)]);
    let first = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    assert_eq!(starts(&mut dispatcher), [(first, "e".to_owned())]);
    (dispatcher, first)
}

#[rstest]
#[case::the_customer_goes_before_the_route(ranked(1, 0, 1), ranked(0, 2, 2), false)]
#[case::among_equal_customers_the_route_decides(ranked(1, 2, 1), ranked(1, 0, 2), false)]
#[case::among_equals_the_first_to_come(ranked(1, 2, 1), ranked(1, 2, 2), true)]
fn the_order_of_what_waits(#[case] one: Job, #[case] other: Job, #[case] one_first: bool) {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    let running = dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    starts(&mut dispatcher);
    let one = dispatcher.enter(at(1), one);
    let other = dispatcher.enter(at(2), other);
    assert_eq!(starts(&mut dispatcher), []);
    dispatcher.end(at(3), running, End::Whole);
    let first = if one_first { one } else { other };
    assert_eq!(starts(&mut dispatcher), [(first, "e".to_owned())]);
}

#[test]
fn only_what_is_more_urgent_goes_ahead_of_a_free_place() {
    let (mut dispatcher, _) = full();
    dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    assert_eq!(starts(&mut dispatcher), []);
    let urgent = dispatcher.enter(at(2), job(MODEL, 0, at(2)));
    assert_eq!(starts(&mut dispatcher), [(urgent, "e".to_owned())]);
}

#[test]
fn room_is_left_to_more_urgent_work_that_waits_elsewhere() {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 1)]);
    let waiting = Waiting {
        service: service_number(&mut dispatcher),
        rank: Rank {
            priority: 0,
            urgency: 0,
        },
        count: 1,
    };
    let status = Status {
        incarnation: 2,
        sequence: 1,
        waiting: vec![waiting],
        ..Status::default()
    };
    dispatcher.hear(at(10), node(2), status);
    dispatcher.tick(at(10));
    let routine = dispatcher.enter(at(11), job(MODEL, 2, at(11)));
    assert_eq!(starts(&mut dispatcher), []);
    // Notices that are old bind nobody.
    dispatcher.tick(at(600));
    assert_eq!(starts(&mut dispatcher), [(routine, "e".to_owned())]);
}

/// The number of the model, as a status of a node with one waiting tells it.
fn service_number(dispatcher: &mut Dispatcher) -> u32 {
    let running = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    let waits = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    let number = dispatcher.status(at(0)).waiting[0].service;
    dispatcher.abandon(at(0), waits);
    dispatcher.abandon(at(0), running);
    starts(dispatcher);
    number
}

#[test]
fn what_others_run_counts_against_the_room() {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 2), endpoint("f", MODEL, 2)]);
    let load = Load {
        endpoint: crate::support::endpoint("e", MODEL, 1).to_number(),
        running: 2,
        pending_tokens: 0,
        unavailability: None,
    };
    let status = Status {
        incarnation: 2,
        sequence: 1,
        loads: vec![load],
        ..Status::default()
    };
    dispatcher.hear(at(10), node(2), status);
    dispatcher.tick(at(10));
    for millis in 11..14 {
        dispatcher.enter(at(millis), job(MODEL, 2, at(millis)));
    }
    let places: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, place)| place)
        .collect();
    assert_eq!(places, ["f", "f"]);
}

#[test]
fn a_long_prompt_avoids_an_endpoint_that_is_reading_another() {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 8), endpoint("f", MODEL, 8)]);
    let long = |millis| Job {
        prompt: Prompt {
            tokens: 5_000,
            output: 50,
            ..Prompt::default()
        },
        ..job(MODEL, 0, at(millis))
    };
    dispatcher.enter(at(0), long(0));
    dispatcher.enter(at(0), long(0));
    let mut places: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, place)| place)
        .collect();
    places.sort();
    assert_eq!(places, ["e", "f"]);
}

#[test]
fn a_newcomer_is_refused_at_once_when_the_wait_would_be_too_long() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    for _ in 0..40 {
        dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    }
    let refused = refusals(&mut dispatcher);
    let (_, code, retry_after) = refused.last().expect("some are refused");
    assert_eq!(*code, Code::TooLate);
    let left = Span::from_secs(8);
    assert!(retry_after.expect("a time to come back") <= Span(left.0 / 3));
}

#[test]
fn a_newcomer_is_not_refused_for_how_few_came_before() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    let brief = |millis| Job {
        objective: Span::from_millis(100),
        ..job(SERVICE, 2, at(millis))
    };
    // Five come in a second and a half, and each is over at once.
    for turn in 0..5 {
        let run = dispatcher.enter(at(turn * 300), brief(turn * 300));
        dispatcher.end(at(turn * 300 + 15), run, End::Whole);
    }
    // Then three come together: two of them will wait for 15 ms or 30.
    for _ in 0..3 {
        dispatcher.enter(at(1_500), brief(1_500));
    }
    assert_eq!(refusals(&mut dispatcher), []);
}

/// One endpoint with one slot whose calls take 100 ms, and callers that want their
/// whole answer within 250: twelve a second come where ten fit, for ten seconds.
/// With the call's own time left out of admission, and late requests before those in
/// time, the queue stays as long as the objective and 9 of 99 answers are in time.
#[test]
fn a_plain_service_under_overload_answers_in_time() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    let objective = Span::from_millis(250);
    let mut arrivals = std::collections::HashMap::new();
    let mut running = None;
    let (mut in_time, mut served) = (0, 0);
    for millis in 0..10_000 {
        let now = at(millis);
        if let Some((id, since)) = running
            && now.since(since) >= Span::from_millis(100)
        {
            dispatcher.end(now, id, End::Whole);
            served += 1;
            in_time += u32::from(now.since(arrivals[&id]) <= objective);
            running = None;
        }
        if millis % 83 == 0 {
            let brief = Job {
                objective,
                deadline: now + Span::from_millis(800),
                patience: Span::from_millis(800),
                ..job(SERVICE, 2, now)
            };
            let id = dispatcher.enter(now, brief);
            arrivals.insert(id, now);
        }
        if millis % 20 == 0 {
            dispatcher.tick(now);
        }
        if let Some((id, _)) = starts(&mut dispatcher).pop() {
            running = Some((id, now));
        }
    }
    assert!(served >= 90, "{served} served");
    assert!(in_time * 100 >= served * 80, "{in_time} of {served}");
}

#[test]
fn the_most_protected_are_not_refused_for_what_waits_behind_them() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    // More than a second of work, of callers that are let in however long it is.
    for _ in 0..40 {
        let returning = Job {
            first_try: at(0) - Span::from_secs(2),
            ..job(SERVICE, 2, at(0))
        };
        dispatcher.enter(at(0), returning);
    }
    // Both go first as soon as the endpoint is free.
    for _ in 0..2 {
        dispatcher.enter(at(1), job(SERVICE, 0, at(1)));
    }
    assert_eq!(refusals(&mut dispatcher), []);
}

#[test]
fn one_that_was_refused_before_waits() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    for _ in 0..40 {
        dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    }
    refusals(&mut dispatcher);
    let returning = Job {
        first_try: at(1) - Span::from_secs(2),
        ..job(SERVICE, 2, at(1))
    };
    dispatcher.enter(at(1), returning);
    assert_eq!(refusals(&mut dispatcher), []);
}

#[test]
fn what_runs_out_of_time_is_refused_when_that_shows() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    let waits = dispatcher.enter(at(1), job(SERVICE, 2, at(1)));
    dispatcher.tick(at(7_900));
    assert_eq!(refusals(&mut dispatcher), []);
    dispatcher.tick(at(7_990));
    assert_eq!(refusals(&mut dispatcher), [(waits, Code::TooLate, None)]);
    assert_eq!(dispatcher.held(), 1);
}

#[test]
fn what_its_caller_would_leave_before_the_first_event_is_not_begun() {
    let (mut dispatcher, running) = full();
    let impatient = Job {
        patience: Span::from_secs(2),
        ..job(MODEL, 2, at(0))
    };
    let waits = dispatcher.enter(at(0), impatient);
    // Time to a first event is taken to be 150 ms until one was seen.
    dispatcher.tick(at(1_900));
    let refused = refusals(&mut dispatcher);
    assert_eq!((refused[0].0, refused[0].1), (waits, Code::TooLate));
    let retry_after = refused[0].2.expect("there is time to come back");
    assert!(retry_after <= Span::from_millis(6_100 / 3));
    dispatcher.end(at(1_901), running, End::Whole);
    assert_eq!(starts(&mut dispatcher), []);
}

#[test]
fn what_an_engine_would_reach_after_its_caller_left_is_not_begun_there() {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 4)]);
    let prompt = |tokens| Prompt {
        tokens,
        ..Prompt::default()
    };
    // Some seconds of reading, at what a token takes until more is known.
    let long = Job {
        prompt: prompt(100_000),
        ..job(MODEL, 0, at(0))
    };
    let reading = dispatcher.enter(at(0), long);
    let impatient = Job {
        patience: Span::from_secs(3),
        prompt: prompt(1_000),
        ..job(MODEL, 0, at(1))
    };
    let waits = dispatcher.enter(at(1), impatient);
    assert_eq!(starts(&mut dispatcher), [(reading, "e".to_owned())]);
    // Once the long one is read, there is time for it.
    dispatcher.progress(at(1_000), reading, 1);
    dispatcher.tick(at(1_001));
    assert_eq!(starts(&mut dispatcher), [(waits, "e".to_owned())]);
}

#[test]
fn one_that_was_refused_before_goes_first_in_its_rank() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    let running = dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    dispatcher.enter(at(1), job(SERVICE, 2, at(1)));
    let returning = Job {
        first_try: at(2) - Span::from_millis(500),
        ..job(SERVICE, 2, at(2))
    };
    let returning = dispatcher.enter(at(2), returning);
    starts(&mut dispatcher);
    dispatcher.end(at(3), running, End::Whole);
    assert_eq!(starts(&mut dispatcher), [(returning, "e".to_owned())]);
}

#[test]
fn without_any_endpoint_waiting_ends_with_the_objective() {
    let mut dispatcher = dispatcher(&[]);
    let waits = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    dispatcher.tick(at(900));
    assert_eq!(refusals(&mut dispatcher), []);
    dispatcher.tick(at(1_100));
    let refused = refusals(&mut dispatcher);
    assert_eq!((refused[0].0, refused[0].1), (waits, Code::NoEndpoint));
    assert!(refused[0].2.is_some());
}

/// Where the last of these prompts of one part each is sent; both endpoints are
/// free each time.
fn place_of_last(parts: &[u64]) -> String {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 8), endpoint("f", MODEL, 8)]);
    let mut last = String::new();
    for (millis, part) in (0..).zip(parts) {
        let prompt = Prompt {
            tokens: 1_000,
            output: 10,
            parts: vec![Part {
                id: *part,
                tokens: 1_000,
            }],
            ..Prompt::default()
        };
        let job = Job {
            prompt,
            ..job(MODEL, 0, at(millis))
        };
        let id = dispatcher.enter(at(millis), job);
        last = starts(&mut dispatcher).remove(0).1;
        dispatcher.end(at(millis), id, End::Whole);
    }
    last
}

#[test]
fn a_prompt_that_was_read_goes_where_it_was_read() {
    for part in 1..20 {
        let first = place_of_last(&[part]);
        assert_eq!(place_of_last(&[part, 98, 99, 100, part]), first);
    }
}

/// Two wait for one slot, 40 ms each; an engine takes 150 ms more to a first event.
#[rstest]
#[case::an_engine_would_be_late(MODEL, true)]
#[case::a_plain_service_would_not(SERVICE, false)]
fn a_newcomer_is_judged_by_when_its_first_event_comes(#[case] target: &str, #[case] refused: bool) {
    let mut dispatcher = dispatcher(&[endpoint("e", target, 1)]);
    for _ in 0..3 {
        dispatcher.enter(at(0), job(target, 2, at(0)));
    }
    let newcomer = Job {
        objective: Span::from_millis(200),
        ..job(target, 2, at(1))
    };
    dispatcher.enter(at(1), newcomer);
    assert_eq!(refusals(&mut dispatcher).len(), usize::from(refused));
}
