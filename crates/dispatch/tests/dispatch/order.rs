//! The order in which requests start, the choice of endpoint, and refusal on arrival.

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

/// Creates a dispatcher with one engine whose only slot is in use, and returns the request in it.
fn full_engine() -> (Dispatcher, woadstage_dispatch::job::Id) {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 1)]);
    let first = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    assert_eq!(starts(&mut dispatcher), [(first, "e".to_owned())]);
    (dispatcher, first)
}

#[rstest]
#[case::customer_priority_precedes_route_urgency(ranked(1, 0, 1), ranked(0, 2, 2), false)]
#[case::route_urgency_breaks_ties(ranked(1, 2, 1), ranked(1, 0, 2), false)]
#[case::arrival_order_breaks_remaining_ties(ranked(1, 2, 1), ranked(1, 2, 2), true)]
fn waiting_requests_start_in_order(#[case] one: Job, #[case] other: Job, #[case] one_first: bool) {
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
fn only_urgent_requests_exceed_the_slots() {
    let (mut dispatcher, _) = full_engine();
    dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    assert_eq!(starts(&mut dispatcher), []);
    let urgent = dispatcher.enter(at(2), job(MODEL, 0, at(2)));
    assert_eq!(starts(&mut dispatcher), [(urgent, "e".to_owned())]);
}

#[test]
fn slots_are_left_to_urgent_requests_on_other_nodes() {
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
    dispatcher.receive_status(at(10), node(2), status);
    dispatcher.tick(at(10));
    let routine = dispatcher.enter(at(11), job(MODEL, 2, at(11)));
    assert_eq!(starts(&mut dispatcher), []);
    // Outdated reports of waiting requests are ignored.
    dispatcher.tick(at(600));
    assert_eq!(starts(&mut dispatcher), [(routine, "e".to_owned())]);
}

/// Returns the service number of the model, taken from the status of a node with one waiting
/// request.
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
fn requests_of_other_nodes_count_against_capacity() {
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
    dispatcher.receive_status(at(10), node(2), status);
    dispatcher.tick(at(10));
    for millis in 11..14 {
        dispatcher.enter(at(millis), job(MODEL, 2, at(millis)));
    }
    let endpoints: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    assert_eq!(endpoints, ["f", "f"]);
}

#[test]
fn a_long_prompt_avoids_an_endpoint_reading_another() {
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
    let mut endpoints: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    endpoints.sort();
    assert_eq!(endpoints, ["e", "f"]);
}

#[test]
fn a_new_request_is_refused_when_its_wait_would_be_too_long() {
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
fn a_low_arrival_rate_causes_no_refusal() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    let brief = |millis| Job {
        objective: Span::from_millis(100),
        ..job(SERVICE, 2, at(millis))
    };
    // Five requests arrive in a second and a half, and each finishes at once.
    for turn in 0..5 {
        let run = dispatcher.enter(at(turn * 300), brief(turn * 300));
        dispatcher.end(at(turn * 300 + 15), run, End::Whole);
    }
    // Then three arrive together; two of them will wait for 15 ms and 30 ms.
    for _ in 0..3 {
        dispatcher.enter(at(1_500), brief(1_500));
    }
    assert_eq!(refusals(&mut dispatcher), []);
}

/// One endpoint with one slot and calls of 100 ms, and callers that expect the whole answer within
/// 250 ms. For ten seconds twelve requests a second arrive where ten fit.
///
/// If admission ignores the duration of the call itself, and late requests are served before those
/// that can still be in time, the queue stays as long as the objective and 9 of 99 answers are in
/// time.
#[test]
fn an_overloaded_plain_service_answers_in_time() {
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
                caller_timeout: Span::from_millis(800),
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
fn protected_requests_are_not_refused_for_requests_behind_them() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
    // More than a second of work, from callers that are admitted regardless of the queue length.
    for _ in 0..40 {
        let returning = Job {
            first_try: at(0) - Span::from_secs(2),
            ..job(SERVICE, 2, at(0))
        };
        dispatcher.enter(at(0), returning);
    }
    // Both are served first as soon as the endpoint is free.
    for _ in 0..2 {
        dispatcher.enter(at(1), job(SERVICE, 0, at(1)));
    }
    assert_eq!(refusals(&mut dispatcher), []);
}

#[test]
fn a_retry_of_a_refused_caller_is_admitted() {
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
fn a_request_is_refused_when_its_time_runs_out() {
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
fn a_request_is_not_started_if_its_caller_would_leave_before_the_first_event() {
    let (mut dispatcher, running) = full_engine();
    let impatient = Job {
        caller_timeout: Span::from_secs(2),
        ..job(MODEL, 2, at(0))
    };
    let waits = dispatcher.enter(at(0), impatient);
    // The time to the first event is assumed to be 150 ms until one is observed.
    dispatcher.tick(at(1_900));
    let refused = refusals(&mut dispatcher);
    assert_eq!((refused[0].0, refused[0].1), (waits, Code::TooLate));
    let retry_after = refused[0].2.expect("there is time to come back");
    assert!(retry_after <= Span::from_millis(6_100 / 3));
    dispatcher.end(at(1_901), running, End::Whole);
    assert_eq!(starts(&mut dispatcher), []);
}

#[test]
fn a_request_waits_while_the_engine_would_reach_it_too_late() {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 4)]);
    let prompt = |tokens| Prompt {
        tokens,
        ..Prompt::default()
    };
    // Several seconds of reading at the assumed time for each token.
    let long = Job {
        prompt: prompt(100_000),
        ..job(MODEL, 0, at(0))
    };
    let reading = dispatcher.enter(at(0), long);
    let impatient = Job {
        caller_timeout: Span::from_secs(3),
        prompt: prompt(1_000),
        ..job(MODEL, 0, at(1))
    };
    let waits = dispatcher.enter(at(1), impatient);
    assert_eq!(starts(&mut dispatcher), [(reading, "e".to_owned())]);
    // Once the long prompt is read, the other request has enough time.
    dispatcher.progress(at(1_000), reading, 1);
    dispatcher.tick(at(1_001));
    assert_eq!(starts(&mut dispatcher), [(waits, "e".to_owned())]);
}

#[test]
fn a_retry_of_a_refused_caller_goes_first_in_its_rank() {
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
fn without_endpoints_waiting_ends_at_the_objective() {
    let mut dispatcher = dispatcher(&[]);
    let waits = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    dispatcher.tick(at(900));
    assert_eq!(refusals(&mut dispatcher), []);
    dispatcher.tick(at(1_100));
    let refused = refusals(&mut dispatcher);
    assert_eq!((refused[0].0, refused[0].1), (waits, Code::NoEndpoint));
    assert!(refused[0].2.is_some());
}

/// Sends prompts of one part each, one after another to two idle endpoints, and returns the
/// endpoint of the last one.
fn endpoint_of_last(parts: &[u64]) -> String {
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
fn a_repeated_prompt_goes_to_the_endpoint_that_read_it() {
    for part in 1..20 {
        let first = endpoint_of_last(&[part]);
        assert_eq!(endpoint_of_last(&[part, 98, 99, 100, part]), first);
    }
}

/// Two requests wait for one slot, 40 ms each. An engine takes another 150 ms to the first event.
#[rstest]
#[case::engine_is_late(MODEL, true)]
#[case::plain_service_is_in_time(SERVICE, false)]
fn admission_depends_on_the_time_of_the_first_event(#[case] target: &str, #[case] refused: bool) {
    let mut dispatcher = dispatcher(&[endpoint("e", target, 1)]);
    for _ in 0..3 {
        dispatcher.enter(at(0), job(target, 2, at(0)));
    }
    let new_request = Job {
        objective: Span::from_millis(200),
        ..job(target, 2, at(1))
    };
    dispatcher.enter(at(1), new_request);
    assert_eq!(refusals(&mut dispatcher).len(), usize::from(refused));
}
