//! Requests that crash the endpoints that run them, over sockets. The module docs of
//! `fleet/crash.rs` in the tests of `woadstage-dispatch` describe the failure.

use std::io::Cursor;
use std::time::Duration;

use woadstage_gateway::explain;
use woadstage_gateway::operators;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Response;
use crate::support::Worker;
use crate::support::answer;
use crate::support::field;
use crate::support::run;

/// A body that crashes endpoints.
const CRASHING: &str = "crash";

/// The maximum number of endpoints that a request may crash.
const MAX_CRASHES: usize = 3;

/// The minimum time after which the caller of a barred request may retry.
const MIN_RETRY_AFTER_SECONDS: f64 = 5.0;

/// Starts a gateway with six endpoints that crash on that body.
async fn start() -> (Gateway, Vec<Worker>) {
    let mut workers = Vec::new();
    for name in ["e1", "e2", "e3", "e4", "e5", "e6"] {
        let act = Action::CrashOn(CRASHING, answer("200 OK", "fine"));
        workers.push(Worker::start(name, vec![act]).await);
    }
    let all: Vec<&Worker> = workers.iter().collect();
    let gateway = Gateway::start(&all).await;
    (gateway, workers)
}

/// Returns the number of requests with the given body that reached endpoints.
fn count_requests(workers: &[Worker], body: &str) -> usize {
    let requests = workers
        .iter()
        .flat_map(|worker| worker.requests.borrow().clone());
    requests.filter(|request| request.ends_with(body)).count()
}

/// Sends a request on a new connection.
async fn send(gateway: &Gateway, id: &str, body: &str) -> Response {
    let mut caller = Caller::connect(gateway).await;
    caller.request(id, "/once/x", body).await;
    caller.answer().await
}

#[test]
fn a_request_that_crashes_endpoints_is_refused_and_others_are_served() {
    run(|| async {
        let (gateway, workers) = start().await;
        for number in 0..6 {
            send(&gateway, &format!("id-{number}"), CRASHING).await;
        }
        let last = send(&gateway, "id-last", CRASHING).await;
        assert!(count_requests(&workers, CRASHING) <= MAX_CRASHES);
        assert_eq!(last.status, 503);
        let retry_after = field(&last.head, "retry-after").expect("a retry-after field");
        assert!(retry_after.parse::<f64>().expect("seconds") >= MIN_RETRY_AFTER_SECONDS);
        assert_eq!(send(&gateway, "id-other", "another").await.status, 200);
    });
}

/// A caller must be told that its request has not run only if that is certain.
#[test]
fn callers_of_crashed_attempts_get_unknown_and_refused_callers_get_not_run() {
    run(|| async {
        let (gateway, workers) = start().await;
        let mut outcomes = Vec::new();
        for number in 0..4 {
            let id = format!("id-{number}");
            let answer = send(&gateway, &id, CRASHING).await;
            let line = gateway.wait_for_line(&["\"answered\"", &id]).await;
            let line: serde_json::Value = serde_json::from_str(&line).expect("a line");
            let outcome = line["outcome"].as_str().expect("an outcome").to_owned();
            outcomes.push((answer.status, outcome));
            // The gateway may detect the crash only after it has answered.
            if number < 2 {
                let ends = format!("\"ends\":{}", number + 1);
                gateway.wait_for_line(&["\"charged\"", &ends]).await;
            }
        }
        let expected = [
            (502, "unknown"),
            (502, "unknown"),
            (503, "not-run"),
            (503, "not-run"),
        ];
        let expected = expected.map(|(status, outcome)| (status, outcome.to_owned()));
        assert_eq!(outcomes, expected);
        assert_eq!(count_requests(&workers, CRASHING), 2);
    });
}

#[test]
fn logs_metrics_and_explanations_report_a_barred_request() {
    run(|| async {
        let (gateway, _workers) = start().await;
        for number in 0..2 {
            send(&gateway, &format!("id-{number}"), CRASHING).await;
            let ends = format!("\"ends\":{}", number + 1);
            gateway.wait_for_line(&["\"charged\"", &ends]).await;
        }
        send(&gateway, "id-last", CRASHING).await;
        gateway.wait_for_line(&["\"answered\"", "id-last"]).await;
        let log = Cursor::new(gateway.lines.text());
        let lines = explain::find(&mut [Box::new(log)], "id-last").expect("the log is readable");
        let explanation = explain::cause(&lines);
        assert!(
            explanation.contains("2 endpoints ended while they ran what it asks for"),
            "{explanation}"
        );
        let (_, text) = operators::metrics(&gateway.shell);
        let text = String::from_utf8(text).expect("valid UTF-8");
        for line in [
            "woadstage_suspects 1",
            "woadstage_barred 1",
            "woadstage_suspect_changes_total{what=\"charged\"} 2",
            "woadstage_answers_total{code=\"W2011\",route=\"once\",status=\"503\"} 1",
        ] {
            assert!(text.contains(line), "{line}: {text}");
        }
    });
}

/// An endpoint that breaks off an answer but keeps running is no evidence against the
/// request.
#[test]
fn a_broken_answer_without_a_crash_charges_no_request() {
    run(|| async {
        let broken = || Action::AnswerAndClose("HTTP/1.1 200 OK\r\ncontent-le".into());
        let mut workers = Vec::new();
        for name in ["e1", "e2", "e3", "e4"] {
            workers.push(Worker::start(name, vec![broken()]).await);
        }
        let all: Vec<&Worker> = workers.iter().collect();
        let gateway = Gateway::start(&all).await;
        for number in 0..4 {
            let answer = send(&gateway, &format!("id-{number}"), "a body").await;
            assert_eq!(answer.status, 502);
            while gateway.shell.upstream.is_probing() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        assert_eq!(count_requests(&workers, "a body"), 4);
        assert!(!gateway.lines.text().contains("\"suspect\""));
    });
}
