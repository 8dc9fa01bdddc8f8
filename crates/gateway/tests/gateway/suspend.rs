//! Tests of a host that is suspended. Time passes for callers and endpoints, while the host's
//! timers and monotonic clock do not advance.

use std::time::Duration;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::Worker;
use crate::support::field;
use crate::support::run;
use crate::support::serving;

/// Waits until an endpoint has received a request.
async fn wait_for_request(worker: &Worker) {
    while worker.requests.borrow().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The caller's deadline of 20 s passes during the suspension. With timers alone, the caller would
/// be answered 20 s after the host resumed.
#[test]
fn a_deadline_that_passes_during_a_suspension_is_answered_on_resume() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        wait_for_request(&worker).await;
        gateway.suspend(Duration::from_secs(30));
        assert_eq!(caller.answer().await.status, 504);
        let line = gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
        let line: serde_json::Value = serde_json::from_str(&line).expect("a log line in JSON");
        let after_ms = line["after_ms"].as_u64().expect("a duration");
        assert!((30_000..45_000).contains(&after_ms), "{after_ms}");
    });
}

/// An endpoint closes an idle connection after some seconds, and a request that is sent just as
/// it does so is lost.
#[test]
fn a_connection_idle_for_too_long_during_a_suspension_is_not_reused() {
    run(|| async {
        let (worker, gateway, mut caller) = serving().await;
        caller.request("id-1", "/once/x", "").await;
        caller.answer().await;
        gateway.suspend(Duration::from_secs(10));
        caller.request("id-2", "/once/x", "").await;
        assert_eq!(caller.answer().await.status, 200);
        assert_eq!(worker.connections.get(), 2);
    });
}

#[test]
fn the_time_left_that_an_endpoint_is_sent_excludes_a_suspension() {
    run(|| async {
        let (worker, gateway, mut caller) = serving().await;
        caller
            .send(&format!(
                "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 woadstage-request: id-1\r\nwoadstage-timeout-ms: 20000\r\n\
                 expect: 100-continue\r\ncontent-length: 4\r\n\r\n"
            ))
            .await;
        caller.read_until("100 Continue\r\n\r\n").await;
        gateway.suspend(Duration::from_secs(5));
        caller.send("body").await;
        caller.answer().await;
        let sent = worker.requests.borrow()[0].clone();
        let left = field(&sent, "woadstage-timeout-ms").expect("a deadline");
        let left: u64 = left.parse().expect("milliseconds");
        assert!(left <= 15_000, "{left}");
    });
}
