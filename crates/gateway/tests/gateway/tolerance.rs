//! Endpoints that state in their answers how many rejections they tolerate, over sockets.

use std::time::Instant;

use rstest::rstest;

use crate::notice::NOT_RUN;
use crate::notice::answer_with;
use crate::rate_limit::spawn_ticks;
use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::run;

const TOLERANCE: &str = "woadstage-tolerance: 4";

/// Starts a gateway with one endpoint and sends it requests one after the other.
async fn send(script: Vec<Action>, count: usize) -> (Worker, Gateway) {
    let worker = Worker::start("e", script).await;
    let gateway = Gateway::start(&[&worker]).await;
    spawn_ticks(&gateway);
    let mut caller = Caller::connect(&gateway).await;
    for number in 0..count {
        caller.request(&format!("id-{number}"), "/once/x", "").await;
        caller.answer().await;
    }
    (worker, gateway)
}

#[rstest]
#[case::a_number("200 OK", TOLERANCE, &["\"tolerance\"", "\"now\":\"4\""])]
#[case::none("200 OK", "woadstage-tolerance: 0", &["\"tolerance\"", "\"now\":\"0\""])]
#[case::a_fraction("200 OK", "woadstage-tolerance: 2.5", &["\"unreadable\"", "\"tolerance\""])]
#[case::negative("200 OK", "woadstage-tolerance: -1", &["\"unreadable\"", "\"tolerance\""])]
fn an_answer_states_a_tolerance(#[case] status: &str, #[case] field: &str, #[case] line: &[&str]) {
    run(|| async {
        let (_worker, gateway) = send(vec![answer_with(status, &[field])], 1).await;
        gateway.wait_for_line(line).await;
    });
}

#[test]
fn a_tolerance_ends_with_the_first_answer_without_one() {
    run(|| async {
        let script = vec![
            answer_with("200 OK", &[TOLERANCE]),
            answer_with("200 OK", &[]),
        ];
        let (_worker, gateway) = send(script, 2).await;
        gateway
            .wait_for_line(&["\"tolerance\"", "\"now\":\"none\""])
            .await;
    });
}

/// Half of what the endpoint tolerates within a second is left for requests of other nodes.
#[test]
fn an_endpoint_is_made_to_reject_no_more_than_half_of_what_it_tolerates() {
    run(|| async {
        let script = vec![
            answer_with("200 OK", &[TOLERANCE]),
            answer_with("503 Full", &[TOLERANCE, NOT_RUN]),
        ];
        let started = Instant::now();
        let (worker, _gateway) = send(script, 6).await;
        let rejected = worker.requests.borrow().len() - 1;
        let allowed = 2.0 * (1.0 + started.elapsed().as_secs_f64());
        assert!(rejected as f64 <= allowed, "{rejected} of {allowed}");
    });
}
