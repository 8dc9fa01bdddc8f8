//! Readiness and a planned stop.

use std::rc::Rc;

use hyper::StatusCode;
use rstest::rstest;
use tokio::sync::Notify;
use woadstage_gateway::log;
use woadstage_gateway::operators;
use woadstage_gateway::shell::Phase;
use woadstage_types::unit::Span;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Seen;
use crate::support::Worker;
use crate::support::answer;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::field;
use crate::support::run;
use crate::support::serving;

#[test]
fn readiness_is_that_of_the_node() {
    run(|| async {
        let ready = |gateway: &Gateway| operators::readiness(&gateway.shell, "/ready", "/ready").0;
        let without = Gateway::configured(&[], None, log::Options::default()).await;
        assert_eq!(ready(&without), StatusCode::SERVICE_UNAVAILABLE);
        let gateway = Gateway::start(&[]).await;
        assert_eq!(ready(&gateway), StatusCode::OK);
        assert_eq!(
            operators::readiness(&gateway.shell, "/other", "/ready").0,
            StatusCode::NOT_FOUND
        );
        gateway.shell.command(|dispatcher, _| dispatcher.leave());
        assert_eq!(ready(&gateway), StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn while_leaving_callers_are_served_and_asked_to_go_elsewhere() {
    run(|| async {
        let (_worker, gateway, mut caller) = serving().await;
        gateway.shell.set_phase(Phase::Leaving);
        caller.request("id-1", "/once/x", "").await;
        let seen = caller.answer().await;
        assert_eq!(
            (seen.status, field(&seen.head, "connection")),
            (200, Some("close"))
        );
        assert!(caller.is_closed().await);
    });
}

#[test]
fn what_is_under_way_when_the_node_closes_ends_whole() {
    run(|| async {
        let go_on = Rc::new(Notify::new());
        let steps = vec![
            format!("{}{}", chunked_head(), chunk("id: 1\n\n")),
            format!("{}0\r\n\r\n", chunk("id: 2\n\n")),
        ];
        let worker = Worker::start("e", vec![Act::Stepwise(steps, go_on.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut under_way = Caller::connect(&gateway).await;
        let mut at_rest = Caller::connect(&gateway).await;
        at_rest.request("id-0", "/none/x", "").await;
        at_rest.answer().await;
        under_way.request("id-1", "/stream/x", "").await;
        go_on.notify_one();
        under_way.read_until("id: 1").await;
        gateway.shell.set_phase(Phase::Closing);
        assert!(at_rest.is_closed().await);
        gateway.shell.set_phase(Phase::Stopped);
        go_on.notify_one();
        under_way.read_until("id: 2").await;
        assert!(under_way.is_closed().await);
    });
}

/// What a new caller gets from a node that closes and has so long left.
async fn asks_while_closing(path: &str, left: Span) -> (Seen, usize) {
    let worker = Worker::start("e", vec![Act::Answer(answer("200 OK", "fine"))]).await;
    let gateway = Gateway::start(&[&worker]).await;
    gateway.shell.start_closing(left);
    let mut caller = Caller::connect(&gateway).await;
    caller.request("id-1", path, "").await;
    let seen = caller.answer().await;
    assert!(caller.is_closed().await);
    let requests = worker.requests.borrow().len();
    (seen, requests)
}

macro_rules! while_closing {
    ($($name:ident: $path:literal, $left:expr => $status:literal, ran $ran:literal;)*) => {
        #[rstest]
        $(#[case::$name($path, $left, $status, $ran)])*
        fn a_new_caller_of_a_node_that_closes_has_an_answer_at_once(
            #[case] path: &'static str,
            #[case] left: Span,
            #[case] status: u16,
            #[case] ran: usize,
        ) {
            run(|| async move {
                let (seen, requests) = asks_while_closing(path, left).await;
                assert_eq!((seen.status, requests), (status, ran));
                let returns = field(&seen.head, "retry-after").is_some();
                assert_eq!(returns, status == 503);
            });
        }
    };
}

while_closing! {
    what_is_short_is_served: "/once/x", Span::from_secs(5) => 200, ran 1;
    a_stream_may_not_end_in_time: "/stream/x", Span::from_secs(5) => 503, ran 0;
    a_stream_ends_in_time_whatever_it_does: "/stream/x", Span::from_secs(30) => 200, ran 1;
    too_little_time_is_left: "/once/x", Span::from_millis(100) => 503, ran 0;
}

#[test]
fn what_a_closing_node_serves_is_over_before_it_ends() {
    run(|| async {
        let worker = Worker::start("e", vec![Act::Silence]).await;
        let gateway = Gateway::start(&[&worker]).await;
        gateway.shell.start_closing(Span::from_millis(900));
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        assert_eq!(caller.answer().await.status, 504);
        gateway.shell.set_phase(Phase::Stopped);
        assert!(caller.is_closed().await);
        assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
    });
}

#[test]
fn metrics_tell_of_answers_and_state() {
    run(|| async {
        let (_worker, gateway, mut caller) = serving().await;
        caller.request("id-1", "/once/x", "").await;
        caller.answer().await;
        gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
        let (_, text) = operators::metrics(&gateway.shell);
        let text = String::from_utf8(text).expect("text");
        let expected = [
            "woadstage_answers_total{code=\"\",route=\"once\",status=\"200\"} 1",
            "woadstage_attempts_total{end=\"whole\",service=\"service\"} 1",
            "woadstage_answer_seconds_count{route=\"once\"} 1",
            "woadstage_configuration_version 1",
            "woadstage_service{kind=\"endpoints\",service=\"service\"} 1",
        ];
        for line in expected {
            assert!(text.contains(line), "no {line} in {text}");
        }
    });
}
