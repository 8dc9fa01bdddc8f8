//! Answers that end with their connection or break off, as callers get them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::sync::Notify;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_gateway::upstream::probe;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::closing_head;
use crate::support::field;
use crate::support::run;
use crate::support::to_endpoint;

const WHOLE: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
const BROKEN: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: pie";

/// Returns whether a caller's answer was complete, and its body, if an endpoint answers so and
/// closes the connection.
async fn answered(path: &str, answer: String) -> (bool, String) {
    let worker = Worker::start("e", vec![Action::AnswerAndClose(answer)]).await;
    let gateway = Gateway::start(&[&worker]).await;
    let mut caller = Caller::connect(&gateway).await;
    caller.request("id-1", path, "").await;
    let response = caller.answer().await;
    (response.is_complete, response.body)
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_stream_closed_inside_an_event_does_not_look_complete(#[case] path: &str) {
    run(|| async move {
        let (is_complete, body) = answered(path, closing_head() + BROKEN).await;
        assert!(!is_complete, "{body}");
    });
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_stream_with_a_last_chunk_inside_an_event_does_not_look_complete(#[case] path: &str) {
    run(|| async move {
        let answer = format!("{}{}0\r\n\r\n", chunked_head(), chunk(BROKEN));
        let (is_complete, body) = answered(path, answer).await;
        assert!(!is_complete, "{body}");
    });
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_stream_of_stated_length_inside_an_event_does_not_look_complete(#[case] path: &str) {
    run(|| async move {
        let length = format!("content-length: {}\r\n\r\n", BROKEN.len());
        let head = closing_head().replace("connection: close\r\n\r\n", &length);
        let (is_complete, body) = answered(path, head + BROKEN).await;
        assert!(!is_complete, "{body}");
    });
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_stream_closed_before_its_first_event_does_not_look_complete(#[case] path: &str) {
    run(|| async move {
        let (is_complete, body) = answered(path, closing_head()).await;
        assert!(!is_complete, "{body}");
    });
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_stream_closed_after_an_event_is_complete(#[case] path: &str) {
    run(|| async move {
        let answered = answered(path, closing_head() + WHOLE).await;
        assert_eq!(answered, (true, WHOLE.to_owned()));
    });
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_stream_of_an_endpoint_of_http_10_closed_inside_an_event_does_not_look_complete(
    #[case] path: &str,
) {
    run(|| async move {
        let answer = (closing_head() + BROKEN).replace("HTTP/1.1", "HTTP/1.0");
        let worker = Worker::start("e", vec![Action::AnswerAndClose(answer)]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", path, "").await;
        let (received, _) = caller.read_to_end().await;
        let is_chunked = received.contains("transfer-encoding: chunked");
        assert!(is_chunked && !received.ends_with("0\r\n\r\n"), "{received}");
    });
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_stream_closed_after_an_event_as_its_endpoint_ends_does_not_look_complete(#[case] path: &str) {
    run(|| async move {
        let proceed = Rc::new(Notify::new());
        let steps = vec![closing_head() + WHOLE];
        let script = vec![Action::AnswerStepwise(steps, proceed.clone())];
        let worker = Worker::start("e", script).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", path, "").await;
        proceed.notify_one();
        caller.head().await.expect("an answer");
        worker.crash();
        let (received, _) = caller.read_to_end().await;
        assert!(!received.ends_with("0\r\n\r\n"), "{received}");
    });
}

#[test]
fn a_plain_answer_that_ends_with_its_connection_is_complete() {
    run(|| async {
        let head = closing_head().replace("text/event-stream", "application/json");
        let answered = answered("/once/x", head + "{\"fine\": true}").await;
        assert_eq!(answered, (true, "{\"fine\": true}".to_owned()));
    });
}

#[test]
fn a_stream_closed_inside_an_event_resumes_after_the_last_complete_one() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let rest = "id: 2\ndata: piece 2\n\n".to_owned();
        let steps = vec![closing_head(), BROKEN.to_owned()];
        let broken = Action::AnswerStepwiseAndClose(steps, proceed.clone());
        let one = Worker::start("e", vec![broken]).await;
        let whole = Action::AnswerAndClose(closing_head() + &rest);
        let other = Worker::start("f", vec![whole]).await;
        let gateway = Gateway::start(&[&one]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/resumable/x", "").await;
        proceed.notify_one();
        caller.head().await.expect("an answer");
        gateway.set_endpoints(&[&one, &other]);
        proceed.notify_one();
        let body = caller.read_until("0\r\n\r\n").await;
        assert_eq!(body.matches("data: pie").count(), 2, "{body}");
        let second = other.requests.borrow()[0].clone();
        assert_eq!(field(&second, "last-event-id"), Some("1"));
        let line = gateway.wait_for_line(&["\"attempt\"", "\"lost\""]).await;
        assert!(line.contains("inside-event"), "{line}");
    });
}

#[test]
fn a_stream_is_not_resumed_inside_an_event_that_was_forwarded_in_part() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let long = format!("id: 1\ndata: {}", "x".repeat(300 << 10));
        let steps = vec![chunked_head() + &chunk(&long), String::new()];
        let broken = Action::AnswerStepwiseAndClose(steps, proceed.clone());
        let worker = Worker::start("e", vec![broken]).await;
        let rest = chunked_head() + &chunk("id: 1\ndata: piece 1\n\n") + "0\r\n\r\n";
        let other = Worker::start("f", vec![Action::Answer(rest)]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/resumable/x", "").await;
        proceed.notify_one();
        caller.read_until("xxx").await;
        gateway.set_endpoints(&[&worker, &other]);
        proceed.notify_one();
        let (received, _) = caller.read_to_end().await;
        assert!(
            !received.contains("piece"),
            "another event follows a torn one"
        );
    });
}

/// Returns what a caller of HTTP/1.0 receives before its connection ends, and whether that end is
/// orderly.
async fn answered_over_http_10(path: &str, answer: String) -> (String, bool) {
    let worker = Worker::start("e", vec![Action::AnswerAndClose(answer)]).await;
    let gateway = Gateway::start(&[&worker]).await;
    let mut caller = Caller::connect(&gateway).await;
    caller.request_over_http_10("id-1", path).await;
    caller.read_to_end().await
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
#[case::plain("/once/x")]
fn an_answer_broken_off_over_http_10_ends_in_a_reset(#[case] path: &str) {
    run(|| async move {
        let answer = format!("{}{}", chunked_head(), chunk(BROKEN));
        let (received, is_orderly) = answered_over_http_10(path, answer).await;
        assert!(!is_orderly, "{received}");
    });
}

#[test]
fn an_answer_broken_off_for_a_caller_that_asked_to_close_does_not_look_complete() {
    run(|| async {
        let answer = format!("{}{}", chunked_head(), chunk(BROKEN));
        let worker = Worker::start("e", vec![Action::AnswerAndClose(answer)]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller
            .send(
                "POST /stream/x HTTP/1.1\r\nhost: host.example\r\nconnection: close\r\n\
                 authorization: Bearer a-secret-key\r\nwoadstage-request: id-1\r\n\
                 woadstage-timeout-ms: 20000\r\ncontent-length: 0\r\n\r\n",
            )
            .await;
        assert!(!caller.answer().await.is_complete);
    });
}

#[test]
fn a_whole_answer_over_http_10_ends_in_an_orderly_close() {
    run(|| async {
        let answer = format!("{}{}0\r\n\r\n", chunked_head(), chunk(WHOLE));
        let (received, is_orderly) = answered_over_http_10("/resumable/x", answer).await;
        assert!(is_orderly && received.ends_with(WHOLE), "{received}");
    });
}

/// A new connection that reached an endpoint in its last moment is reset, before or after it counts
/// as open here.
#[test]
fn an_endpoint_that_resets_new_connections_has_ended() {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        unreachable!("bound to IPv4");
    };
    let resetting = std::thread::spawn(move || {
        for _ in 0..MAX_RESETS {
            let (stream, _) = listener.accept().expect("a connection");
            let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.expect("the socket is open");
        }
    });
    run(move || async move {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let endpoint = Endpoint {
            address,
            ..to_endpoint(&worker)
        };
        let gateway = Gateway::start(&[]).await;
        for number in 0..MAX_RESETS {
            assert!(
                probe::has_ended(&gateway.shell, &endpoint).await,
                "{number}"
            );
        }
    });
    resetting.join().expect("the thread ends");
}

/// Enough connections that some are reset before they count as open.
const MAX_RESETS: usize = 2_000;
