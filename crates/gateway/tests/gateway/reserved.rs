//! Reserved fields, which only the system may send to endpoints: a caller's own must never
//! reach one, on any attempt and with any framing of the body.

use rstest::rstest;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::RESERVED;
use crate::support::Worker;
use crate::support::answer;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::field;
use crate::support::run;

const LONG_BODY_BYTES: usize = 600_000;

const NOT_RUN: &str = "HTTP/1.1 503 Service Unavailable\r\nwoadstage-request: {id}\r\n\
                       woadstage-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Returns the end of a request's head, with the framing fields, and its body.
fn framing_and_body(shape: &str) -> String {
    match shape {
        "none" => "\r\n".to_owned(),
        "length" => "content-length: 4\r\n\r\nbody".to_owned(),
        "chunked" => "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_owned(),
        "long" => format!(
            "content-length: {LONG_BODY_BYTES}\r\n\r\n{}",
            "x".repeat(LONG_BODY_BYTES)
        ),
        "trailers" => format!(
            "trailer: x-order\r\ntransfer-encoding: chunked\r\n\r\n{LONG_BODY_BYTES:x}\r\n{}\r\n\
             0\r\nX-Order: smuggled\r\n\r\n",
            "x".repeat(LONG_BODY_BYTES)
        ),
        other => panic!("unknown framing: {other}"),
    }
}

/// Sends one request with `fields` and returns all requests that the endpoints received.
async fn send(script: Vec<Action>, path: &str, fields: &str, shape: &str) -> Vec<String> {
    let one = Worker::start("e", script.clone()).await;
    let other = Worker::start("f", script).await;
    let gateway = Gateway::start(&[&one, &other]).await;
    let mut caller = Caller::connect(&gateway).await;
    let rest = framing_and_body(shape);
    caller
        .send(&format!(
            "POST {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: id-1\r\nwoadstage-timeout-ms: 20000\r\n{fields}{rest}"
        ))
        .await;
    caller.answer().await;
    let requests = one.requests.borrow().clone();
    let others = other.requests.borrow().clone();
    requests.into_iter().chain(others).collect()
}

fn assert_none_reached(requests: &[String]) {
    for request in requests {
        let lower = request.to_ascii_lowercase();
        for name in RESERVED {
            assert!(!lower.contains(name), "{name} reached an endpoint");
        }
        assert_eq!(field(request, "x-kept"), Some("yes"));
    }
}

#[rstest]
#[case::exact_case("x-order: 1\r\norder-from: 2\r\n")]
#[case::mixed_case("X-ORDER: 1\r\nOrder-From: 2\r\n")]
#[case::repeated("x-order: 1\r\nX-Order: 2\r\norder-from: 3\r\nORDER-FROM: 4\r\n")]
#[case::listed_as_connection_fields(
    "connection: x-order, Order-From\r\nx-order: 1\r\norder-from: 2\r\n"
)]
#[case::empty("x-order:\r\norder-from: \r\n")]
fn a_callers_reserved_fields_are_dropped(
    #[case] fields: &str,
    #[values("none", "length", "chunked", "long", "trailers")] shape: &str,
) {
    run(|| async {
        let fields = format!("x-kept: yes\r\n{fields}");
        let script = vec![Action::Answer(answer("200 OK", "fine"))];
        let requests = send(script, "/once/x", &fields, shape).await;
        assert_eq!(requests.len(), 1);
        assert_none_reached(&requests);
    });
}

#[test]
fn a_callers_reserved_fields_are_dropped_on_the_second_attempt() {
    run(|| async {
        let fields = "x-kept: yes\r\nx-order: 1\r\norder-from: 2\r\n";
        let script = vec![Action::Answer(NOT_RUN.into())];
        let requests = send(script, "/twice/x", fields, "length").await;
        assert_eq!(requests.len(), 2);
        assert_none_reached(&requests);
    });
}

#[test]
fn a_callers_reserved_fields_are_dropped_when_a_stream_resumes() {
    run(|| async {
        let fields = "x-kept: yes\r\nx-order: 1\r\norder-from: 2\r\n";
        let broken = format!("{}{}", chunked_head(), chunk("id: 1\ndata: a\n\n"));
        let script = vec![Action::AnswerAndClose(broken)];
        let requests = send(script, "/resumable/x", fields, "length").await;
        assert_eq!(requests.len(), 2);
        assert!(
            requests
                .iter()
                .any(|one| field(one, "last-event-id") == Some("1"))
        );
        assert_none_reached(&requests);
    });
}
