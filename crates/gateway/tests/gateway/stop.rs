//! Tests of readiness, graceful shutdown and metrics.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rstest::rstest;
use tokio::sync::Notify;
use woadstage_dispatch::configuration::Quota;
use woadstage_gateway::log;
use woadstage_gateway::operators;
use woadstage_gateway::shell::Phase;
use woadstage_gateway::stop;
use woadstage_types::unit::Span;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::Response;
use crate::support::Worker;
use crate::support::answer;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::configuration;
use crate::support::field;
use crate::support::run;
use crate::support::serving;

#[test]
fn readiness_follows_the_state_of_the_node() {
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
fn a_leaving_node_serves_callers_and_asks_them_to_reconnect() {
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
fn answers_in_progress_are_completed_when_the_node_closes() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let steps = vec![
            format!("{}{}", chunked_head(), chunk("id: 1\n\n")),
            format!("{}0\r\n\r\n", chunk("id: 2\n\n")),
        ];
        let worker = Worker::start("e", vec![Action::AnswerStepwise(steps, proceed.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut streaming = Caller::connect(&gateway).await;
        let mut idle = Caller::connect(&gateway).await;
        idle.request("id-0", "/none/x", "").await;
        idle.answer().await;
        streaming.request("id-1", "/stream/x", "").await;
        proceed.notify_one();
        streaming.read_until("id: 1").await;
        gateway.shell.set_phase(Phase::Closing);
        assert!(idle.is_closed().await);
        gateway.shell.set_phase(Phase::Stopped);
        proceed.notify_one();
        streaming.read_until("id: 2").await;
        assert!(streaming.is_closed().await);
    });
}

/// Sends a request over a new connection to a node that closes and has this much time left.
/// Returns the answer and the number of requests that reached the endpoint.
async fn request_while_closing(path: &str, remaining: Span) -> (Response, usize) {
    let fine = Action::Answer(answer("200 OK", "data: fine\n\n"));
    let worker = Worker::start("e", vec![fine]).await;
    let gateway = Gateway::start(&[&worker]).await;
    gateway.shell.start_closing(remaining);
    let mut caller = Caller::connect(&gateway).await;
    caller.request("id-1", path, "").await;
    let seen = caller.answer().await;
    assert!(caller.is_closed().await);
    let requests = worker.requests.borrow().len();
    (seen, requests)
}

macro_rules! while_closing {
    ($($name:ident: $path:literal, $remaining:expr => $status:literal, forwarded $forwarded:literal;)*) => {
        #[rstest]
        $(#[case::$name($path, $remaining, $status, $forwarded)])*
        fn a_closing_node_answers_a_new_caller_at_once(
            #[case] path: &'static str,
            #[case] remaining: Span,
            #[case] status: u16,
            #[case] forwarded: usize,
        ) {
            run(|| async move {
                let (seen, requests) = request_while_closing(path, remaining).await;
                assert_eq!((seen.status, requests), (status, forwarded));
                let has_retry_after = field(&seen.head, "retry-after").is_some();
                assert_eq!(has_retry_after, status == 503);
            });
        }
    };
}

while_closing! {
    a_short_request_is_served: "/once/x", Span::from_secs(5) => 200, forwarded 1;
    a_stream_that_may_outlast_the_node_is_refused: "/stream/x", Span::from_secs(5) => 503, forwarded 0;
    a_stream_whose_deadline_is_in_time_is_served: "/stream/x", Span::from_secs(30) => 200, forwarded 1;
    a_request_with_too_little_time_is_refused: "/once/x", Span::from_millis(100) => 503, forwarded 0;
}

#[test]
fn a_closing_node_ends_its_requests_before_it_stops() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
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

/// Sends a request after this time, over a new connection. Returns the status of the complete answer.
async fn send_late(gateway: Rc<Gateway>, path: &str, after: Duration) -> u16 {
    tokio::time::sleep(after).await;
    let mut caller = Caller::connect(&gateway).await;
    let id = format!("{path}-{}", after.as_millis());
    caller.request(&id, path, "").await;
    let response = caller.answer().await;
    assert!(response.is_complete, "{id}: {response:?}");
    response.status
}

/// Guards against requests that are taken late in a planned stop and cut off at its end.
#[rstest]
#[case::endpoints_that_answer_in_time(Duration::from_millis(50))]
#[case::endpoints_that_would_answer_after_the_end(Duration::from_secs(30))]
fn late_requests_get_an_answer_before_the_node_ends(#[case] work: Duration) {
    run(|| async move {
        let script = vec![Action::AnswerAfter(
            work,
            answer("200 OK", "data: fine\n\n"),
        )];
        let worker = Worker::start("e", script).await;
        let gateway = Rc::new(Gateway::start(&[&worker]).await);
        gateway.shell.start_closing(Span::from_secs(2));
        let mut sent = Vec::new();
        for after_ms in (0..2_000).step_by(100) {
            for path in ["/once/x", "/repeatable/x", "/stream/x", "/resumable/x"] {
                let after = Duration::from_millis(after_ms);
                let sending = send_late(gateway.clone(), path, after);
                sent.push(tokio::task::spawn_local(sending));
            }
        }
        let mut answered = BTreeMap::new();
        let answering = async {
            for sending in sent {
                let status = sending.await.expect("an answer");
                *answered.entry(status).or_insert(0) += 1;
            }
        };
        // Far from the end of the node and from the callers' own timeout.
        let ended = tokio::time::timeout(Duration::from_secs(10), answering).await;
        ended.expect("all are answered as the node ends");
        let is_answered = |status: &u16| matches!(status, 200 | 502 | 503 | 504);
        assert!(answered.keys().all(is_answered), "{answered:?}");
        assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
    });
}

// Guards against requests that are passed on although the process ends without their answers.
#[rstest]
#[case::on_a_connection_opened_before_the_stop(true)]
#[case::on_a_connection_opened_during_the_stop(false)]
fn a_request_that_arrives_after_a_planned_stop_is_refused(#[case] is_opened_before: bool) {
    run(move || async move {
        let fine = Action::Answer(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![fine]).await;
        let gateway = Rc::new(Gateway::start(&[&worker]).await);
        let mut early = None;
        if is_opened_before {
            early = Some(Caller::connect(&gateway).await);
            wait_for_connections(&gateway, 1).await;
        }
        let stopping = gateway.clone();
        let stopped = tokio::task::spawn_local(async move {
            stop::stop(&stopping.shell, Span::from_secs(5)).await;
        });
        gateway.shell.wait_for_phase(Phase::Leaving).await;
        let mut caller = match early {
            Some(caller) => caller,
            None => Caller::connect(&gateway).await,
        };
        wait_for_connections(&gateway, 1).await;
        stopped.await.expect("the stop does not panic");
        caller.request("id-1", "/once/x", "").await;
        let seen = caller.answer().await;
        assert_eq!((seen.status, worker.requests.borrow().len()), (503, 0));
        assert!(field(&seen.head, "retry-after").is_some());
        assert!(caller.is_closed().await);
    });
}

/// Waits until the gateway has this number of callers' connections.
async fn wait_for_connections(gateway: &Gateway, connections: usize) {
    while gateway.shell.registries.callers.open() < connections {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

macro_rules! stopped_within {
    ($($name:ident: $script:expr, $stop_time:expr => $status:literal;)*) => {
        // Guards against requests that a short stop cuts, since their own deadlines lie after it.
        #[rstest]
        $(#[case::$name($script, $stop_time, $status)])*
        fn a_request_before_a_planned_stop_is_answered_before_its_end(
            #[case] script: Vec<Action>,
            #[case] stop_time: Span,
            #[case] status: u16,
        ) {
            run(move || async move {
                let worker = Worker::start("e", script).await;
                let gateway = Gateway::start(&[&worker]).await;
                let mut caller = Caller::connect(&gateway).await;
                caller.request("id-1", "/once/x", "").await;
                gateway.wait_for_line(&["\"sent\"", "id-1"]).await;
                stop::stop(&gateway.shell, stop_time).await;
                assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
                let seen = caller.answer().await;
                assert_eq!((seen.status, seen.is_complete), (status, true));
                assert!(caller.is_closed().await);
            });
        }
    };
}

stopped_within! {
    that_takes_as_long: vec![Action::AnswerAfter(Duration::from_millis(1_000), answer("200 OK", "fine"))], Span::from_secs(3) => 200;
    that_takes_longer: vec![Action::NoAnswer], Span::from_secs(2) => 504;
    that_takes_longer_than_a_second: vec![Action::NoAnswer], Span::from_secs(1) => 504;
}

// Guards against a 504, or a cut, where the caller can be told that its request has not run.
#[test]
fn a_request_that_waits_as_a_planned_stop_ends_is_told_to_return() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Gateway::start(&[]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        gateway.wait_for_line(&["\"accepted\"", "id-1"]).await;
        stop::stop(&gateway.shell, Span::from_secs(2)).await;
        let seen = caller.answer().await;
        assert_eq!((seen.status, worker.requests.borrow().len()), (503, 0));
        assert!(field(&seen.head, "retry-after").is_some());
    });
}

// Guards against a stream that looks complete, or has no end, since its node ended.
#[test]
fn a_stream_in_progress_as_a_planned_stop_ends_is_broken_off() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let steps = vec![
            format!("{}{}", chunked_head(), chunk("id: 1\n\n")),
            "0\r\n\r\n".to_owned(),
        ];
        let worker = Worker::start("e", vec![Action::AnswerStepwise(steps, proceed.clone())]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/stream/x", "").await;
        proceed.notify_one();
        caller.read_until("id: 1").await;
        stop::stop(&gateway.shell, Span::from_secs(1)).await;
        assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
        let (rest, _) = caller.read_to_end().await;
        assert!(!rest.contains("0\r\n\r\n"), "{rest}");
        gateway.wait_for_line(&["\"cut\"", "id-1"]).await;
    });
}

// Guards against a check of what is in progress that a request can overtake before the node ends.
#[test]
fn no_request_is_in_progress_when_a_planned_stop_ends() {
    run(|| async {
        let script = vec![Action::AnswerAfter(
            Duration::from_millis(15),
            answer("200 OK", "fine"),
        )];
        let worker = Worker::start("e", script).await;
        let gateway = Rc::new(Gateway::start(&[&worker]).await);
        let mut callers = Vec::new();
        for number in 0..200 {
            callers.push((number, Caller::connect(&gateway).await));
        }
        wait_for_connections(&gateway, callers.len()).await;
        let sending = gateway.clone();
        let sent = tokio::task::spawn_local(async move {
            sending.shell.wait_for_phase(Phase::Closing).await;
            for (number, caller) in &mut callers {
                caller.request(&format!("id-{number}"), "/once/x", "").await;
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
        });
        stop::stop(&gateway.shell, Span::from_secs(5)).await;
        assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
        let passed_on = worker.requests.borrow().len();
        sent.await.expect("the callers do not panic");
        assert_eq!(worker.requests.borrow().len(), passed_on);
    });
}

// Guards against requests that wait for their customer's quota while their node ends, and go on then.
#[test]
fn a_request_that_waits_for_quota_as_a_planned_stop_ends_is_refused() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let quota = Quota {
            per_second: 4.0,
            burst: 8.0,
            default_tokens: None,
        };
        let configuration = configuration(Some(quota));
        let options = log::Options::default();
        let gateway = Gateway::configured(&[&worker], Some(configuration), options).await;
        let mut callers = Vec::new();
        for number in 0..8 {
            let mut caller = Caller::connect(&gateway).await;
            caller.request(&format!("id-{number}"), "/once/x", "").await;
            callers.push(caller);
        }
        stop::stop(&gateway.shell, Span::from_millis(600)).await;
        let passed_on = worker.requests.borrow().len();
        let mut served = 0;
        for caller in &mut callers {
            let seen = caller.answer().await;
            assert!(matches!(seen.status, 200 | 429 | 503), "{seen:?}");
            served += usize::from(seen.status == 200);
        }
        assert_eq!(
            (served, worker.requests.borrow().len()),
            (passed_on, passed_on)
        );
    });
}

// Guards against requests that a process takes along since it stood still until its stop was over.
#[test]
fn a_node_that_stood_still_past_its_stop_answers_before_it_ends() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Rc::new(Gateway::start(&[&worker]).await);
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        gateway.wait_for_line(&["\"sent\"", "id-1"]).await;
        let suspending = gateway.clone();
        tokio::task::spawn_local(async move {
            suspending.shell.wait_for_phase(Phase::Leaving).await;
            suspending.suspend(Duration::from_secs(10));
        });
        stop::stop(&gateway.shell, Span::from_secs(5)).await;
        assert_eq!(gateway.shell.query(|dispatcher, _| dispatcher.held()), 0);
        assert_eq!(caller.answer().await.status, 504);
    });
}

// Guards against a caller that is told that its body was late, where its node ended.
#[test]
fn a_request_whose_body_is_arriving_as_a_planned_stop_ends_is_told_to_return() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller
            .send(&format!(
                "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: id-1\r\ncontent-length: 20\r\n\r\nhalf of it"
            ))
            .await;
        stop::stop(&gateway.shell, Span::from_secs(1)).await;
        let seen = caller.answer().await;
        assert_eq!((seen.status, worker.requests.borrow().len()), (503, 0));
        assert!(field(&seen.head, "retry-after").is_some());
    });
}

#[test]
fn metrics_report_answers_and_state() {
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
            "woadstage_service{kind=\"bookings-made\",service=\"service\"} 0",
            "woadstage_booking_error_seconds_bucket{le=\"-0.05\"} 0",
        ];
        for line in expected {
            assert!(text.contains(line), "no {line} in {text}");
        }
    });
}
