//! Tests that requests reach their endpoint unchanged except for what the gateway sets.

use rstest::rstest;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::Worker;
use crate::support::answer;
use crate::support::field;
use crate::support::run;

async fn start_one() -> (Worker, Gateway) {
    let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
    let gateway = Gateway::start(&[&worker]).await;
    (worker, gateway)
}

#[test]
fn method_path_query_and_body_are_unchanged() {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = Caller::connect(&gateway).await;
        let path = "/once/a%20b//c/../d?x=1&y=%2F&&";
        caller.request("id-1", path, "{\"a\": 1}").await;
        assert_eq!(caller.answer().await.status, 200);
        let request = worker.requests.borrow()[0].clone();
        assert!(
            request.starts_with(&format!("POST {path} HTTP/1.1\r\n")),
            "{request}"
        );
        assert!(request.ends_with("\r\n\r\n{\"a\": 1}"), "{request}");
        assert_eq!(field(&request, "host"), Some("host.example"));
        assert_eq!(field(&request, "woadstage-request"), Some("id-1"));
    });
}

#[test]
fn the_key_is_removed_and_the_customer_is_added() {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = Caller::connect(&gateway).await;
        caller
            .send(&format!(
                "GET /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: id-1\r\nwoadstage-customer: another\r\nx-own: kept\r\n\r\n"
            ))
            .await;
        assert_eq!(caller.answer().await.status, 200);
        let request = worker.requests.borrow()[0].clone();
        assert!(!request.contains(KEY), "{request}");
        assert_eq!(field(&request, "woadstage-customer"), Some("customer"));
        assert_eq!(request.matches("woadstage-customer").count(), 1);
        assert_eq!(field(&request, "woadstage-endpoint"), Some("e"));
        assert_eq!(field(&request, "x-own"), Some("kept"));
    });
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = Caller::connect(&gateway).await;
        caller
            .send(&format!(
                "GET /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: id-1\r\nconnection: keep-alive, x-named\r\nx-named: no\r\n\
                 keep-alive: timeout=5\r\nte: trailers\r\n\r\n"
            ))
            .await;
        assert_eq!(caller.answer().await.status, 200);
        let request = worker.requests.borrow()[0].clone();
        for name in ["connection", "x-named", "keep-alive", "te"] {
            assert_eq!(field(&request, name), None, "{request}");
        }
    });
}

#[test]
fn the_endpoint_receives_the_time_left() {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        caller.answer().await;
        let request = worker.requests.borrow()[0].clone();
        let left: u64 = field(&request, "woadstage-timeout-ms")
            .expect("no timeout field")
            .parse()
            .expect("the timeout is not a number");
        assert!((1..=20_000).contains(&left), "{left}");
    });
}

#[test]
fn a_chunked_body_arrives_complete() {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = Caller::connect(&gateway).await;
        caller
            .send(&format!(
                "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: id-1\r\ntransfer-encoding: chunked\r\n\r\n\
                 5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
            ))
            .await;
        assert_eq!(caller.answer().await.status, 200);
        let request = worker.requests.borrow()[0].clone();
        assert!(request.ends_with("\r\n\r\nhello world"), "{request}");
    });
}

#[test]
fn a_long_body_arrives_complete() {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = Caller::connect(&gateway).await;
        let body = "0123456789".repeat(100_000);
        caller.request("id-1", "/once/x", &body).await;
        assert_eq!(caller.answer().await.status, 200);
        let request = worker.requests.borrow()[0].clone();
        assert!(request.ends_with(&body), "{} bytes arrived", request.len());
    });
}

#[test]
fn an_answer_may_precede_the_end_of_the_body() {
    run(|| async {
        let go_on = std::rc::Rc::new(tokio::sync::Notify::new());
        let first = Action::AnswerEarly(answer("200 OK", "early"), go_on.clone());
        let later = Action::Answer(answer("200 OK", "later"));
        let worker = Worker::start("e", vec![first, later]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        let body = "x".repeat(200_000);
        caller.request("id-1", "/once/x", &body).await;
        let early = caller.answer().await;
        assert_eq!((early.status, early.body.as_str()), (200, "early"));
        go_on.notify_one();
        // Whether or not that connection is reused, the endpoint must not read bytes of the
        // next request as the rest of this body.
        let mut other = Caller::connect(&gateway).await;
        other.request("id-2", "/once/y", "second").await;
        assert_eq!(other.answer().await.body, "later");
        let requests = worker.requests.borrow();
        let second = requests.iter().find(|request| request.contains("/once/y"));
        assert!(
            second
                .expect("the second request did not arrive")
                .ends_with("\r\n\r\nsecond")
        );
    });
}

/// Sends a request with these fields and a body in one chunk.
async fn send_in_chunks(gateway: &Gateway, fields: &str) -> Caller {
    let mut caller = Caller::connect(gateway).await;
    caller
        .send(&format!(
            "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: id-1\r\n{fields}\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        ))
        .await;
    caller
}

/// Guards against bodies that reach an endpoint in another form than their caller sent them.
#[rstest]
#[case::misspelt_coding("transfer-encoding: chunke")]
#[case::other_coding("transfer-encoding: gzip")]
#[case::coding_before_chunks("transfer-encoding: gzip, chunked")]
#[case::coding_after_chunks("transfer-encoding: chunked, gzip")]
#[case::chunks_twice("transfer-encoding: chunked, chunked")]
#[case::chunks_in_two_fields("transfer-encoding: chunked\r\ntransfer-encoding: chunked")]
#[case::empty_coding("transfer-encoding:")]
#[case::no_length("content-length: x")]
#[case::other_lengths("content-length: 4\r\ncontent-length: 3")]
#[case::list_of_lengths("content-length: 4, 3")]
#[case::no_field("no field\r\ncontent-length: 4")]
#[case::blank_in_a_name("na me: x\r\ncontent-length: 4")]
fn a_request_that_leaves_open_what_its_body_is_is_rejected(#[case] fields: &str) {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = send_in_chunks(&gateway, fields).await;
        let (received, _) = caller.read_to_end().await;
        assert!(received.starts_with("HTTP/1.1 400 "), "{received}");
        assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{received}");
        assert_eq!(worker.requests.borrow().len(), 0);
    });
}

/// Guards against a second request that is hidden in the body of the first.
#[rstest]
#[case::length_first("content-length: 3\r\ntransfer-encoding: chunked")]
#[case::coding_first("transfer-encoding: chunked\r\ncontent-length: 3")]
fn a_length_beside_chunks_does_not_split_a_request(#[case] fields: &str) {
    run(|| async {
        let (worker, gateway) = start_one().await;
        let mut caller = send_in_chunks(&gateway, fields).await;
        assert_eq!(caller.answer().await.status, 200);
        assert!(caller.is_closed().await);
        let requests = worker.requests.borrow();
        assert_eq!(requests.len(), 1);
        assert!(requests[0].ends_with("\r\n\r\nbody"), "{}", requests[0]);
        assert_eq!(field(&requests[0], "transfer-encoding"), None);
        assert_eq!(field(&requests[0], "content-length"), Some("4"));
    });
}
