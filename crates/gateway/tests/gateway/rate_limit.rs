//! Endpoints that announce a rate limit in their answers, over sockets. The module docs of
//! `fleet/rate_limited.rs` in the tests of `woadstage-dispatch` describe the failure.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::spawn_local;
use woadstage_dispatch::endpoint::List;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;
use crate::support::to_endpoint;

/// The rate limit that the endpoint announces, in requests per second.
const LIMIT_PER_SECOND: f64 = 2.0;

/// Requests beyond the limit that may reach the endpoint: before the limit is known, and
/// depending on when the seconds of the limit begin.
const EXTRA_REQUESTS: f64 = 2.0;

/// Returns a successful answer that announces a rate limit.
fn answer_with_limit(limit: &str) -> Action {
    let text = answer("200 OK", "fine");
    let named = format!("200 OK\r\nwoadstage-rate-limit: {limit}");
    Action::Answer(text.replacen("200 OK", &named, 1))
}

fn answer_without_limit() -> Action {
    Action::Answer(answer("200 OK", "fine"))
}

/// Sends requests one after the other.
async fn send_requests(gateway: &Gateway, from: usize, count: usize) {
    let mut caller = Caller::connect(gateway).await;
    for number in from..from + count {
        caller.request(&format!("id-{number}"), "/once/x", "").await;
        assert_eq!(caller.answer().await.status, 200);
    }
}

/// Calls the dispatcher's tick periodically, as the gateway process does, so that waiting
/// requests are sent.
pub fn spawn_ticks(gateway: &Gateway) {
    let shell = gateway.shell.clone();
    spawn_local(async move {
        loop {
            shell.command(|dispatcher, now| dispatcher.tick(now));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

fn count_rate_limited(gateway: &Gateway) -> usize {
    let summaries = gateway.shell.query(|one, now| one.summaries(now));
    summaries.iter().map(|service| service.rate_limited).sum()
}

/// The limited endpoint is the only one at first, so that it certainly gets the first
/// request, whichever of two endpoints would cost less.
#[test]
fn an_endpoint_is_sent_no_more_than_its_rate_limit() {
    run(|| async {
        let limited = Worker::start("needy", vec![answer_with_limit("2")]).await;
        let other = Worker::start("other", vec![answer_without_limit()]).await;
        let gateway = Gateway::start(&[&limited]).await;
        let started = Instant::now();
        send_requests(&gateway, 0, 1).await;
        gateway
            .wait_for_line(&["\"rate-limit\"", "needy", "\"now\":\"2\""])
            .await;
        let list = Arc::new(List {
            settled: true,
            revision: 2,
            endpoints: vec![to_endpoint(&limited), to_endpoint(&other)],
            ..List::default()
        });
        let shell = &gateway.shell;
        shell.command(|dispatcher, now| dispatcher.set_endpoints(now, list));
        send_requests(&gateway, 1, 60).await;
        let allowed = LIMIT_PER_SECOND * started.elapsed().as_secs_f64() + EXTRA_REQUESTS;
        let received = limited.requests.borrow().len();
        assert!(received as f64 <= allowed, "{received} of {allowed}");
        assert_eq!(count_rate_limited(&gateway), 1);
    });
}

#[test]
fn a_limit_ends_with_the_first_answer_without_one() {
    run(|| async {
        let script = vec![
            answer_with_limit("4"),
            answer_with_limit("4"),
            answer_without_limit(),
        ];
        let limited = Worker::start("needy", script).await;
        let gateway = Gateway::start(&[&limited]).await;
        spawn_ticks(&gateway);
        send_requests(&gateway, 0, 2).await;
        assert_eq!(count_rate_limited(&gateway), 1);
        send_requests(&gateway, 2, 1).await;
        gateway
            .wait_for_line(&["\"rate-limit\"", "\"now\":\"none\"", "needy"])
            .await;
        assert_eq!(count_rate_limited(&gateway), 0);
        send_requests(&gateway, 3, 60).await;
        assert_eq!(limited.requests.borrow().len(), 63);
    });
}

#[test]
fn an_invalid_limit_changes_nothing() {
    run(|| async {
        let limited = Worker::start("needy", vec![answer_with_limit("-3")]).await;
        let gateway = Gateway::start(&[&limited]).await;
        send_requests(&gateway, 0, 20).await;
        assert_eq!(limited.requests.borrow().len(), 20);
        gateway
            .wait_for_line(&["unreadable", "rate-limit", "-3"])
            .await;
    });
}
