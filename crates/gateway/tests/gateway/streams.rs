//! Tests for streams: events are passed on as they arrive, and resumable streams continue
//! after a break.

use std::rc::Rc;

use rstest::rstest;
use tokio::sync::Notify;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::field;
use crate::support::run;

fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn complete_stream(ids: std::ops::Range<u32>) -> String {
    let events: String = ids.map(|id| chunk(&event(id))).collect();
    format!("{}{events}0\r\n\r\n", chunked_head())
}

#[test]
fn events_are_passed_on_as_they_arrive() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let steps = vec![
            format!("{}{}", chunked_head(), chunk(&event(1))),
            format!("{}0\r\n\r\n", chunk(&event(2))),
        ];
        let worker = Worker::start("e", vec![Action::AnswerStepwise(steps, proceed.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        proceed.notify_one();
        caller.read_until("piece 1").await;
        proceed.notify_one();
        caller.read_until("0\r\n\r\n").await;
        let line = gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
        assert!(line.contains("\"events\":2"), "{line}");
    });
}

#[rstest]
#[case::line_feeds("\n")]
#[case::carriage_returns_and_line_feeds("\r\n")]
#[case::carriage_returns("\r")]
fn events_of_a_resumable_stream_are_passed_on_as_they_arrive(#[case] line_end: &'static str) {
    run(|| async move {
        let proceed = Rc::new(Notify::new());
        let event = |id| chunk(&event(id).replace('\n', line_end));
        let steps = vec![
            format!("{}{}", chunked_head(), event(1)),
            format!("{}0\r\n\r\n", event(2)),
        ];
        let worker = Worker::start("e", vec![Action::AnswerStepwise(steps, proceed.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/resumable/x", "").await;
        proceed.notify_one();
        caller.read_until("piece 1").await;
        proceed.notify_one();
        caller.read_until("0\r\n\r\n").await;
        let line = gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
        assert!(line.contains("\"events\":2"), "{line}");
    });
}

#[test]
fn a_stream_that_is_not_resumable_breaks_off() {
    run(|| async {
        let part = format!("{}{}", chunked_head(), chunk(&event(1)));
        let one = Worker::start("e", vec![Action::AnswerAndClose(part.clone())]).await;
        let other = Worker::start("f", vec![Action::AnswerAndClose(part)]).await;
        let gateway = Gateway::start(&[&one, &other]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        let response = caller.answer().await;
        assert!(!response.is_complete);
        assert_eq!(
            one.requests.borrow().len() + other.requests.borrow().len(),
            1
        );
    });
}

#[test]
fn a_resumable_stream_continues_after_the_last_complete_event() {
    run(|| async {
        // The endpoint breaks off within the third event. Further requests continue after
        // the second.
        let proceed = Rc::new(Notify::new());
        let begun = format!("{}{}{}", chunked_head(), chunk(&event(1)), chunk(&event(2)));
        let begun = format!("{begun}{}", chunk("id: 3\ndata: pie"));
        let begun = begun.replace(
            "\r\nwoadstage-request",
            "\r\nx-seal: first\r\nwoadstage-request",
        );
        let steps = vec![begun, "no chunk\r\n".to_owned()];
        let script = vec![Action::AnswerStepwise(steps, proceed.clone())];
        let one = Worker::start("e", script).await;
        let other = Worker::start("f", vec![Action::Answer(complete_stream(3..5))]).await;
        let gateway = Gateway::start(&[&one]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/resumable/x", "prompt").await;
        proceed.notify_one();
        let head = caller.head().await.expect("an answer");
        assert_eq!(field(&head, "x-seal"), Some("first"));
        // The second endpoint is added after the first has started its answer.
        gateway.set_endpoints(&[&one, &other]);
        proceed.notify_one();
        let rest = caller.read_until("0\r\n\r\n").await;
        for id in 1..5 {
            assert_eq!(
                rest.matches(&format!("data: piece {id}\n")).count(),
                1,
                "{rest}"
            );
        }
        assert_eq!(rest.matches("data: pie").count(), 4, "{rest}");
        let second = other.requests.borrow()[0].clone();
        assert_eq!(field(&second, "last-event-id"), Some("2"));
        assert!(second.ends_with("\r\n\r\nprompt"));
    });
}

#[test]
fn a_resumable_stream_whose_second_endpoint_fails_breaks_off() {
    run(|| async {
        let part = format!("{}{}", chunked_head(), chunk(&event(1)));
        let one = Worker::start("e", vec![Action::AnswerAndClose(part.clone())]).await;
        let other = Worker::start("f", vec![Action::AnswerAndClose(part)]).await;
        let gateway = Gateway::start(&[&one, &other]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/resumable/x", "").await;
        let response = caller.answer().await;
        assert!(!response.is_complete);
        assert_eq!(
            one.requests.borrow().len() + other.requests.borrow().len(),
            2
        );
    });
}

#[test]
fn a_caller_that_disconnects_cancels_the_endpoints_work() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let steps = vec![
            format!("{}{}", chunked_head(), chunk(&event(1))),
            chunk(&event(2)),
        ];
        let worker = Worker::start("e", vec![Action::AnswerStepwise(steps, proceed.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        proceed.notify_one();
        caller.read_until("piece 1").await;
        drop(caller);
        worker.connection_closed.notified().await;
        gateway.wait_for_line(&["\"left\"", "id-1"]).await;
        assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
    });
}

#[test]
fn a_caller_that_disconnects_before_the_answer_cancels_the_endpoints_work() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        gateway.wait_for_line(&["\"sent\"", "id-1"]).await;
        drop(caller);
        worker.connection_closed.notified().await;
        gateway.wait_for_line(&["\"left\"", "id-1"]).await;
    });
}
