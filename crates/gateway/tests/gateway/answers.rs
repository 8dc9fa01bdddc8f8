//! Tests that a caller gets the answer to its own request, complete or recognisably
//! incomplete.

use rstest::rstest;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::field;
use crate::support::run;

async fn start(script: Vec<Action>) -> (Worker, Gateway, Caller) {
    let worker = Worker::start("e", script).await;
    let gateway = Gateway::start(&[&worker]).await;
    let caller = Caller::connect(&gateway).await;
    (worker, gateway, caller)
}

#[test]
fn status_head_and_body_come_from_the_endpoint() {
    run(|| async {
        let text = "HTTP/1.1 207 Many\r\nwoadstage-request: {id}\r\nx-seal: s-1\r\nconnection: x-hop\r\n\
                    x-hop: no\r\ncontent-length: 4\r\n\r\nbody";
        let (_worker, _gateway, mut caller) = start(vec![Action::Answer(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        let response = caller.answer().await;
        assert_eq!((response.status, response.body.as_str()), (207, "body"));
        assert_eq!(field(&response.head, "x-seal"), Some("s-1"));
        assert_eq!(field(&response.head, "woadstage-request"), Some("id-1"));
        assert_eq!(field(&response.head, "x-hop"), None);
    });
}

#[test]
fn an_answer_of_known_length_is_complete_and_its_connection_is_kept() {
    run(|| async {
        let (worker, gateway, mut caller) =
            start(vec![Action::Answer(answer("200 OK", "fine"))]).await;
        for id in ["id-1", "id-2", "id-3"] {
            caller.request(id, "/once/x", "").await;
            assert_eq!(caller.answer().await.status, 200);
            gateway.wait_for_line(&["\"answered\"", id]).await;
        }
        assert_eq!(worker.connections.get(), 1);
        assert!(!gateway.lines.text().contains("\"left\""));
    });
}

#[rstest]
#[case::without_a_body("HTTP/1.1 204 No Content\r\nwoadstage-request: {id}\r\n\r\n", 204)]
#[case::with_an_empty_body(
    "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\ncontent-length: 0\r\n\r\n",
    200
)]
fn an_answer_may_be_empty(#[case] text: &str, #[case] status: u16) {
    run(|| async {
        let (_worker, gateway, mut caller) = start(vec![Action::Answer(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        assert_eq!(caller.answer().await.status, status);
        gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
    });
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    run(|| async {
        let text = "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\n\r\nall of it";
        let (_worker, _gateway, mut caller) =
            start(vec![Action::AnswerAndClose(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        let response = caller.answer().await;
        assert_eq!(
            (response.body.as_str(), response.is_complete),
            ("all of it", true)
        );
    });
}

#[rstest]
#[case::reset_without_a_length("HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\n\r\npart".to_owned(), true)]
#[case::closed_short_of_its_length("HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\ncontent-length: 9\r\n\r\npart".to_owned(), false)]
#[case::closed_between_chunks(format!("{}{}", chunked_head(), chunk("part")), false)]
fn an_answer_that_breaks_off_does_not_look_complete(#[case] text: String, #[case] reset: bool) {
    run(|| async {
        let act = if reset {
            Action::AnswerAndReset(text)
        } else {
            Action::AnswerAndClose(text)
        };
        let (_worker, gateway, mut caller) = start(vec![act]).await;
        caller.request("id-1", "/once/x", "").await;
        let response = caller.answer().await;
        assert!(!response.is_complete, "{response:?}");
        gateway.wait_for_line(&["\"cut\"", "id-1"]).await;
    });
}

#[rstest]
#[case::with_another_id(
    "HTTP/1.1 200 OK\r\nwoadstage-request: other\r\ncontent-length: 4\r\n\r\nfine"
)]
#[case::without_an_id("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine")]
#[case::not_http("this is no answer\r\n\r\n")]
fn an_answer_without_the_requests_id_is_not_passed_on(#[case] text: &str) {
    run(|| async {
        let (_worker, _gateway, mut caller) = start(vec![Action::Answer(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        let response = caller.answer().await;
        assert_eq!(response.status, 502);
        assert!(response.body.contains("unknown"), "{response:?}");
    });
}

#[test]
fn a_surplus_answer_is_not_passed_to_the_next_request() {
    run(|| async {
        let twice = format!("{}{}", answer("200 OK", "first"), answer("200 OK", "again"));
        let script = vec![
            Action::Answer(twice),
            Action::Answer(answer("200 OK", "second")),
        ];
        let (worker, _gateway, mut caller) = start(script).await;
        caller.request("id-1", "/once/x", "").await;
        assert_eq!(caller.answer().await.body, "first");
        caller.request("id-2", "/once/y", "").await;
        let response = caller.answer().await;
        assert_eq!((response.status, response.body.as_str()), (200, "second"));
        assert_eq!(worker.connections.get(), 2);
    });
}

#[test]
fn a_connection_that_the_endpoint_closes_is_not_reused() {
    run(|| async {
        let text = "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfine";
        let (worker, gateway, mut caller) = start(vec![Action::Answer(text.into())]).await;
        for id in ["id-1", "id-2"] {
            caller.request(id, "/once/x", "").await;
            assert_eq!(caller.answer().await.status, 200);
            gateway.wait_for_line(&["\"answered\"", id]).await;
        }
        assert_eq!(worker.connections.get(), 2);
    });
}
