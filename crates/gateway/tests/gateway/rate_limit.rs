//! An endpoint that names a rate limit in its answers, over sockets:
//! `fleet/rate_limited.rs` of the decisions' tests tells the story.

use std::time::Duration;
use std::time::Instant;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;

/// Requests a second that the endpoint in need says it takes.
const LIMIT: f64 = 2.0;

/// Requests that reach it before its limit is known, or by chance of where seconds begin.
const MORE: f64 = 2.0;

/// A good answer that names a limit.
fn limited(limit: &str) -> Act {
    let text = answer("200 OK", "fine");
    let named = format!("200 OK\r\nwoadstage-rate-limit: {limit}");
    Act::Answer(text.replacen("200 OK", &named, 1))
}

fn unlimited() -> Act {
    Act::Answer(answer("200 OK", "fine"))
}

/// Sends a number of requests, one after the other.
async fn ask(gateway: &Gateway, from: usize, count: usize) {
    let mut caller = Caller::connect(gateway).await;
    for number in from..from + count {
        caller.request(&format!("id-{number}"), "/once/x", "").await;
        assert_eq!(caller.answer().await.status, 200);
    }
}

#[test]
fn an_endpoint_is_sent_no_more_than_it_says_it_takes() {
    run(|| async {
        let needy = Worker::start("needy", vec![limited("2")]).await;
        let other = Worker::start("other", vec![unlimited()]).await;
        let gateway = Gateway::start(&[&needy, &other]).await;
        let began = Instant::now();
        ask(&gateway, 0, 60).await;
        let allowed = LIMIT * began.elapsed().as_secs_f64() + MORE;
        let got = needy.requests.borrow().len();
        assert!(got as f64 <= allowed, "{got} of {allowed}");
        gateway
            .logged(&["\"rate-limit\"", "needy", "\"limit\":\"2\""])
            .await;
    });
}

#[test]
fn an_endpoint_that_names_a_limit_no_more_is_sent_as_much_as_any() {
    run(|| async {
        let script = vec![limited("4"), limited("4"), unlimited()];
        let needy = Worker::start("needy", script).await;
        let other = Worker::start("other", vec![unlimited()]).await;
        let gateway = Gateway::start(&[&needy, &other]).await;
        let mut sent = 0;
        while !gateway.lines.text().contains("\"limit\":\"none\"") {
            ask(&gateway, sent, 1).await;
            sent += 1;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let before = needy.requests.borrow().len();
        ask(&gateway, sent, 60).await;
        let got = needy.requests.borrow().len() - before;
        assert!(got >= 10, "{got} of 60");
    });
}

#[test]
fn what_is_no_limit_changes_nothing() {
    run(|| async {
        let needy = Worker::start("needy", vec![limited("-3")]).await;
        let gateway = Gateway::start(&[&needy]).await;
        ask(&gateway, 0, 20).await;
        assert_eq!(needy.requests.borrow().len(), 20);
        gateway.logged(&["unreadable", "rate-limit", "-3"]).await;
    });
}
