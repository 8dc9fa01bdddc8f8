//! Who is turned away, and with which answer.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use woadstage_dispatch::configuration::Quota;
use woadstage_gateway::log;
use woadstage_types::unit::Time;

use crate::support::Act;
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
#[case::a_known_key("/once/x", "host.example", KEY, 200)]
#[case::an_unknown_key("/once/x", "host.example", "other", 401)]
#[case::no_key_is_asked_for("/open/x", "host.example", "", 200)]
#[case::no_such_path("/none/x", "host.example", KEY, 404)]
#[case::no_such_host("/once/x", "none.example", KEY, 404)]
fn who_may(#[case] path: &str, #[case] host: &str, #[case] key: &str, #[case] status: u16) {
    run(|| async {
        let (worker, _gateway, mut caller) = serving().await;
        caller
            .send(&format!(
                "GET {path} HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\nwoadstage-request: i\r\n\r\n"
            ))
            .await;
        let seen = caller.answer().await;
        assert_eq!(seen.status, status, "{seen:?}");
        assert_eq!(worker.requests.borrow().len(), usize::from(status == 200));
        assert_eq!(field(&seen.head, "retry-after"), None);
    });
}

#[test]
fn without_a_configuration_callers_are_to_come_back() {
    run(|| async {
        let gateway = Gateway::configured(&[], None, log::Options::default()).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        let seen = caller.answer().await;
        assert_eq!(seen.status, 503);
        assert!(field(&seen.head, "retry-after").is_some());
        assert!(seen.body.contains("not-run"));
    });
}

#[test]
fn a_node_that_starts_lets_callers_wait_for_its_first_configuration() {
    run(|| async {
        let worker = Worker::start("e", vec![Act::Answer(answer("200 OK", "fine"))]).await;
        let gateway = Gateway::configured(&[&worker], None, log::Options::default()).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(worker.requests.borrow().is_empty());
        let comes = Arc::new(configuration(None));
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.set_configuration(now, comes));
        assert_eq!(caller.answer().await.status, 200);
    });
}

/// A node that heard no other gives out a quarter of the burst, of which a node
/// that has just started has nothing yet.
#[rstest]
#[case::of_a_node_that_started_long_ago(true, [200, 200, 429])]
#[case::of_a_node_that_has_just_started(false, [429, 429, 429])]
fn a_customer_over_its_limit_is_told_when_to_come_back(
    #[case] long_ago: bool,
    #[case] expected: [u16; 3],
) {
    run(|| async {
        let worker = Worker::start("e", vec![Act::Answer(answer("200 OK", "fine"))]).await;
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
        if long_ago {
            let beginning = Time(1);
            gateway
                .shell
                .command(|dispatcher, _| dispatcher.tick(beginning));
        }
        let mut caller = Caller::connect(&gateway).await;
        let mut statuses = Vec::new();
        for id in ["id-1", "id-2", "id-3"] {
            caller.request(id, "/once/x", "").await;
            let seen = caller.answer().await;
            assert_eq!(
                field(&seen.head, "retry-after").is_some(),
                seen.status == 429
            );
            statuses.push(seen.status);
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
fn several_requests_follow_on_one_connection() {
    run(|| async {
        let (_worker, _gateway, mut caller) = serving().await;
        for status in [200, 404, 200] {
            let path = if status == 200 { "/once/x" } else { "/none/x" };
            caller.request("id", path, "a body").await;
            assert_eq!(caller.answer().await.status, status);
        }
    });
}
