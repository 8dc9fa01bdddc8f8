//! Nodes that lose their links to endpoints, over sockets.

use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use woadstage_dispatch::configuration::Quota;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Worker;
use crate::support::answer;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::closing_head;
use crate::support::configuration;
use crate::support::field;
use crate::support::fleet;
use crate::support::fleet::Cut;
use crate::support::fleet::Node;
use crate::support::run;

/// How long a node has to notice that its links are lost.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// The number of requests sent to each node after that time.
const REQUESTS: usize = 30;

/// The most first tries that may fail at nodes without links: ten, and one in fifty of all.
const MAX_FAILURES: usize = 10 + REQUESTS / 50;

async fn start_workers() -> Vec<Worker> {
    let mut workers = Vec::new();
    for name in ["e1", "e2", "e3", "e4"] {
        let fine = Action::Answer(answer("200 OK", "fine"));
        workers.push(Worker::start(name, vec![fine]).await);
    }
    workers
}

/// Sends a request on a new connection. Returns its status; 0 if there is no answer in time.
async fn send(node: std::net::SocketAddrV4, id: String, path: &'static str) -> u16 {
    let sending = async {
        let mut caller = Caller::try_connect(node).await?;
        caller.request(&id, path, "body").await;
        Some(caller.answer().await.status)
    };
    let answered = tokio::time::timeout(Duration::from_secs(5), sending).await;
    answered.ok().flatten().unwrap_or(0)
}

/// Sends requests at intervals and returns how many were served.
async fn count_served(node: &Node, name: &str, path: &'static str) -> usize {
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{name}-{number}");
        calls.push(spawn_local(send(node.callers, id, path)));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.expect("the call ends") == 200);
    }
    served
}

#[rstest]
#[case::hanging(Cut::Hang)]
#[case::reset(Cut::Reset)]
#[case::new_ones_reset(Cut::ResetNew)]
fn callers_of_a_node_without_links_to_endpoints_are_served(#[case] cut: Cut) {
    run(|| async {
        let workers = start_workers().await;
        let all: Vec<&Worker> = workers.iter().collect();
        let nodes = fleet::start(3, &all).await;
        nodes[0].cut(cut);
        let noticing = count_served(&nodes[0], "noticing", "/once/x");
        tokio::join!(noticing, tokio::time::sleep(DETECTION_TIME));
        let served = count_served(&nodes[0], "cut", "/once/x").await;
        assert!(
            served + MAX_FAILURES >= REQUESTS && served * 3 >= REQUESTS * 2,
            "{served} served"
        );
        assert_eq!(count_served(&nodes[1], "other", "/once/x").await, REQUESTS);
    });
}

#[test]
fn callers_of_a_node_that_reaches_few_endpoints_are_served() {
    run(|| async {
        let workers = start_workers().await;
        let all: Vec<&Worker> = workers.iter().collect();
        let nodes = fleet::start(2, &all).await;
        for endpoint in 0..3 {
            nodes[0].cut_one(endpoint, Cut::Reset);
        }
        let noticing = count_served(&nodes[0], "noticing", "/once/x");
        tokio::join!(noticing, tokio::time::sleep(DETECTION_TIME));
        assert_eq!(count_served(&nodes[0], "few", "/once/x").await, REQUESTS);
    });
}

/// Starts two nodes, the first of which has noticed that its links are lost.
async fn start_with_cut_node(workers: &[&Worker]) -> Vec<Node> {
    let nodes = fleet::start(2, workers).await;
    nodes[0].cut(Cut::Reset);
    while send(nodes[0].callers, "noticing".into(), "/repeatable/x").await != 200 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for worker in workers {
        worker.requests.borrow_mut().clear();
    }
    nodes
}

/// Returns the requests that a worker received, without health checks.
fn received(worker: &Worker) -> Vec<String> {
    let requests = worker.requests.borrow();
    let requests = requests
        .iter()
        .filter(|request| request.starts_with("POST"));
    requests.cloned().collect()
}

#[test]
fn a_forwarded_request_reaches_the_endpoint_without_key_and_hop_field() {
    run(|| async {
        let fine = Action::Answer(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![fine]).await;
        let nodes = start_with_cut_node(&[&worker]).await;
        let mut caller = Caller::try_connect(nodes[0].callers)
            .await
            .expect("connects");
        caller
            .send(
                "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer a-secret-key\r\n\
                 woadstage-request: r\r\nwoadstage-hop: {}\r\nwoadstage-customer: another\r\n\
                 woadstage-timeout-ms: 5000\r\ncontent-length: 4\r\n\r\nbody",
            )
            .await;
        let response = caller.answer().await;
        assert_eq!((response.status, response.body.as_str()), (200, "fine"));
        assert!(
            !response.head.contains("woadstage-hop"),
            "{}",
            response.head
        );
        let requests = received(&worker);
        assert_eq!(requests.len(), 1);
        assert!(
            requests[0].contains("woadstage-customer: customer"),
            "{}",
            requests[0]
        );
        assert!(
            !requests[0].contains("hop") && !requests[0].contains("secret"),
            "{}",
            requests[0]
        );
        let given = field(&requests[0], "woadstage-timeout-ms");
        let given: u64 = given.expect("a deadline").parse().expect("milliseconds");
        assert!(given < 5_000, "{given}");
    });
}

#[rstest]
#[case::resumable("/resumable/x")]
#[case::not_resumable("/stream/x")]
fn a_forwarded_stream_closed_inside_an_event_does_not_look_complete(#[case] path: &'static str) {
    run(|| async move {
        let fine = Action::Answer(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![fine]).await;
        let nodes = start_with_cut_node(&[&worker]).await;
        let broken = closing_head() + "id: 1\ndata: piece 1\n\nid: 2\ndata: pie";
        worker.set_script(vec![Action::AnswerAndClose(broken)]);
        let mut caller = Caller::try_connect(nodes[0].callers)
            .await
            .expect("connects");
        caller.request("r", path, "").await;
        let response = caller.answer().await;
        assert!(!response.is_complete, "{}", response.body);
    });
}

#[test]
fn a_field_that_only_nodes_set_gives_a_caller_nothing() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let nodes = fleet::start(1, &[&worker]).await;
        let mut caller = Caller::try_connect(nodes[0].callers)
            .await
            .expect("connects");
        caller
            .send(
                "POST /once/x HTTP/1.1\r\nhost: host.example\r\nwoadstage-request: r\r\n\
                 woadstage-hop: {\"node\":\"127.0.0.1:1\",\"age_us\":0,\"since_first_try_us\":0,\
                 \"sent\":0,\"tried\":[]}\r\ncontent-length: 0\r\n\r\n",
            )
            .await;
        assert_eq!(caller.answer().await.status, 401);
    });
}

#[test]
fn a_forwarded_stream_arrives_event_by_event() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let texts = vec![
            chunked_head(),
            chunk("id: 1\ndata: a\n\n"),
            chunk("id: 2\ndata: b\n\n"),
            "0\r\n\r\n".to_owned(),
        ];
        let fine = Action::Answer(answer("200 OK", "fine"));
        let stepwise = Action::AnswerStepwise(texts, proceed.clone());
        let worker = Worker::start("e", vec![fine]).await;
        let nodes = start_with_cut_node(&[&worker]).await;
        worker.set_script(vec![stepwise]);
        let mut caller = Caller::try_connect(nodes[0].callers)
            .await
            .expect("connects");
        caller.request("r", "/stream/x", "").await;
        proceed.notify_one();
        caller.head().await.expect("a head");
        for event in ["data: a", "data: b"] {
            proceed.notify_one();
            caller.read_until(event).await;
        }
        proceed.notify_one();
        caller.read_until("0\r\n\r\n").await;
    });
}

#[test]
fn a_caller_that_leaves_ends_the_work_over_both_hops() {
    run(|| async {
        let fine = Action::Answer(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![fine]).await;
        let nodes = start_with_cut_node(&[&worker]).await;
        worker.set_script(vec![Action::NoAnswer]);
        let mut caller = Caller::try_connect(nodes[0].callers)
            .await
            .expect("connects");
        caller.request("r", "/once/x", "").await;
        while received(&worker).is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let closed = worker.connection_closed.notified();
        drop(caller);
        closed.await;
    });
}

#[test]
fn a_forwarded_request_is_charged_to_its_quota_once() {
    run(|| async {
        let fine = Action::Answer(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![fine]).await;
        // Enough for 25 requests a second that are charged once, and not for 50.
        let quota = Quota {
            per_second: 36.0,
            burst: 10.0,
            default_tokens: None,
        };
        let mut configuration = configuration(Some(quota));
        configuration.services[0].health_path = Some("/health".to_owned());
        let nodes = fleet::start_configured(2, &[&worker], configuration).await;
        nodes[0].cut(Cut::Reset);
        let mut statuses = Vec::new();
        for number in 0..100 {
            let id = format!("r{number}");
            statuses.push(spawn_local(send(nodes[0].callers, id, "/repeatable/x")));
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        let mut answers = Vec::new();
        for status in statuses {
            answers.push(status.await.expect("the call ends"));
        }
        let limited = answers.iter().filter(|status| **status == 429).count();
        assert!(limited < 10, "{answers:?}");
    });
}

#[test]
fn an_endpoint_that_is_silent_for_a_second_keeps_its_calls() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let texts = vec![answer("200 OK", "slow")];
        let stepwise = Action::AnswerStepwise(texts, proceed.clone());
        let worker = Worker::start("e", vec![Action::Answer(answer("200 OK", "fine"))]).await;
        let nodes = fleet::start(2, &[&worker]).await;
        worker.set_script(vec![stepwise, Action::Answer(answer("200 OK", "fine"))]);
        let call = spawn_local(send(nodes[0].callers, "r".into(), "/once/x"));
        while received(&worker)
            .iter()
            .all(|request| !request.contains("woadstage-request: r\r"))
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        nodes[0].cut(Cut::Hang);
        proceed.notify_one();
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        nodes[0].cut(Cut::None);
        assert_eq!(call.await.expect("the call ends"), 200);
        assert_eq!(
            received(&worker)
                .iter()
                .filter(|one| one.contains("request: r\r"))
                .count(),
            1
        );
    });
}
