//! Tests for which callers are refused, and with which answer.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use woadstage_dispatch::configuration::Quota;
use woadstage_dispatch::message::Status;
use woadstage_gateway::log;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::KEY;
use crate::support::Worker;
use crate::support::answer;
use crate::support::configuration;
use crate::support::field;
use crate::support::run;
use crate::support::serving;

#[rstest]
#[case::known_key("/once/x", "host.example", KEY, 200)]
#[case::unknown_key("/once/x", "host.example", "other", 401)]
#[case::no_key_required("/open/x", "host.example", "", 200)]
#[case::unknown_path("/none/x", "host.example", KEY, 404)]
#[case::unknown_host("/once/x", "none.example", KEY, 404)]
fn only_known_keys_and_routes_are_admitted(
    #[case] path: &str,
    #[case] host: &str,
    #[case] key: &str,
    #[case] status: u16,
) {
    run(|| async {
        let (worker, _gateway, mut caller) = serving().await;
        caller
            .send(&format!(
                "GET {path} HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\nwoadstage-request: i\r\n\r\n"
            ))
            .await;
        let response = caller.answer().await;
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(worker.requests.borrow().len(), usize::from(status == 200));
        assert_eq!(field(&response.head, "retry-after"), None);
    });
}

#[test]
fn without_a_configuration_callers_are_told_to_retry() {
    run(|| async {
        let gateway = Gateway::configured(&[], None, log::Options::default()).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        let response = caller.answer().await;
        assert_eq!(response.status, 503);
        assert!(field(&response.head, "retry-after").is_some());
        assert!(response.body.contains("not-run"));
    });
}

#[test]
fn a_starting_node_holds_requests_until_its_first_configuration() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let gateway = Gateway::configured(&[&worker], None, log::Options::default()).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(worker.requests.borrow().is_empty());
        let first_configuration = Arc::new(configuration(None));
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.set_configuration(now, first_configuration));
        assert_eq!(caller.answer().await.status, 200);
    });
}

/// A node that hears no other node grants a quarter of the burst, and none of it just after
/// its start.
#[rstest]
#[case::node_started_long_ago(true, [200, 200, 429])]
#[case::node_just_started(false, [429, 429, 429])]
fn a_customer_over_its_limit_is_told_when_to_retry(
    #[case] started_long_ago: bool,
    #[case] expected: [u16; 3],
) {
    run(|| async {
        let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let quota = Quota {
            per_second: 0.01,
            burst: 8.0,
            default_tokens: None,
        };
        let gateway = Gateway::configured(
            &[&worker],
            Some(configuration(Some(quota))),
            log::Options::default(),
        )
        .await;
        if started_long_ago {
            let beginning = Time(1);
            gateway
                .shell
                .command(|dispatcher, _| dispatcher.tick(beginning));
        }
        let mut caller = Caller::connect(&gateway).await;
        let mut statuses = Vec::new();
        for id in ["id-1", "id-2", "id-3"] {
            caller.request(id, "/once/x", "").await;
            let response = caller.answer().await;
            assert_eq!(
                field(&response.head, "retry-after").is_some(),
                response.status == 429
            );
            statuses.push(response.status);
        }
        assert_eq!(statuses, expected);
        let line = gateway.wait_for_line(&["\"over-limit\"", "id-3"]).await;
        assert!(line.contains("\"customer\":\"customer\""), "{line}");
    });
}

#[test]
fn a_body_that_is_too_large_is_refused_by_its_length() {
    run(|| async {
        let (_worker, _gateway, mut caller) = serving().await;
        caller
            .send(&format!(
                "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {KEY}\r\n\
                 content-length: 999999999\r\n\r\n"
            ))
            .await;
        assert_eq!(caller.answer().await.status, 413);
    });
}

#[test]
fn one_connection_serves_several_requests() {
    run(|| async {
        let (_worker, _gateway, mut caller) = serving().await;
        for status in [200, 404, 200] {
            let path = if status == 200 { "/once/x" } else { "/none/x" };
            caller.request("id", path, "a body").await;
            assert_eq!(caller.answer().await.status, status);
        }
    });
}

/// Guards against requests that a late node reads although it can't serve them in time.
#[test]
fn a_late_node_closes_new_connections_unread() {
    run(|| async {
        let (worker, gateway, mut kept) = serving().await;
        kept.request("before", "/once/x", "").await;
        assert_eq!(kept.answer().await.status, 200);
        let status = Status {
            incarnation: 1,
            sequence: 1,
            ..Status::default()
        };
        let other = "127.0.0.2:7600".parse().expect("an address");
        let late = Span::from_millis(200);
        gateway.shell.command(|dispatcher, now| {
            dispatcher.receive_status(now, other, status);
            for tick in 0..10 {
                dispatcher.record_delay(now + Span::from_millis(20 * tick), late);
            }
        });
        for _ in 0..5 {
            let mut caller = Caller::connect(&gateway).await;
            assert!(caller.is_closed().await);
        }
        kept.request("kept", "/once/x", "").await;
        assert_eq!(kept.answer().await.status, 200);
        assert_eq!(worker.requests.borrow().len(), 2);
    });
}
