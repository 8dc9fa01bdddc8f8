//! An endpoint that names a rate limit in its answers, over sockets:
//! `fleet/rate_limited.rs` of the decisions' tests tells the story.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::spawn_local;
use woadstage_dispatch::endpoint::List;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;
use crate::support::to_endpoint;

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

/// Lets the gateway look at what waits, as its process does.
fn tick(gateway: &Gateway) {
    let shell = gateway.shell.clone();
    spawn_local(async move {
        loop {
            shell.command(|dispatcher, now| dispatcher.tick(now));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

fn rate_limited(gateway: &Gateway) -> usize {
    let summaries = gateway.shell.query(|one, now| one.summaries(now));
    summaries.iter().map(|service| service.rate_limited).sum()
}

/// The endpoint in need is the only one at first, so that it is sure to be sent the first
/// request, whichever of two would cost less.
#[test]
fn an_endpoint_is_sent_no_more_than_it_says_it_takes() {
    run(|| async {
        let needy = Worker::start("needy", vec![limited("2")]).await;
        let other = Worker::start("other", vec![unlimited()]).await;
        let gateway = Gateway::start(&[&needy]).await;
        let began = Instant::now();
        ask(&gateway, 0, 1).await;
        gateway
            .wait_for_line(&["\"rate-limit\"", "needy", "\"now\":\"2\""])
            .await;
        let list = Arc::new(List {
            settled: true,
            revision: 2,
            endpoints: vec![to_endpoint(&needy), to_endpoint(&other)],
            ..List::default()
        });
        let shell = &gateway.shell;
        shell.command(|dispatcher, now| dispatcher.set_endpoints(now, list));
        ask(&gateway, 1, 60).await;
        let allowed = LIMIT * began.elapsed().as_secs_f64() + MORE;
        let got = needy.requests.borrow().len();
        assert!(got as f64 <= allowed, "{got} of {allowed}");
        assert_eq!(rate_limited(&gateway), 1);
    });
}

#[test]
fn a_limit_ends_with_the_first_answer_that_names_none() {
    run(|| async {
        let script = vec![limited("4"), limited("4"), unlimited()];
        let needy = Worker::start("needy", script).await;
        let gateway = Gateway::start(&[&needy]).await;
        tick(&gateway);
        ask(&gateway, 0, 2).await;
        assert_eq!(rate_limited(&gateway), 1);
        ask(&gateway, 2, 1).await;
        gateway
            .wait_for_line(&["\"rate-limit\"", "\"now\":\"none\"", "needy"])
            .await;
        assert_eq!(rate_limited(&gateway), 0);
        ask(&gateway, 3, 60).await;
        assert_eq!(needy.requests.borrow().len(), 63);
    });
}

#[test]
fn what_is_no_limit_changes_nothing() {
    run(|| async {
        let needy = Worker::start("needy", vec![limited("-3")]).await;
        let gateway = Gateway::start(&[&needy]).await;
        ask(&gateway, 0, 20).await;
        assert_eq!(needy.requests.borrow().len(), 20);
        gateway
            .wait_for_line(&["unreadable", "rate-limit", "-3"])
            .await;
    });
}
