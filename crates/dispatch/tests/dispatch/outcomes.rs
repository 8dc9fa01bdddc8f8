//! What follows when an attempt has ended: who may be sent again, and where.

use rstest::rstest;
use woadstage_dispatch::budget;
use woadstage_dispatch::dispatcher::Cause;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_types::unit::Span;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::options;
use crate::support::starts;

fn three() -> Dispatcher {
    dispatcher(&[
        endpoint("e", SERVICE, 4),
        endpoint("f", SERVICE, 4),
        endpoint("g", SERVICE, 4),
    ])
}

fn once(attempts: u32) -> Job {
    Job {
        attempts,
        ..job(SERVICE, 2, at(0))
    }
}

fn repeatable(attempts: u32) -> Job {
    Job {
        repeatable: true,
        ..once(attempts)
    }
}

#[rstest]
#[case::it_was_never_sent(once(1), End::NotSent, Next::Again)]
#[case::it_was_rejected(once(2), End::Full, Next::Again)]
#[case::another_was_there(once(2), End::NotThere, Next::Again)]
#[case::rejected_by_as_many_as_allowed(once(1), End::Full, Next::Final(Cause::Attempts))]
#[case::it_may_have_run(once(2), End::Lost, Next::Final(Cause::MayHaveRun))]
#[case::it_ran_and_failed(once(2), End::Fault, Next::Final(Cause::MayHaveRun))]
#[case::it_may_run_twice(repeatable(2), End::Lost, Next::Again)]
#[case::it_failed_and_may_run_twice(repeatable(2), End::Fault, Next::Again)]
#[case::no_attempt_is_left(repeatable(1), End::Lost, Next::Final(Cause::Attempts))]
#[case::it_is_whole(repeatable(2), End::Whole, Next::Over)]
#[case::its_caller_left(repeatable(2), End::Abandoned, Next::Over)]
fn what_follows_the_first_attempt(#[case] job: Job, #[case] end: End, #[case] next: Next) {
    let mut dispatcher = three();
    let id = dispatcher.enter(at(0), job);
    assert_eq!(dispatcher.end(at(10), id, end), next);
    assert_eq!(dispatcher.held(), usize::from(next == Next::Again));
}

#[test]
fn what_may_have_run_once_is_not_sent_again_after_a_rejection() {
    // Lost at the first, rejected by the second: the first may have run it.
    let mut dispatcher = three();
    let id = dispatcher.enter(
        at(0),
        Job {
            attempts: 3,
            ..once(3)
        },
    );
    assert_eq!(dispatcher.end(at(1), id, End::Full), Next::Again);
    assert_eq!(
        dispatcher.end(at(2), id, End::Lost),
        Next::Final(Cause::MayHaveRun)
    );
}

#[test]
fn an_endpoint_is_tried_once_for_a_request() {
    let mut dispatcher = three();
    let id = dispatcher.enter(at(0), repeatable(3));
    dispatcher.end(at(1), id, End::Fault);
    dispatcher.end(at(2), id, End::Fault);
    let mut places: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, place)| place)
        .collect();
    places.sort();
    assert_eq!(places, ["e", "f", "g"]);
    assert_eq!(
        dispatcher.end(at(3), id, End::Fault),
        Next::Final(Cause::Attempts)
    );
}

#[test]
fn nothing_is_sent_again_with_no_time_left() {
    let mut dispatcher = three();
    let id = dispatcher.enter(at(0), repeatable(2));
    assert_eq!(
        dispatcher.end(at(7_990), id, End::Lost),
        Next::Final(Cause::Time)
    );
}

#[test]
fn the_budget_ends_what_is_sent_again() {
    let mut options = options(1);
    options.budget = budget::Options {
        ratio: 0.0,
        extra: 16.0,
        caution: 1.0,
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
    // No other node was heard, so the even part of eight is all there is.
    assert_eq!(next(&mut dispatcher, 0), Next::Again);
    assert_eq!(next(&mut dispatcher, 1), Next::Again);
    assert_eq!(next(&mut dispatcher, 2), Next::Final(Cause::Budget));
    assert_eq!(next(&mut dispatcher, 10_500), Next::Again);
}

#[test]
fn an_endpoint_that_broke_a_call_rests_and_is_tried_again() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let id = dispatcher.enter(at(0), once(1));
    dispatcher.end(at(1), id, End::Lost);
    starts(&mut dispatcher);
    let waits = dispatcher.enter(
        at(2),
        Job {
            arrived: at(2),
            ..once(1)
        },
    );
    assert_eq!(starts(&mut dispatcher), []);
    dispatcher.tick(at(400));
    assert_eq!(starts(&mut dispatcher), [(waits, "e".to_owned())]);
}

#[test]
fn an_endpoint_that_shows_nothing_gets_no_more() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4), endpoint("f", SERVICE, 4)]);
    let silent = dispatcher.enter(at(0), once(1));
    let (_, place) = starts(&mut dispatcher).remove(0);
    dispatcher.tick(at(950));
    for millis in [1_000, 1_001, 1_002] {
        dispatcher.enter(
            at(millis),
            Job {
                arrived: at(millis),
                ..once(1)
            },
        );
    }
    let places = starts(&mut dispatcher);
    assert!(
        places.iter().all(|(_, other)| *other != place),
        "{places:?}"
    );
    dispatcher.abandon(at(1_100), silent);
}
