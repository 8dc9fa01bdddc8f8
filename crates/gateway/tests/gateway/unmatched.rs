//! Tests that a request without a matching route or customer is logged with the configuration that
//! was in force and where that came from.

use std::sync::Arc;

use rstest::rstest;
use tokio::time::Instant;
use woadstage_dispatch::configuration::Configuration;
use woadstage_gateway::log;
use woadstage_gateway::operators;
use woadstage_gateway::publish;
use woadstage_gateway::source::Answer;
use woadstage_gateway::source::Call;

use crate::support::Caller;
use crate::support::Gateway;
use crate::support::configuration;
use crate::support::run;

/// Applies version 7 of the configuration, as received from a watch.
fn apply_version_7(gateway: &Gateway) {
    let configuration = Configuration {
        version: 7,
        ..configuration(None)
    };
    let answer = Answer {
        call: Call::Watch,
        revision: 40,
        answer_revision: 44,
        received_at: Instant::now(),
    };
    gateway
        .shell
        .platform_answered_at
        .set(Some(gateway.shell.now()));
    publish::set_configuration(&gateway.shell, answer, Arc::new(configuration));
}

#[rstest]
#[case::no_route("/none/x", "key", 404, "route")]
#[case::no_customer("/once/x", "another-key", 401, "customer")]
fn an_unmatched_request_is_logged_with_the_configuration_and_its_origin(
    #[case] path: &'static str,
    #[case] key: &'static str,
    #[case] status: u16,
    #[case] what: &'static str,
) {
    run(move || async move {
        let gateway = Gateway::unconfigured(log::Options::default()).await;
        apply_version_7(&gateway);
        let mut caller = Caller::connect(&gateway).await;
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer {key}\r\n\
             woadstage-request: id-1\r\n\r\n"
        );
        caller.send(&head).await;
        assert_eq!(caller.answer().await.status, status);
        let line = gateway.wait_for_line(&["\"unmatched\"", "id-1"]).await;
        let line: serde_json::Value = serde_json::from_str(&line).expect("a log line in JSON");
        assert_eq!(line["what"], what);
        assert_eq!(line["configuration"], 7);
        assert_eq!(
            (&line["way"], &line["from"]),
            (&"watch".into(), &"platform".into())
        );
        assert_eq!((&line["revision"], &line["at"]), (&40.into(), &44.into()));
        assert!(line["in_force_ms"].is_u64() && line["platform_ms"].is_u64());
    });
}

#[test]
fn a_configuration_is_logged_with_its_method_and_digest() {
    run(|| async {
        let gateway = Gateway::unconfigured(log::Options::default()).await;
        apply_version_7(&gateway);
        let line = gateway
            .wait_for_line(&["\"configuration\"", "\"version\":7"])
            .await;
        let line: serde_json::Value = serde_json::from_str(&line).expect("a log line in JSON");
        let table = gateway
            .shell
            .query(|dispatcher, _| dispatcher.table().cloned());
        let digest = table.expect("a configuration").to_digest().to_string();
        assert_eq!(line["digest"], digest);
        assert_eq!((&line["way"], &line["at"]), (&"watch".into(), &44.into()));
    });
}

#[test]
fn metrics_report_the_version_and_the_age_of_the_platforms_answer() {
    run(|| async {
        let gateway = Gateway::unconfigured(log::Options::default()).await;
        let metrics_text = || {
            let (_, text) = operators::metrics(&gateway.shell);
            String::from_utf8(text).expect("text")
        };
        assert!(metrics_text().contains("woadstage_platform_answer_age_milliseconds -1"));
        apply_version_7(&gateway);
        let metrics = metrics_text();
        assert!(metrics.contains("woadstage_configuration_version 7"));
        assert!(!metrics.contains("woadstage_platform_answer_age_milliseconds -1"));
        assert!(metrics.contains("woadstage_configuration_apply_seconds_count{call=\"watch\"} 1"));
    });
}
