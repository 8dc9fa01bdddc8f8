//! What endpoints say of themselves in the heads of answers, over sockets.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use woadstage_dispatch::endpoint::List;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;
use crate::support::to_endpoint;

/// How a refusal says that the request has not run.
pub const NOT_RUN: &str = "woadstage-not-run: 1";

/// An answer with a status and some fields.
pub fn saying(status: &str, fields: &[&str]) -> Act {
    let head = [&[status], fields].concat().join("\r\n");
    Act::Answer(answer(&head, ""))
}

/// Endpoints that leave, and that want rest, as a gateway's gauges count them.
pub fn believed(gateway: &Gateway) -> (usize, usize) {
    let summaries = gateway.shell.query(|one, now| one.summaries(now));
    let leaving = summaries.iter().map(|one| one.leaving).sum();
    let resting = summaries.iter().map(|one| one.resting).sum();
    (leaving, resting)
}

/// A gateway that has asked one endpoint once, which answers so.
async fn ask_once(act: Act) -> (Worker, Gateway) {
    let worker = Worker::start("e", vec![act]).await;
    let gateway = Gateway::start(&[&worker]).await;
    let mut caller = Caller::connect(&gateway).await;
    caller.request("id-1", "/once/x", "").await;
    caller.head().await;
    (worker, gateway)
}

const MISDIRECTED: &str = "421 Misdirected Request";

#[rstest]
#[case::good("200 OK", &["woadstage-leaving: 1"], 1)]
#[case::blanks("200 OK", &["woadstage-leaving:  1 "], 1)]
#[case::twice("200 OK", &["woadstage-leaving: 1", "woadstage-leaving: 1"], 1)]
#[case::refused("503 Full", &["woadstage-leaving: 1", NOT_RUN], 1)]
#[case::failed("500 Broken", &["woadstage-leaving: 1"], 1)]
#[case::not_found("404 Not Found", &["woadstage-leaving: 1"], 1)]
#[case::of_another_endpoint(MISDIRECTED, &["woadstage-leaving: 1"], 0)]
#[case::zero("200 OK", &["woadstage-leaving: 0"], 0)]
#[case::word("200 OK", &["woadstage-leaving: yes"], 0)]
#[case::empty("200 OK", &["woadstage-leaving:"], 0)]
fn an_endpoint_leaves_by_its_answer(
    #[case] status: &str,
    #[case] fields: &[&str],
    #[case] leaving: usize,
) {
    run(|| async {
        let (_worker, gateway) = ask_once(saying(status, fields)).await;
        assert_eq!(believed(&gateway).0, leaving);
        match (leaving, status) {
            (0, MISDIRECTED) => {}
            (0, _) => drop(
                gateway
                    .wait_for_line(&["\"unreadable\"", "\"leaving\""])
                    .await,
            ),
            _ => drop(
                gateway
                    .wait_for_line(&["\"notice\"", "\"leaving\"", "id-1"])
                    .await,
            ),
        }
    });
}

#[rstest]
#[case::whole("3", 1)]
#[case::fraction("0.4", 1)]
#[case::more_than_can_be_held("1e300", 1)]
#[case::twice_the_longest_counts("0\r\nretry-after: 5", 1)]
#[case::one_of_two_is_readable("soon\r\nretry-after: 5", 1)]
#[case::zero("0", 0)]
#[case::negative("-1", 0)]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT", 0)]
#[case::empty("", 0)]
#[case::word("soon", 0)]
fn an_endpoint_asks_for_rest_by_its_refusal(#[case] value: &str, #[case] resting: usize) {
    run(|| async {
        let field = format!("retry-after: {value}");
        let (_worker, gateway) = ask_once(saying("503 Full", &[NOT_RUN, &field])).await;
        assert_eq!(believed(&gateway).1, resting);
        match (resting, value) {
            (0, "0") => drop(gateway.wait_for_line(&["\"attempt\"", "503, rest 0"]).await),
            (0, _) => drop(gateway.wait_for_line(&["\"unreadable\"", "\"rest\""]).await),
            _ => drop(
                gateway
                    .wait_for_line(&["\"notice\"", "\"rest\"", "id-1"])
                    .await,
            ),
        }
    });
}

#[rstest]
#[case::for_a_while("600", 1)]
#[case::not_any_more("0", 0)]
#[case::word("soon", 0)]
#[case::fraction("0.5", 0)]
fn an_endpoint_is_cold_by_its_answer(#[case] value: &str, #[case] cold: usize) {
    run(|| async {
        let field = format!("woadstage-cold-ms: {value}");
        let (_worker, gateway) = ask_once(saying("200 OK", &[&field])).await;
        let summaries = gateway.shell.query(|one, now| one.summaries(now));
        let found: usize = summaries.iter().map(|one| one.cold).sum();
        assert_eq!(found, cold);
        match (cold, value) {
            (0, "0") => {}
            (0, _) => drop(gateway.wait_for_line(&["\"unreadable\"", "\"cold\""]).await),
            _ => drop(
                gateway
                    .wait_for_line(&["\"notice\"", "\"cold\"", "id-1"])
                    .await,
            ),
        }
    });
}

/// Others than refusals tell callers when to come back, not nodes.
#[rstest]
#[case::too_many("429 Too Many Requests")]
#[case::good("200 OK")]
#[case::moved("301 Moved")]
#[case::of_another_endpoint(MISDIRECTED)]
fn what_is_no_refusal_asks_for_no_rest(#[case] status: &str) {
    run(|| async {
        let (_worker, gateway) = ask_once(saying(status, &["retry-after: 3", NOT_RUN])).await;
        assert_eq!(believed(&gateway).1, 0);
    });
}

/// An answer to an earlier request stands where that to another is due.
#[test]
fn an_answer_to_another_request_says_nothing() {
    run(|| async {
        let text = "HTTP/1.1 503 Full\r\nwoadstage-request: other\r\nwoadstage-not-run: 1\r\n\
                    woadstage-leaving: 1\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n";
        let (_worker, gateway) = ask_once(Act::Answer(text.into())).await;
        assert_eq!(believed(&gateway), (0, 0));
    });
}

#[test]
fn the_end_of_a_rest_is_told() {
    run(|| async {
        let act = saying("503 Full", &[NOT_RUN, "retry-after: 0.2"]);
        let (_worker, gateway) = ask_once(act).await;
        assert_eq!(believed(&gateway).1, 1);
        loop {
            gateway
                .shell
                .command(|dispatcher, now| dispatcher.tick(now));
            if gateway.lines.text().contains("\"before\":\"over\"") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(believed(&gateway).1, 0);
    });
}

/// A gateway that knows another endpoint as well from now on.
fn list_also(gateway: &Gateway, workers: &[&Worker]) {
    let list = Arc::new(List {
        settled: true,
        revision: 2,
        endpoints: workers.iter().map(|worker| to_endpoint(worker)).collect(),
        ..List::default()
    });
    let shell = &gateway.shell;
    shell.command(|dispatcher, now| dispatcher.set_endpoints(now, list));
}

async fn ask(gateway: &Gateway, count: usize) {
    let mut caller = Caller::connect(gateway).await;
    for number in 0..count {
        caller.request(&format!("id-{number}"), "/once/x", "").await;
        assert_eq!(caller.answer().await.status, 200);
    }
}

/// A list that still says that it is ready changes nothing.
#[test]
fn an_endpoint_that_says_it_leaves_is_sent_nothing_more() {
    run(|| async {
        let act = saying("200 OK", &["woadstage-leaving: 1"]);
        let (leaving, gateway) = ask_once(act).await;
        let other = Worker::start("other", vec![saying("200 OK", &[])]).await;
        list_also(&gateway, &[&leaving, &other]);
        ask(&gateway, 60).await;
        assert_eq!(leaving.requests.borrow().len(), 1);
    });
}

#[test]
fn an_endpoint_that_asks_for_rest_gets_it() {
    run(|| async {
        let act = saying("503 Full", &[NOT_RUN, "retry-after: 60"]);
        let (resting, gateway) = ask_once(act).await;
        let other = Worker::start("other", vec![saying("200 OK", &[])]).await;
        list_also(&gateway, &[&resting, &other]);
        // Longer than a full endpoint without a word of rest is left alone.
        tokio::time::sleep(Duration::from_millis(200)).await;
        ask(&gateway, 60).await;
        assert_eq!(resting.requests.borrow().len(), 1);
    });
}
