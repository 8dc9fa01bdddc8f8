//! Tests for requests whose first endpoint did not answer or rejected them.

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

const BUSY_WITHOUT_NOT_RUN: &str =
    "HTTP/1.1 503 Service Unavailable\r\nwoadstage-request: {id}\r\ncontent-length: 0\r\n\r\n";

/// A rejection that names no request, as that of a health check does.
const NOT_RUN_WITHOUT_ID: &str =
    "HTTP/1.1 503 Service Unavailable\r\nwoadstage-not-run: 1\r\ncontent-length: 0\r\n\r\n";

const MISDIRECTED_WITHOUT_ID: &str =
    "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";

const MISDIRECTED: &str =
    "HTTP/1.1 421 Misdirected Request\r\nwoadstage-request: {id}\r\ncontent-length: 0\r\n\r\n";

/// Sends a request to a gateway with two endpoints that behave the same, since either may
/// be chosen first. Returns the number of requests that reached them, and the caller's
/// response.
async fn send_to_pair(first: Action, path: &str) -> (usize, crate::support::Response) {
    let one = Worker::start("e", vec![first.clone()]).await;
    let other = Worker::start("f", vec![first]).await;
    let gateway = Gateway::start(&[&one, &other]).await;
    let mut caller = Caller::connect(&gateway).await;
    caller.request("id-1", path, "body").await;
    let response = caller.answer().await;
    let asked = one.requests.borrow().len() + other.requests.borrow().len();
    (asked, response)
}

#[rstest]
#[case::rejected_with_retries("/twice/x", NOT_RUN, 2, 503)]
#[case::rejected_without_retries("/once/x", NOT_RUN, 1, 503)]
#[case::misdirected("/twice/x", MISDIRECTED, 2, 503)]
#[case::busy_without_not_run("/twice/x", BUSY_WITHOUT_NOT_RUN, 1, 502)]
fn a_request_is_retried_only_if_it_has_not_run_and_its_route_allows(
    #[case] path: &str,
    #[case] first: &str,
    #[case] asked: usize,
    #[case] status: u16,
) {
    run(|| async {
        let (count, response) = send_to_pair(Action::Answer(first.into()), path).await;
        assert_eq!((count, response.status), (asked, status), "{response:?}");
        let may_retry = field(&response.head, "retry-after").is_some();
        assert_eq!(may_retry, status == 503);
    });
}

/// Guards against the late second rejection of a health check, which was taken for the answer to a
/// request that ran.
#[rstest]
#[case::rejected(NOT_RUN_WITHOUT_ID)]
#[case::misdirected(MISDIRECTED_WITHOUT_ID)]
fn a_rejection_that_names_no_request_is_not_believed(#[case] stray: &str) {
    run(|| async {
        let (asked, response) = send_to_pair(Action::Answer(stray.into()), "/twice/x").await;
        assert_eq!((asked, response.status), (1, 502), "{response:?}");
        assert_eq!(field(&response.head, "retry-after"), None);
    });
}

#[rstest]
#[case::closed_without_an_answer(Action::AnswerAndClose(String::new()), 502)]
#[case::reset_without_an_answer(Action::AnswerAndReset(String::new()), 502)]
#[case::internal_server_error(Action::Answer(answer("500 Internal Server Error", "broken")), 500)]
fn a_request_that_may_have_run_is_not_retried(#[case] first: Action, #[case] status: u16) {
    run(|| async {
        let (asked, response) = send_to_pair(first, "/twice/x").await;
        assert_eq!((asked, response.status), (1, status), "{response:?}");
        assert_eq!(field(&response.head, "retry-after"), None);
    });
}

#[rstest]
#[case::closed_without_an_answer(Action::AnswerAndClose(String::new()), 502)]
#[case::internal_server_error(Action::Answer(answer("500 Internal Server Error", "broken")), 500)]
fn a_repeatable_request_is_retried_up_to_the_limit(#[case] first: Action, #[case] status: u16) {
    run(|| async {
        let (asked, response) = send_to_pair(first, "/repeatable/x").await;
        assert_eq!((asked, response.status), (2, status), "{response:?}");
    });
}

#[test]
fn an_endpoints_error_is_passed_on_with_its_body() {
    run(|| async {
        let fault = answer("500 Internal Server Error", "what went wrong");
        let (_, response) = send_to_pair(Action::Answer(fault), "/once/x").await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (500, "what went wrong")
        );
    });
}

#[test]
fn an_endpoint_that_refuses_connections_is_skipped() {
    run(|| async {
        let template = Worker::start("gone", vec![Action::NoAnswer]).await;
        let healthy = Worker::start("there", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let mut unreachable_worker = template.clone();
        let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let std::net::SocketAddr::V4(address) = unused.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        drop(unused);
        unreachable_worker.address = address;
        let gateway = Gateway::start(&[&unreachable_worker, &healthy]).await;
        let mut caller = Caller::connect(&gateway).await;
        for id in ["id-1", "id-2", "id-3", "id-4", "id-5", "id-6"] {
            caller.request(id, "/once/x", "").await;
            assert_eq!(caller.answer().await.status, 200);
        }
        assert_eq!(healthy.requests.borrow().len(), 6);
    });
}

#[test]
fn an_idle_connection_that_closed_fails_no_request() {
    run(|| async {
        let action = Action::AnswerAndClose(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![action]).await;
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
fn a_request_that_times_out_is_answered_with_504() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/short/x", "").await;
        let response = caller.answer().await;
        assert_eq!(response.status, 504);
        // The gateway also closes its connection, so that the endpoint does not go on
        // working for nobody.
        worker.connection_closed.notified().await;
    });
}

#[test]
fn an_endpoint_that_starts_leaving_gets_no_new_requests() {
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
