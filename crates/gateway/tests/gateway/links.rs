//! Nodes that lose their links to endpoints, over sockets.

use std::time::Duration;

use rstest::rstest;
use tokio::task::spawn_local;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Worker;
use crate::support::answer;
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
