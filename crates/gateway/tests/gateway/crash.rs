//! A request that crashes the endpoints that run it, over sockets: `fleet/crash.rs` of the
//! decisions' tests tells the story.

use std::io::Cursor;
use std::time::Duration;

use woadstage_gateway::explain;
use woadstage_gateway::operators;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Seen;
use crate::support::Worker;
use crate::support::answer;
use crate::support::field;
use crate::support::run;

/// A body that crashes endpoints.
const CRASHING: &str = "crash";

/// Endpoints that a request may crash.
const CRASHES_MOST: usize = 3;

/// The least time after which a caller may come back whose request is not run.
const COMES_BACK_AFTER: f64 = 5.0;

/// A gateway before endpoints that such a body crashes.
async fn start() -> (Gateway, Vec<Worker>) {
    let mut workers = Vec::new();
    for name in ["e1", "e2", "e3", "e4", "e5", "e6"] {
        let act = Act::CrashOn(CRASHING, answer("200 OK", "fine"));
        workers.push(Worker::start(name, vec![act]).await);
    }
    let all: Vec<&Worker> = workers.iter().collect();
    let gateway = Gateway::start(&all).await;
    (gateway, workers)
}

/// How many requests with a body reached endpoints.
fn reached(workers: &[Worker], body: &str) -> usize {
    let requests = workers
        .iter()
        .flat_map(|worker| worker.requests.borrow().clone());
    requests.filter(|request| request.ends_with(body)).count()
}

/// Asks over a new connection.
async fn ask(gateway: &Gateway, id: &str, body: &str) -> Seen {
    let mut caller = Caller::connect(gateway).await;
    caller.request(id, "/once/x", body).await;
    caller.answer().await
}

#[test]
fn a_request_that_crashes_endpoints_is_refused_and_others_are_served() {
    run(|| async {
        let (gateway, workers) = start().await;
        for number in 0..6 {
            ask(&gateway, &format!("id-{number}"), CRASHING).await;
        }
        let last = ask(&gateway, "id-last", CRASHING).await;
        assert!(reached(&workers, CRASHING) <= CRASHES_MOST);
        assert_eq!(last.status, 503);
        let retry_after = field(&last.head, "retry-after").expect("when to come back");
        assert!(retry_after.parse::<f64>().expect("seconds") >= COMES_BACK_AFTER);
        assert_eq!(ask(&gateway, "id-other", "another").await.status, 200);
    });
}

/// Only what certainly has not run is said not to have run.
#[test]
fn whose_endpoint_ended_is_told_that_nobody_knows_and_who_is_refused_that_it_has_not_run() {
    run(|| async {
        let (gateway, workers) = start().await;
        let mut outcomes = Vec::new();
        for number in 0..4 {
            let id = format!("id-{number}");
            let answer = ask(&gateway, &id, CRASHING).await;
            let line = gateway.wait_for_line(&["\"answered\"", &id]).await;
            let line: serde_json::Value = serde_json::from_str(&line).expect("a line");
            let outcome = line["outcome"].as_str().expect("an outcome").to_owned();
            outcomes.push((answer.status, outcome));
            // The look after the endpoint may come after the answer.
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
        assert_eq!(reached(&workers, CRASHING), 2);
    });
}

#[test]
fn logs_metrics_and_an_explanation_tell_of_it() {
    run(|| async {
        let (gateway, _workers) = start().await;
        for number in 0..2 {
            ask(&gateway, &format!("id-{number}"), CRASHING).await;
            let ends = format!("\"ends\":{}", number + 1);
            gateway.wait_for_line(&["\"charged\"", &ends]).await;
        }
        ask(&gateway, "id-last", CRASHING).await;
        gateway.wait_for_line(&["\"answered\"", "id-last"]).await;
        let log = Cursor::new(gateway.lines.text());
        let lines = explain::find(&mut [Box::new(log)], "id-last").expect("it can be read");
        let said = explain::cause(&lines);
        assert!(
            said.contains("2 endpoints ended while they ran what it asks for"),
            "{said}"
        );
        let (_, text) = operators::metrics(&gateway.shell);
        let text = String::from_utf8(text).expect("it is text");
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

/// Endpoints that break off an answer and live on say nothing against the request.
#[test]
fn answers_that_break_off_alone_are_charged_to_nobody() {
    run(|| async {
        let broken = || Act::AnswerAndClose("HTTP/1.1 200 OK\r\ncontent-le".into());
        let mut workers = Vec::new();
        for name in ["e1", "e2", "e3", "e4"] {
            workers.push(Worker::start(name, vec![broken()]).await);
        }
        let all: Vec<&Worker> = workers.iter().collect();
        let gateway = Gateway::start(&all).await;
        for number in 0..4 {
            let answer = ask(&gateway, &format!("id-{number}"), "a body").await;
            assert_eq!(answer.status, 502);
            while gateway.shell.upstream.is_looking_after_any() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        assert_eq!(reached(&workers, "a body"), 4);
        assert!(!gateway.lines.text().contains("\"suspect\""));
    });
}
