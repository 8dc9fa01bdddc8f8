//! Streams: events as they come, and their way on after a break.

use std::rc::Rc;

use tokio::sync::Notify;

use crate::support::Act;
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

fn whole(ids: std::ops::Range<u32>) -> String {
    let events: String = ids.map(|id| chunk(&event(id))).collect();
    format!("{}{events}0\r\n\r\n", chunked_head())
}

#[test]
fn events_pass_as_they_come() {
    run(|| async {
        let go_on = Rc::new(Notify::new());
        let steps = vec![
            format!("{}{}", chunked_head(), chunk(&event(1))),
            format!("{}0\r\n\r\n", chunk(&event(2))),
        ];
        let worker = Worker::start("e", vec![Act::Stepwise(steps, go_on.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        go_on.notify_one();
        caller.read_until("piece 1").await;
        go_on.notify_one();
        caller.read_until("0\r\n\r\n").await;
        let line = gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
        assert!(line.contains("\"events\":2"), "{line}");
    });
}

#[test]
fn a_stream_that_may_not_go_on_breaks_off() {
    run(|| async {
        let part = format!("{}{}", chunked_head(), chunk(&event(1)));
        let one = Worker::start("e", vec![Act::AnswerAndClose(part.clone())]).await;
        let other = Worker::start("f", vec![Act::AnswerAndClose(part)]).await;
        let gateway = Gateway::start(&[&one, &other]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        let seen = caller.answer().await;
        assert!(!seen.whole);
        assert_eq!(
            one.requests.borrow().len() + other.requests.borrow().len(),
            1
        );
    });
}

#[test]
fn a_resumable_stream_goes_on_after_the_last_whole_event() {
    run(|| async {
        // Both break off within the third event, or go on from the second.
        let broken = format!("{}{}{}", chunked_head(), chunk(&event(1)), chunk(&event(2)));
        let broken = format!("{broken}{}", chunk("id: 3\ndata: pie"));
        let broken = broken.replace(
            "\r\nwoadstage-request",
            "\r\nx-seal: first\r\nwoadstage-request",
        );
        let script = vec![Act::AnswerAndClose(broken), Act::Answer(whole(3..5))];
        let one = Worker::start("e", script.clone()).await;
        let gateway = Gateway::start(&[&one]).await;
        let other = Worker::start("f", vec![Act::Answer(whole(3..5))]).await;
        let mut caller = Caller::connect(&gateway).await;
        let list = woadstage_dispatch::endpoint::List {
            settled: true,
            revision: 2,
            endpoints: vec![crate::support::to_endpoint(&one)],
            ..Default::default()
        };
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.set_endpoints(now, std::sync::Arc::new(list)));
        caller.request("id-1", "/resumable/x", "prompt").await;
        let head = caller.head().await.expect("an answer");
        assert_eq!(field(&head, "x-seal"), Some("first"));
        // The second endpoint comes while the first has broken off.
        let list = woadstage_dispatch::endpoint::List {
            settled: true,
            revision: 3,
            endpoints: vec![
                crate::support::to_endpoint(&one),
                crate::support::to_endpoint(&other),
            ],
            ..Default::default()
        };
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.set_endpoints(now, std::sync::Arc::new(list)));
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
        let one = Worker::start("e", vec![Act::AnswerAndClose(part.clone())]).await;
        let other = Worker::start("f", vec![Act::AnswerAndClose(part)]).await;
        let gateway = Gateway::start(&[&one, &other]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/resumable/x", "").await;
        let seen = caller.answer().await;
        assert!(!seen.whole);
        assert_eq!(
            one.requests.borrow().len() + other.requests.borrow().len(),
            2
        );
    });
}

#[test]
fn a_caller_that_leaves_ends_the_endpoints_work() {
    run(|| async {
        let go_on = Rc::new(Notify::new());
        let steps = vec![
            format!("{}{}", chunked_head(), chunk(&event(1))),
            chunk(&event(2)),
        ];
        let worker = Worker::start("e", vec![Act::Stepwise(steps, go_on.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        go_on.notify_one();
        caller.read_until("piece 1").await;
        drop(caller);
        worker.closed.notified().await;
        gateway.wait_for_line(&["\"left\"", "id-1"]).await;
        assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
    });
}

#[test]
fn a_caller_that_leaves_before_the_answer_ends_the_endpoints_work() {
    run(|| async {
        let worker = Worker::start("e", vec![Act::Silence]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        gateway.wait_for_line(&["\"sent\"", "id-1"]).await;
        drop(caller);
        worker.closed.notified().await;
        gateway.wait_for_line(&["\"left\"", "id-1"]).await;
    });
}
