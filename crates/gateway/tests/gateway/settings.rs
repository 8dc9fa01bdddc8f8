//! Tests of parsing a settings file.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_gateway::settings;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

const SETTINGS: &str = r#"
[node]
host = "edge-1"
data_centre = "a"
memory = "110MiB"
stop_within = "8s"
[listen]
callers = "10.0.0.1:8000"
ready = "10.0.0.1:8001"
ready_path = "/ready"
metrics = "10.0.0.1:7615"
[peers]
address = "10.0.0.1:7600"
seed_port = 7600
seeds = ["10.0.0.1:9000", "10.0.0.2:9000"]
[platform]
address = "10.9.0.1:8500"
[quota]
overrun = 0.25
slack = 72000
[retry]
ratio = 0.2
extra = 58
window = "10s"
[policy]
late_last = false
refuse_beyond = 2
rate_window = "2s"
[headers]
request = "X-Id"
reserved = ["X-Order", "Order-From"]
"#;

#[test]
fn a_complete_file_is_parsed() {
    let parsed = settings::parse(SETTINGS).expect("the settings are valid");
    assert_eq!(parsed.memory, Size::from_mib(110));
    assert_eq!(parsed.stop_within, Span::from_secs(8));
    let seeds: Vec<String> = parsed.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.0.0.1:7600", "10.0.0.2:7600"]);
    assert_eq!((parsed.quota.overrun, parsed.quota.slack), (0.25, 72_000.0));
    assert_eq!(parsed.budget.extra, 58.0);
    let policy = Policy {
        late_last: false,
        refuse_beyond: 2.0,
        rate_window: Span::from_secs(2),
        ..Policy::default()
    };
    assert_eq!(parsed.policy, policy);
    assert_eq!(parsed.headers.request.as_str(), "x-id");
    assert_eq!(parsed.headers.deadline.as_str(), "woadstage-timeout-ms");
    assert_eq!(parsed.headers.reserved, ["x-order", "order-from"]);
}

#[rstest]
#[case::address_without_port(
    "callers = \"10.0.0.1:8000\"",
    "callers = \"10.0.0.1\"",
    "listen.callers"
)]
#[case::empty_host_name("host = \"edge-1\"", "host = \"\"", "node.host")]
#[case::memory_below_minimum("110MiB", "8MiB", "node.memory")]
#[case::too_few_descriptors("110MiB\"", "110MiB\"\ndescriptors = 100", "node.descriptors")]
#[case::no_callers(
    "[retry]",
    "[connections]\ncallers = 0\n[retry]",
    "connections.callers"
)]
#[case::small_body_memory(
    "[retry]",
    "[connections]\nbody_memory = \"4KiB\"\n[retry]",
    "connections.body_memory"
)]
#[case::tiny_buffer(
    "[retry]",
    "[connections]\ncallers_buffer = \"1KiB\"\n[retry]",
    "connections.callers_buffer"
)]
#[case::invalid_seed("\"10.0.0.2:9000\"", "\"seed\"", "peers.seeds")]
#[case::negative_overrun("overrun = 0.25", "overrun = -1", "quota.overrun")]
#[case::text_for_a_number("extra = 58", "extra = \"many\"", "retry.extra")]
#[case::header_with_a_space("X-Id", "X Id", "headers.request")]
#[case::reserved_header_with_a_space("X-Order", "X Order", "headers.reserved")]
#[case::negative_policy_value("refuse_beyond = 2", "refuse_beyond = -2", "policy.refuse_beyond")]
#[case::unknown_policy_field("late_last = false", "late_first = false", "policy.late_first")]
#[case::unknown_field("ratio = 0.2", "ration = 0.2", "retry.ration")]
#[case::unknown_table("[headers]", "[head]", "head")]
#[case::invalid_duration("\"8s\"", "\"soon\"", "node.stop_within")]
fn each_fault_is_reported_with_its_place(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] place: &str,
) {
    let text = SETTINGS.replace(valid, invalid);
    assert_ne!(text, SETTINGS);
    let faults = settings::parse(&text).expect_err("the settings are invalid");
    assert!(faults.0.iter().any(|fault| fault.path == place), "{faults}");
}

#[test]
fn all_faults_are_reported_together() {
    let text = SETTINGS
        .replace("\"8s\"", "\"soon\"")
        .replace("10.9.0.1:8500", "nowhere");
    let faults = settings::parse(&text).expect_err("two settings are invalid");
    assert_eq!(faults.0.len(), 2, "{faults}");
}
