//! What one process is told about itself.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_gateway::settings;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

const WHOLE: &str = r#"
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
fn a_whole_file_is_read() {
    let read = settings::parse(WHOLE).expect("nothing is wrong");
    assert_eq!(read.memory, Size::from_mib(110));
    assert_eq!(read.stop_within, Span::from_secs(8));
    let seeds: Vec<String> = read.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.0.0.1:7600", "10.0.0.2:7600"]);
    assert_eq!((read.quota.overrun, read.quota.slack), (0.25, 72_000.0));
    assert_eq!(read.budget.extra, 58.0);
    let policy = Policy {
        late_last: false,
        refuse_beyond: 2.0,
        rate_window: Span::from_secs(2),
        ..Policy::default()
    };
    assert_eq!(read.policy, policy);
    assert_eq!(read.headers.request.as_str(), "x-id");
    assert_eq!(read.headers.deadline.as_str(), "woadstage-timeout-ms");
    assert_eq!(read.headers.reserved, ["x-order", "order-from"]);
}

#[rstest]
#[case::no_port(
    "callers = \"10.0.0.1:8000\"",
    "callers = \"10.0.0.1\"",
    "listen.callers"
)]
#[case::no_name("host = \"edge-1\"", "host = \"\"", "node.host")]
#[case::too_little_memory("110MiB", "8MiB", "node.memory")]
#[case::a_seed_that_is_none("\"10.0.0.2:9000\"", "\"seed\"", "peers.seeds")]
#[case::a_negative_share("overrun = 0.25", "overrun = -1", "quota.overrun")]
#[case::a_text_for_a_number("extra = 58", "extra = \"many\"", "retry.extra")]
#[case::a_header_with_a_space("X-Id", "X Id", "headers.request")]
#[case::a_reserved_header_with_a_space("X-Order", "X Order", "headers.reserved")]
#[case::a_policy_below_zero("refuse_beyond = 2", "refuse_beyond = -2", "policy.refuse_beyond")]
#[case::an_unknown_policy("late_last = false", "late_first = false", "policy.late_first")]
#[case::an_unknown_field("ratio = 0.2", "ration = 0.2", "retry.ration")]
#[case::an_unknown_table("[headers]", "[head]", "head")]
#[case::a_bad_time("\"8s\"", "\"soon\"", "node.stop_within")]
fn each_fault_is_named(#[case] right: &str, #[case] wrong: &str, #[case] place: &str) {
    let text = WHOLE.replace(right, wrong);
    assert_ne!(text, WHOLE);
    let faults = settings::parse(&text).expect_err("something is wrong");
    assert!(faults.0.iter().any(|fault| fault.path == place), "{faults}");
}

#[test]
fn all_faults_are_named_at_once() {
    let text = WHOLE
        .replace("\"8s\"", "\"soon\"")
        .replace("10.9.0.1:8500", "nowhere");
    let faults = settings::parse(&text).expect_err("two things are wrong");
    assert_eq!(faults.0.len(), 2, "{faults}");
}
