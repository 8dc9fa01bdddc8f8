//! What follows when an attempt has ended: who may be sent again, and where.

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

#[test]
fn an_endpoint_that_is_gone_stays_so_whatever_lists_say() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let id = dispatcher.enter(at(0), once(1));
    dispatcher.end(at(10), id, End::NotThere);
    // The platform has not noticed yet.
    dispatcher.set_endpoints(at(20), list(2, &[endpoint("e", SERVICE, 4)]));
    dispatcher.take_decisions();
    dispatcher.enter(at(30), once(1));
    assert_eq!(starts(&mut dispatcher), []);
}

#[rstest]
#[case::while_it_works_on_others(2_900, 1)]
#[case::and_it_showed_nothing_for_long(1_000, 0)]
fn an_endpoint_rests_whose_answer_came_too_late(#[case] progress: u64, #[case] starts_then: usize) {
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 4)]);
    let [late, other] = [0, 0].map(|millis| dispatcher.enter(at(millis), job(MODEL, 0, at(0))));
    dispatcher.progress(at(progress), other, 1);
    dispatcher.end(at(3_000), late, End::Late);
    dispatcher.take_decisions();
    dispatcher.abandon(at(3_005), other);
    dispatcher.enter(at(3_010), job(MODEL, 0, at(3_010)));
    assert_eq!(starts(&mut dispatcher).len(), starts_then);
}

/// What a node says that finds some endpoints in trouble.
fn finds(number: u8, trouble: Unavailability, names: &[&str]) -> (std::net::SocketAddrV4, Status) {
    let loads = names.iter().map(|name| Load {
        endpoint: number_of(name),
        running: 0,
        pending_tokens: 0,
        unavailability: Some(trouble),
    });
    let status = Status {
        incarnation: u64::from(number),
        sequence: 1,
        loads: loads.collect(),
        ..Status::default()
    };
    (node(number), status)
}

/// Whether an endpoint still gets work after what others said.
fn still_gets_work(said: Vec<(std::net::SocketAddrV4, Status)>) -> bool {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    for (from, status) in said {
        dispatcher.hear(at(0), from, status);
    }
    dispatcher.tick(at(1));
    dispatcher.enter(at(2), once(1));
    starts(&mut dispatcher).len() == 1
}

#[rstest]
#[case::one_found_it_gone(vec![finds(2, Unavailability::Gone, &["e"])], false)]
#[case::two_cannot_connect(vec![finds(2, Unavailability::Unreachable, &["e"]), finds(3, Unavailability::Unreachable, &["e"])], false)]
#[case::one_cannot_connect(vec![finds(2, Unavailability::Unreachable, &["e"])], true)]
#[case::calls_of_two_broke(vec![finds(2, Unavailability::Failing, &["e"]), finds(3, Unavailability::Failing, &["e"])], true)]
#[case::two_that_seem_cut_off(
    vec![
        finds(2, Unavailability::Unreachable, &["e", "f", "g", "h"]),
        finds(3, Unavailability::Unreachable, &["e", "f", "g", "h"]),
    ],
    true
)]
fn what_others_found_dead_is_left_alone(
    #[case] said: Vec<(std::net::SocketAddrV4, Status)>,
    #[case] gets_work: bool,
) {
    assert_eq!(still_gets_work(said), gets_work);
}

#[test]
fn a_call_that_worked_outweighs_what_others_say() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let id = dispatcher.enter(at(0), once(1));
    dispatcher.end(at(10), id, End::Whole);
    for number in [2, 3] {
        let (from, status) = finds(number, Unavailability::Unreachable, &["e"]);
        dispatcher.hear(at(20), from, status);
    }
    dispatcher.tick(at(21));
    dispatcher.take_decisions();
    dispatcher.enter(at(100), once(1));
    assert_eq!(starts(&mut dispatcher).len(), 1);
}
