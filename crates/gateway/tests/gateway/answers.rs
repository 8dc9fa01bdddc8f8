//! What a caller gets is its own request's answer, whole or clearly not.

use rstest::rstest;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::field;
use crate::support::run;

async fn with(script: Vec<Act>) -> (Worker, Gateway, Caller) {
    let worker = Worker::start("e", script).await;
    let gateway = Gateway::start(&[&worker]).await;
    let caller = Caller::connect(&gateway).await;
    (worker, gateway, caller)
}

#[test]
fn status_head_and_body_are_the_endpoints() {
    run(|| async {
        let text = "HTTP/1.1 207 Many\r\nwoadstage-request: {id}\r\nx-seal: s-1\r\nconnection: x-hop\r\n\
                    x-hop: no\r\ncontent-length: 4\r\n\r\nbody";
        let (_worker, _gateway, mut caller) = with(vec![Act::Answer(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        let seen = caller.answer().await;
        assert_eq!((seen.status, seen.body.as_str()), (207, "body"));
        assert_eq!(field(&seen.head, "x-seal"), Some("s-1"));
        assert_eq!(field(&seen.head, "woadstage-request"), Some("id-1"));
        assert_eq!(field(&seen.head, "x-hop"), None);
    });
}

#[test]
fn an_answer_of_known_length_is_counted_whole_and_its_connection_kept() {
    run(|| async {
        let (worker, gateway, mut caller) = with(vec![Act::Answer(answer("200 OK", "fine"))]).await;
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
        let (_worker, gateway, mut caller) = with(vec![Act::Answer(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        assert_eq!(caller.answer().await.status, status);
        gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
    });
}

#[test]
fn an_answer_may_end_with_its_connection() {
    run(|| async {
        let text = "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\n\r\nall of it";
        let (_worker, _gateway, mut caller) = with(vec![Act::AnswerAndClose(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        let seen = caller.answer().await;
        assert_eq!((seen.body.as_str(), seen.whole), ("all of it", true));
    });
}

#[rstest]
#[case::reset_without_a_length("HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\n\r\npart".to_owned(), true)]
#[case::closed_short_of_its_length("HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\ncontent-length: 9\r\n\r\npart".to_owned(), false)]
#[case::closed_between_chunks(format!("{}{}", chunked_head(), chunk("part")), false)]
fn an_answer_that_breaks_off_does_not_look_whole(#[case] text: String, #[case] reset: bool) {
    run(|| async {
        let act = if reset {
            Act::AnswerAndReset(text)
        } else {
            Act::AnswerAndClose(text)
        };
        let (_worker, gateway, mut caller) = with(vec![act]).await;
        caller.request("id-1", "/once/x", "").await;
        let seen = caller.answer().await;
        assert!(!seen.whole, "{seen:?}");
        gateway.wait_for_line(&["\"cut\"", "id-1"]).await;
    });
}

#[rstest]
#[case::of_another_request(
    "HTTP/1.1 200 OK\r\nwoadstage-request: other\r\ncontent-length: 4\r\n\r\nfine"
)]
#[case::of_none("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine")]
#[case::that_is_none("this is no answer\r\n\r\n")]
fn an_answer_that_is_not_its_own_is_not_passed_on(#[case] text: &str) {
    run(|| async {
        let (_worker, _gateway, mut caller) = with(vec![Act::Answer(text.into())]).await;
        caller.request("id-1", "/once/x", "").await;
        let seen = caller.answer().await;
        assert_eq!(seen.status, 502);
        assert!(seen.body.contains("unknown"), "{seen:?}");
    });
}

#[test]
fn a_second_answer_is_not_the_next_requests() {
    run(|| async {
        let twice = format!("{}{}", answer("200 OK", "first"), answer("200 OK", "again"));
        let script = vec![Act::Answer(twice), Act::Answer(answer("200 OK", "second"))];
        let (worker, _gateway, mut caller) = with(script).await;
        caller.request("id-1", "/once/x", "").await;
        assert_eq!(caller.answer().await.body, "first");
        caller.request("id-2", "/once/y", "").await;
        let seen = caller.answer().await;
        assert_eq!((seen.status, seen.body.as_str()), (200, "second"));
        assert_eq!(worker.connections.get(), 2);
    });
}

#[test]
fn an_endpoint_that_asks_for_it_gets_a_new_connection() {
    run(|| async {
        let text = "HTTP/1.1 200 OK\r\nwoadstage-request: {id}\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfine";
        let (worker, gateway, mut caller) = with(vec![Act::Answer(text.into())]).await;
        for id in ["id-1", "id-2"] {
            caller.request(id, "/once/x", "").await;
            assert_eq!(caller.answer().await.status, 200);
            gateway.wait_for_line(&["\"answered\"", id]).await;
        }
        assert_eq!(worker.connections.get(), 2);
    });
}
