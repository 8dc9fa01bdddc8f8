//! What follows the end of an attempt: which requests are sent again, and which endpoints are
//! avoided.

use rstest::rstest;
use woadstage_dispatch::budget;
use woadstage_dispatch::dispatcher::Cause;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::endpoint::number_of;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::message::Load;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::message::Unavailability;
use woadstage_types::unit::Span;

use crate::support::MODEL;
use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::node;
use crate::support::options;
use crate::support::starts;

fn three_endpoints() -> Dispatcher {
    dispatcher(&[
        endpoint("e", SERVICE, 4),
        endpoint("f", SERVICE, 4),
        endpoint("g", SERVICE, 4),
    ])
}

fn non_repeatable(attempts: u32) -> Job {
    Job {
        attempts,
        ..job(SERVICE, 2, at(0))
    }
}

fn repeatable(attempts: u32) -> Job {
    Job {
        repeatable: true,
        ..non_repeatable(attempts)
    }
}

#[rstest]
#[case::not_sent(non_repeatable(1), End::NotSent, Next::Again)]
#[case::endpoint_full(non_repeatable(2), End::Full, Next::Again)]
#[case::wrong_endpoint(non_repeatable(2), End::NotThere, Next::Again)]
#[case::endpoint_full_at_last_attempt(non_repeatable(1), End::Full, Next::Final(Cause::Attempts))]
#[case::connection_lost(non_repeatable(2), End::Lost, Next::Final(Cause::MayHaveRun))]
#[case::endpoint_fault(non_repeatable(2), End::Fault, Next::Final(Cause::MayHaveRun))]
#[case::repeatable_connection_lost(repeatable(2), End::Lost, Next::Again)]
#[case::repeatable_endpoint_fault(repeatable(2), End::Fault, Next::Again)]
#[case::attempts_used_up(repeatable(1), End::Lost, Next::Final(Cause::Attempts))]
#[case::complete_answer(repeatable(2), End::Whole, Next::Over)]
#[case::caller_left(repeatable(2), End::Abandoned, Next::Over)]
fn the_end_of_an_attempt_decides_what_follows(
    #[case] job: Job,
    #[case] end: End,
    #[case] next: Next,
) {
    let mut dispatcher = three_endpoints();
    let id = dispatcher.enter(at(0), job);
    assert_eq!(dispatcher.end(at(10), id, end), next);
    assert_eq!(dispatcher.held(), usize::from(next == Next::Again));
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again_after_a_rejection() {
    // Rejected by the first endpoint and lost at the second, which may have run it.
    let mut dispatcher = three_endpoints();
    let id = dispatcher.enter(
        at(0),
        Job {
            attempts: 3,
            ..non_repeatable(3)
        },
    );
    assert_eq!(dispatcher.end(at(1), id, End::Full), Next::Again);
    assert_eq!(
        dispatcher.end(at(2), id, End::Lost),
        Next::Final(Cause::MayHaveRun)
    );
}

#[test]
fn a_request_tries_each_endpoint_once() {
    let mut dispatcher = three_endpoints();
    let id = dispatcher.enter(at(0), repeatable(3));
    dispatcher.end(at(1), id, End::Fault);
    dispatcher.end(at(2), id, End::Fault);
    let mut endpoints: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    endpoints.sort();
    assert_eq!(endpoints, ["e", "f", "g"]);
    assert_eq!(
        dispatcher.end(at(3), id, End::Fault),
        Next::Final(Cause::Attempts)
    );
}

#[test]
fn a_request_without_time_left_is_not_sent_again() {
    let mut dispatcher = three_endpoints();
    let id = dispatcher.enter(at(0), repeatable(2));
    assert_eq!(
        dispatcher.end(at(7_990), id, End::Lost),
        Next::Final(Cause::Time)
    );
}

#[test]
fn the_retry_budget_limits_retries() {
    let mut options = options(1);
    options.budget = budget::Options {
        ratio: 0.0,
        extra: 16.0,
        safety_factor: 1.0,
        window: Span::from_secs(10),
    };
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_configuration(at(0), configuration(1));
    dispatcher.set_endpoints(
        at(0),
        list(1, &[endpoint("e", SERVICE, 9), endpoint("f", SERVICE, 9)]),
    );
    let next = |dispatcher: &mut Dispatcher, millis| {
        let job = Job {
            arrived: at(millis),
            deadline: at(millis + 8_000),
            ..repeatable(2)
        };
        let id = dispatcher.enter(at(millis), job);
        let next = dispatcher.end(at(millis), id, End::Fault);
        dispatcher.end(at(millis), id, End::Whole);
        next
    };
    // No other node was heard, so this node may use one eighth of the budget.
    assert_eq!(next(&mut dispatcher, 0), Next::Again);
    assert_eq!(next(&mut dispatcher, 1), Next::Again);
    assert_eq!(next(&mut dispatcher, 2), Next::Final(Cause::Budget));
    assert_eq!(next(&mut dispatcher, 10_500), Next::Again);
}

#[test]
fn an_endpoint_backs_off_after_a_broken_call() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let id = dispatcher.enter(at(0), non_repeatable(1));
    dispatcher.end(at(1), id, End::Lost);
    starts(&mut dispatcher);
    let waits = dispatcher.enter(
        at(2),
        Job {
            arrived: at(2),
            ..non_repeatable(1)
        },
    );
    assert_eq!(starts(&mut dispatcher), []);
    dispatcher.tick(at(400));
    assert_eq!(starts(&mut dispatcher), [(waits, "e".to_owned())]);
}

#[test]
fn a_stalled_endpoint_gets_no_more_requests() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4), endpoint("f", SERVICE, 4)]);
    let silent = dispatcher.enter(at(0), non_repeatable(1));
    let (_, name) = starts(&mut dispatcher).remove(0);
    dispatcher.tick(at(950));
    for millis in [1_000, 1_001, 1_002] {
        dispatcher.enter(
            at(millis),
            Job {
                arrived: at(millis),
                ..non_repeatable(1)
            },
        );
    }
    let endpoints = starts(&mut dispatcher);
    assert!(
        endpoints.iter().all(|(_, other)| *other != name),
        "{endpoints:?}"
    );
    dispatcher.abandon(at(1_100), silent);
}

#[test]
fn an_endpoint_that_is_gone_is_avoided_even_if_listed() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let id = dispatcher.enter(at(0), non_repeatable(1));
    dispatcher.end(at(10), id, End::NotThere);
    // The platform still lists the endpoint.
    dispatcher.set_endpoints(at(20), list(2, &[endpoint("e", SERVICE, 4)]));
    dispatcher.take_decisions();
    dispatcher.enter(at(30), non_repeatable(1));
    assert_eq!(starts(&mut dispatcher), []);
}

#[rstest]
#[case::other_requests_progress(2_900, 1)]
#[case::no_progress(1_000, 0)]
fn an_endpoint_backs_off_after_a_timeout_without_progress(
    #[case] progress: u64,
    #[case] starts_then: usize,
) {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 4)]);
    let [late, other] = [0, 0].map(|millis| dispatcher.enter(at(millis), job(MODEL, 0, at(0))));
    dispatcher.progress(at(progress), other, 1);
    dispatcher.end(at(3_000), late, End::Late);
    dispatcher.take_decisions();
    dispatcher.abandon(at(3_005), other);
    dispatcher.enter(at(3_010), job(MODEL, 0, at(3_010)));
    assert_eq!(starts(&mut dispatcher).len(), starts_then);
}

/// Builds the status of a node that reports some endpoints as unavailable.
fn unavailability_report(
    number: u8,
    unavailability: Unavailability,
    names: &[&str],
) -> (std::net::SocketAddrV4, Status) {
    let loads = names.iter().map(|name| Load {
        endpoint: number_of(name),
        running: 0,
        pending_tokens: 0,
        unavailability: Some(unavailability),
    });
    let status = Status {
        incarnation: u64::from(number),
        sequence: 1,
        loads: loads.collect(),
        ..Status::default()
    };
    (node(number), status)
}

/// Whether an endpoint still gets work after these reports.
fn still_gets_work(reports: Vec<(std::net::SocketAddrV4, Status)>) -> bool {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    for (from, status) in reports {
        dispatcher.receive_status(at(0), from, status);
    }
    dispatcher.tick(at(1));
    dispatcher.enter(at(2), non_repeatable(1));
    starts(&mut dispatcher).len() == 1
}

#[rstest]
#[case::gone_for_one(vec![unavailability_report(2, Unavailability::Gone, &["e"])], false)]
#[case::unreachable_for_two(vec![unavailability_report(2, Unavailability::Unreachable, &["e"]), unavailability_report(3, Unavailability::Unreachable, &["e"])], false)]
#[case::unreachable_for_one(vec![unavailability_report(2, Unavailability::Unreachable, &["e"])], true)]
#[case::failing_for_two(vec![unavailability_report(2, Unavailability::Failing, &["e"]), unavailability_report(3, Unavailability::Failing, &["e"])], true)]
#[case::unreachable_for_two_isolated_nodes(
    vec![
        unavailability_report(2, Unavailability::Unreachable, &["e", "f", "g", "h"]),
        unavailability_report(3, Unavailability::Unreachable, &["e", "f", "g", "h"]),
    ],
    true
)]
fn reports_of_other_nodes_keep_work_away(
    #[case] reports: Vec<(std::net::SocketAddrV4, Status)>,
    #[case] gets_work: bool,
) {
    assert_eq!(still_gets_work(reports), gets_work);
}

#[test]
fn a_recent_success_outweighs_reports_of_other_nodes() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let id = dispatcher.enter(at(0), non_repeatable(1));
    dispatcher.end(at(10), id, End::Whole);
    for number in [2, 3] {
        let (from, status) = unavailability_report(number, Unavailability::Unreachable, &["e"]);
        dispatcher.receive_status(at(20), from, status);
    }
    dispatcher.tick(at(21));
    dispatcher.take_decisions();
    dispatcher.enter(at(100), non_repeatable(1));
    assert_eq!(starts(&mut dispatcher).len(), 1);
}
