//! What becomes of a request whose first endpoint gave no answer.

use rstest::rstest;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::field;
use crate::support::run;
use crate::support::to_endpoint;

const NOT_RUN: &str = "HTTP/1.1 503 Service Unavailable\r\nwoadstage-request: {id}\r\nwoadstage-not-run: 1\r\n\
                       content-length: 0\r\n\r\n";

const BUSY_WITHOUT_A_WORD: &str =
    "HTTP/1.1 503 Service Unavailable\r\nwoadstage-request: {id}\r\ncontent-length: 0\r\n\r\n";

const MISDIRECTED: &str =
    "HTTP/1.1 421 Misdirected Request\r\nwoadstage-request: {id}\r\ncontent-length: 0\r\n\r\n";

/// Sends a request to a gateway with two endpoints that act the same, so that
/// either may be first. Gives how many were asked, and the caller's answer.
async fn two(first: Action, path: &str) -> (usize, crate::support::Response) {
    let one = Worker::start("e", vec![first.clone()]).await;
    let other = Worker::start("f", vec![first]).await;
    let gateway = Gateway::start(&[&one, &other]).await;
    let mut caller = Caller::connect(&gateway).await;
    caller.request("id-1", path, "body").await;
    let seen = caller.answer().await;
    let asked = one.requests.borrow().len() + other.requests.borrow().len();
    (asked, seen)
}

#[rstest]
#[case::rejected_and_may_go_on("/twice/x", NOT_RUN, 2, 503)]
#[case::rejected_and_may_not("/once/x", NOT_RUN, 1, 503)]
#[case::another_is_there("/twice/x", MISDIRECTED, 2, 503)]
#[case::busy_without_a_word("/twice/x", BUSY_WITHOUT_A_WORD, 1, 502)]
fn what_may_run_once(
    #[case] path: &str,
    #[case] first: &str,
    #[case] asked: usize,
    #[case] status: u16,
) {
    run(|| async {
        let (count, seen) = two(Action::Answer(first.into()), path).await;
        assert_eq!((count, seen.status), (asked, status), "{seen:?}");
        let may_return = field(&seen.head, "retry-after").is_some();
        assert_eq!(may_return, status == 503);
    });
}

#[rstest]
#[case::closed_without_an_answer(Action::AnswerAndClose(String::new()), 502)]
#[case::reset_without_an_answer(Action::AnswerAndReset(String::new()), 502)]
#[case::a_fault_of_its_own(Action::Answer(answer("500 Internal Server Error", "broken")), 500)]
fn what_may_have_run_is_not_sent_again(#[case] first: Action, #[case] status: u16) {
    run(|| async {
        let (asked, seen) = two(first, "/twice/x").await;
        assert_eq!((asked, seen.status), (1, status), "{seen:?}");
        assert_eq!(field(&seen.head, "retry-after"), None);
    });
}

#[rstest]
#[case::closed_without_an_answer(Action::AnswerAndClose(String::new()), 502)]
#[case::a_fault_of_its_own(Action::Answer(answer("500 Internal Server Error", "broken")), 500)]
fn what_may_run_twice_is_sent_to_as_many_as_allowed(#[case] first: Action, #[case] status: u16) {
    run(|| async {
        let (asked, seen) = two(first, "/repeatable/x").await;
        assert_eq!((asked, seen.status), (2, status), "{seen:?}");
    });
}

#[test]
fn an_endpoints_own_fault_is_passed_with_its_body() {
    run(|| async {
        let fault = answer("500 Internal Server Error", "what went wrong");
        let (_, seen) = two(Action::Answer(fault), "/once/x").await;
        assert_eq!((seen.status, seen.body.as_str()), (500, "what went wrong"));
    });
}

#[test]
fn an_endpoint_that_refuses_connections_is_passed_over() {
    run(|| async {
        let gone = Worker::start("gone", vec![Action::NoAnswer]).await;
        let there = Worker::start("there", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let mut dead = gone.clone();
        let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let std::net::SocketAddr::V4(address) = unused.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        drop(unused);
        dead.address = address;
        let gateway = Gateway::start(&[&dead, &there]).await;
        let mut caller = Caller::connect(&gateway).await;
        for id in ["id-1", "id-2", "id-3", "id-4", "id-5", "id-6"] {
            caller.request(id, "/once/x", "").await;
            assert_eq!(caller.answer().await.status, 200);
        }
        assert_eq!(there.requests.borrow().len(), 6);
    });
}

#[test]
fn a_connection_that_closed_while_it_rested_costs_nothing() {
    run(|| async {
        let closes = Action::AnswerAndClose(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![closes]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        for id in ["id-1", "id-2", "id-3"] {
            caller.request(id, "/once/x", "").await;
            assert_eq!(caller.answer().await.status, 200);
            worker.connection_closed.notified().await;
        }
        assert_eq!(worker.requests.borrow().len(), 3);
    });
}

#[test]
fn with_no_answer_in_time_the_caller_is_told_so() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/short/x", "").await;
        let seen = caller.answer().await;
        assert_eq!(seen.status, 504);
        // The endpoint is not left to work for nobody.
        worker.connection_closed.notified().await;
    });
}

#[test]
fn an_endpoint_that_starts_leaving_gets_nothing_new() {
    run(|| async {
        let script = vec![Action::Answer(answer("200 OK", "fine"))];
        let one = Worker::start("e", script.clone()).await;
        let other = Worker::start("f", script).await;
        let gateway = Gateway::start(&[&one, &other]).await;
        let mut leaving = to_endpoint(&one);
        leaving.leaving = true;
        let list = woadstage_dispatch::endpoint::List {
            settled: true,
            revision: 2,
            endpoints: vec![leaving, to_endpoint(&other)],
            ..Default::default()
        };
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.set_endpoints(now, std::sync::Arc::new(list)));
        let mut caller = Caller::connect(&gateway).await;
        for id in ["id-1", "id-2", "id-3", "id-4"] {
            caller.request(id, "/once/x", "").await;
            assert_eq!(caller.answer().await.status, 200);
        }
        assert_eq!(one.requests.borrow().len(), 0);
    });
}
