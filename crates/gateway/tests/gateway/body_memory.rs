//! Tests of the memory for request bodies, and of bodies and heads at the limits.

use std::time::Duration;

use rstest::rstest;
use woadstage_gateway::serve::body_memory::BodyMemory;
use woadstage_types::code::Code;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;
use crate::support::serving;

const NOW: Time = Time(1_000_000);

/// The longest body of these tests that is buffered.
const MAX: u64 = 256 << 10;

/// Guards against bodies that stop half-way and keep the memory from those that arrive.
#[test]
fn the_body_that_held_most_for_longest_gives_way() {
    let memory = BodyMemory::new(Size::from_kib(400));
    let bytes = vec![b'a'; 100 << 10];
    let old = memory.begin(NOW);
    old.append(NOW, &bytes, MAX).expect("there is room");
    let later = NOW + Span::from_secs(1);
    let newer = memory.begin(later);
    newer.append(later, &bytes, MAX).expect("there is room");
    let newest = memory.begin(later);
    newest.append(later, &bytes, MAX).expect("there is room");
    let last = memory.begin(later);
    assert_eq!(last.append(later, &bytes, MAX), Ok(()));
    assert_eq!(old.append(later, b"more", MAX), Err(Code::NodeBusy));
    assert_eq!(newer.append(later, b"", MAX), Ok(()));
    assert_eq!(memory.gave_way(), 1);
}

/// Guards against short bodies that are refused beside long ones.
#[test]
fn a_part_of_the_memory_is_left_for_short_bodies() {
    let memory = BodyMemory::new(Size::from_kib(400));
    let bytes = vec![b'a'; 100 << 10];
    let whole: Vec<_> = (0..3)
        .map(|_| {
            let body = memory.begin(NOW);
            body.append(NOW, &bytes, MAX).expect("there is room");
            body.finish()
        })
        .collect();
    assert_eq!(
        memory.begin(NOW).append(NOW, &bytes, MAX),
        Err(Code::NodeBusy)
    );
    assert_eq!(memory.begin(NOW).append(NOW, b"short", MAX), Ok(()));
    drop(whole);
    assert_eq!(memory.used(), Size(0));
}

/// Guards against bodies that hold a request longer than its route allows.
#[test]
fn a_body_that_stops_ends_at_the_deadline() {
    run(|| async {
        let (worker, _gateway, mut caller) = serving().await;
        caller
            .send(&format!(
                "POST /short/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: i\r\ncontent-length: 10\r\n\r\nhalf"
            ))
            .await;
        let response = caller.answer().await;
        assert_eq!(response.status, 408, "{response:?}");
        assert!(response.body.contains("not-run"));
        assert!(worker.requests.borrow().is_empty());
    });
}

/// Guards against answers that are lost, since their callers are still sending.
#[rstest]
#[case::too_long("/once/x", 413)]
#[case::no_route("/none/x", 404)]
fn a_caller_that_is_still_sending_gets_its_answer(#[case] path: &'static str, #[case] status: u16) {
    run(move || async move {
        let (_worker, _gateway, mut caller) = serving().await;
        caller
            .send(&format!(
                "POST {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: i\r\ncontent-length: {}\r\n\r\n",
                5 << 20
            ))
            .await;
        for _ in 0..4 {
            caller.send(&"b".repeat(100 << 10)).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let response = caller.answer().await;
        assert_eq!(response.status, status, "{response:?}");
    });
}

/// Returns a body in chunks.
fn chunks(length: usize) -> String {
    let chunk = format!("8000\r\n{}\r\n", "b".repeat(0x8000));
    chunk.repeat(length / 0x8000)
}

/// Guards against callers' faulty bodies that are taken for failures of the endpoint.
#[rstest]
#[case::no_chunk(chunks(300 << 10) + "zz\r\n")]
#[case::over_the_limit(chunks(5 << 20))]
fn an_endpoint_is_not_charged_with_a_faulty_body(#[case] body: String) {
    run(|| async move {
        let fine = Action::Answer(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![fine]).await;
        let gateway = Gateway::start(&[&worker]).await;
        for number in 0..4 {
            let mut caller = Caller::connect(&gateway).await;
            let head = format!(
                "POST /repeatable/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: faulty-{number}\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            // The gateway may close the connection before all was sent.
            let _ = tokio::time::timeout(Duration::from_secs(5), caller.try_send(&(head + &body)))
                .await;
            caller.read_to_end().await;
        }
        let mut caller = Caller::connect(&gateway).await;
        caller.request("sound", "/repeatable/x", "body").await;
        assert_eq!(caller.answer().await.status, 200);
        gateway.wait_for_line(&["answered", "sound"]).await;
        let lines = gateway.lines.text();
        assert!(!lines.contains("\"end\":\"lost\""), "{lines}");
    });
}

/// The limits of the default configuration.
const MAX_BODY: usize = 4 << 20;
const MAX_HEAD: usize = 16 << 10;

/// Guards against limits that refuse a single request inside those of the configuration.
#[rstest]
#[case::longest_body(format!("content-length: {MAX_BODY}\r\n\r\n{}", "b".repeat(MAX_BODY)))]
#[case::longest_body_in_chunks(format!("transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n", chunks(MAX_BODY)))]
#[case::tiny_chunks(format!("transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n", "1\r\nb\r\n".repeat(100_000)))]
#[case::short_fields("a:\r\n".repeat((MAX_HEAD - 200) / 4) + "\r\n")]
#[case::one_long_field(format!("x: {}\r\n\r\n", "a".repeat(MAX_HEAD - 200)))]
fn a_single_request_at_the_limits_is_served(#[case] rest: String) {
    run(|| async move {
        let (worker, _gateway, mut caller) = serving().await;
        caller
            .send(&format!(
                "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: i\r\n{rest}"
            ))
            .await;
        let response = caller.answer().await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(worker.requests.borrow().len(), 1);
    });
}

/// Guards against limits on slow heads that are shorter than the configuration's.
#[test]
fn a_head_and_a_body_in_pieces_are_served() {
    run(|| async {
        let (_worker, _gateway, mut caller) = serving().await;
        let request = format!(
            "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
             woadstage-request: i\r\ncontent-length: 8\r\n\r\nthe body"
        );
        for piece in request.as_bytes().chunks(10) {
            caller.send(&String::from_utf8_lossy(piece)).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(caller.answer().await.status, 200);
    });
}
