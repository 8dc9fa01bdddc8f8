//! Classification of single requests.

use woadstage_losses::request::Cause;

use crate::support::accepted;
use crate::support::answered;
use crate::support::report;
use crate::support::sent;
use crate::support::streamed;

/// Defines a test for each case: the log lines after the admission of a request,
/// and the expected cause.
macro_rules! causes {
    ($($name:ident: [$($line:expr),*] => $cause:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let report = report(&[vec![accepted(1_000, "r", false), $($line.to_string()),*]]);
                assert_eq!(report.all.total, 1);
                assert_eq!(report.all.count($cause), 1, "{:?}", report.all.causes);
                assert_eq!(report.routes[0].name, "chat");
            }
        )*
    };
}

const OVER_LIMIT: &str =
    r#"{"time_ms":1000,"event":"over-limit","request":"r","route":"chat","customer":"c"}"#;
const NO_BUDGET: &str = r#"{"time_ms":2000,"event":"attempt","request":"r","endpoint":"e","end":"lost","next":"budget","detail":"","after_ms":5}"#;
const PASSED_LEAVING: &str = r#"{"time_ms":2000,"event":"answered","request":"r","status":503,"code":"W2001","after_ms":5,"passed_leaving":"everest-1"}"#;
const PASSED_RESTING: &str = r#"{"time_ms":2000,"event":"answered","request":"r","status":503,"code":"W3004","after_ms":5,"passed_resting":"e"}"#;
const UNREACHABLE: &str = r#"{"time_ms":2000,"event":"answered","request":"r","status":503,"code":"W2002","after_ms":5,"unusable":"unreachable 9"}"#;
const CUT: &str = r#"{"time_ms":2000,"event":"cut","request":"r","detail":"reset","after_ms":5}"#;
const LEFT: &str = r#"{"time_ms":2000,"event":"left","request":"r","after_ms":900}"#;

causes! {
    served_in_time: [sent(1_010, "r", 10, 50), streamed("r", 700, 90)] => Cause::InTime;
    plain_answer_in_time: [sent(1_010, "r", 10, 0), answered("r", 200, "", 700)] => Cause::InTime;
    plain_answer_late: [sent(1_010, "r", 10, 0), answered("r", 200, "", 900)] => Cause::LateEndpoint;
    late_by_queueing_in_the_node: [sent(1_700, "r", 700, 50), streamed("r", 900, 90)] => Cause::LateWaited;
    late_at_the_endpoint: [sent(1_200, "r", 200, 50), streamed("r", 900, 90)] => Cause::LateEndpoint;
    pause_over_the_limit: [sent(1_010, "r", 10, 50), streamed("r", 700, 260)] => Cause::LatePause;
    refused_at_once: [answered("r", 503, "W2002", 3)] => Cause::RefusedAtOnce;
    refused_after_queueing: [answered("r", 503, "W2002", 300)] => Cause::RefusedAfterWait;
    refused_with_a_leaving_endpoint: [PASSED_LEAVING] => Cause::EndpointsLeaving;
    refused_with_a_resting_endpoint: [PASSED_RESTING] => Cause::EndpointsResting;
    refused_with_unreachable_endpoints: [UNREACHABLE] => Cause::EndpointsUnreachable;
    over_quota: [OVER_LIMIT, answered("r", 429, "W2003", 1)] => Cause::Quota;
    no_configuration: [answered("r", 503, "W2007", 0)] => Cause::NoConfiguration;
    retry_budget_exhausted: [sent(1_010, "r", 0, 0), NO_BUDGET, answered("r", 502, "W3003", 9)] => Cause::RetryBudget;
    endpoint_lost: [sent(1_010, "r", 0, 0), answered("r", 502, "W3003", 9)] => Cause::EndpointLost;
    answer_cut_off: [sent(1_010, "r", 0, 0), CUT] => Cause::EndpointLost;
    endpoint_server_error: [sent(1_010, "r", 0, 0), answered("r", 500, "", 9)] => Cause::EndpointFault;
    endpoint_fault_code_of_the_node: [sent(1_010, "r", 0, 0), answered("r", 502, "W4001", 9)] => Cause::EndpointFault;
    endpoint_timed_out: [sent(1_010, "r", 0, 0), answered("r", 504, "W3005", 9_000)] => Cause::TimedOut;
    caller_disconnected: [sent(1_010, "r", 0, 0), LEFT] => Cause::CallerLeft;
    no_final_answer: [sent(1_010, "r", 0, 0)] => Cause::Unfinished;
    not_allowed: [answered("r", 404, "W1014", 0)] => Cause::NotAllowed;
}

#[test]
fn refused_retry_of_a_caller_is_counted_separately() {
    let refused = vec![accepted(1_000, "r", true), answered("r", 503, "W2002", 2)];
    let report = report(&[refused]);
    assert_eq!(report.all.count(Cause::RefusedOnReturn), 1);
}

#[test]
fn request_without_a_configuration_has_no_route() {
    let report = report(&[vec![answered("r", 503, "W2007", 0)]]);
    assert_eq!(report.routes[0].name, "");
    assert_eq!(report.all.count(Cause::NoConfiguration), 1);
}

#[test]
fn a_forwarded_request_is_counted_at_the_node_that_its_caller_asked() {
    let by = r#""forwarded_by":"10.0.0.1:7600""#;
    let there = [
        accepted(1_000, "r", false).replacen('{', &format!("{{{by},"), 1),
        answered("r", 503, "W2002", 300).replacen('{', &format!("{{{by},"), 1),
    ];
    let here = vec![accepted(1_000, "r", false), answered("r", 200, "", 20)];
    let report = report(&[here, there.to_vec()]);
    assert_eq!(report.all.total, 1);
    assert_eq!(report.all.count(Cause::InTime), 1);
}
