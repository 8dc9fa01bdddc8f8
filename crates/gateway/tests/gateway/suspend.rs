//! A host that is suspended: time goes on for callers and endpoints, and for its timers
//! and steady clock it does not.

use std::time::Duration;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::Worker;
use crate::support::field;
use crate::support::run;
use crate::support::serving;

/// Waits until a stand-in has been sent something.
async fn is_reached(worker: &Worker) {
    while worker.requests.borrow().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The caller's deadline of 20 s passes meanwhile: with timers alone it would be answered
/// 20 s after its host woke.
#[test]
fn a_caller_whose_time_ran_out_meanwhile_is_answered_at_once() {
    run(|| async {
        let worker = Worker::start("e", vec![Act::Silence]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        is_reached(&worker).await;
        gateway.suspend(Duration::from_secs(30));
        assert_eq!(caller.answer().await.status, 504);
        let line = gateway.wait_for_line(&["\"answered\"", "id-1"]).await;
        let line: serde_json::Value = serde_json::from_str(&line).expect("a line of the log");
        let after_ms = line["after_ms"].as_u64().expect("a time");
        assert!((30_000..45_000).contains(&after_ms), "{after_ms}");
    });
}

/// An endpoint closes a connection at rest after some seconds, and a request that crosses
/// its close is lost.
#[test]
fn a_connection_that_rested_too_long_meanwhile_is_not_used() {
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
fn an_endpoint_is_given_no_time_that_its_caller_has_not_got() {
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
