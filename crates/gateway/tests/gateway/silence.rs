//! Endpoints that fall silent with requests in progress, and answer later.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Worker;
use crate::support::answer;
use crate::support::configuration;
use crate::support::fleet;
use crate::support::fleet::Cut;
use crate::support::fleet::Node;
use crate::support::run;

/// Starts a node and two endpoints that answer when notified, and a route with this many attempts.
async fn start(attempts: u32, proceed: &Rc<Notify>) -> (Node, [Worker; 2]) {
    let fine = || vec![Action::Answer(answer("200 OK", "fine"))];
    let workers = [
        Worker::start("e", fine()).await,
        Worker::start("f", fine()).await,
    ];
    let mut configuration = configuration(None);
    configuration.services[0].health_path = Some("/health".to_owned());
    for route in &mut configuration.routes {
        route.attempts = attempts;
    }
    let all: Vec<&Worker> = workers.iter().collect();
    let mut nodes = fleet::start_configured(1, &all, configuration).await;
    for worker in &workers {
        let text = answer("200 OK", "late");
        worker.set_script(vec![Action::AnswerStepwise(vec![text], proceed.clone())]);
    }
    (nodes.remove(0), workers)
}

fn send(node: SocketAddrV4, id: &'static str) -> JoinHandle<(u16, String)> {
    spawn_local(async move {
        let mut caller = Caller::try_connect(node).await.expect("connects");
        caller.request(id, "/repeatable/x", "body").await;
        let response = caller.answer().await;
        (response.status, response.body)
    })
}

/// The number of requests that an endpoint has received, without health checks.
fn received(worker: &Worker) -> usize {
    let requests = worker.requests.borrow();
    let calls = requests.iter().filter(|request| {
        request.starts_with("POST") && !request.contains("woadstage-request: start")
    });
    calls.count()
}

/// Waits until the endpoints have received this many requests.
async fn wait_until_received(workers: &[Worker; 2], requests: usize) {
    while workers.iter().map(received).sum::<usize>() < requests {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Sends calls one after the other until both endpoints have received one, which they have once one of
/// them has no free slot.
async fn call_both(node: &Node, workers: &[Worker; 2]) -> Vec<JoinHandle<(u16, String)>> {
    let mut calls = Vec::new();
    while workers.iter().any(|worker| received(worker) == 0) {
        calls.push(send(node.callers, "r"));
        wait_until_received(workers, calls.len()).await;
    }
    calls
}

// Guards against a call that ended with its link although nothing else was to begin in its place.
#[rstest]
#[case::no_attempt_is_left(1)]
#[case::no_other_endpoint_is_reached(2)]
fn a_call_waits_for_its_silent_endpoint_if_no_other_can_begin(#[case] attempts: u32) {
    run(move || async move {
        let proceed = Rc::new(Notify::new());
        let (node, workers) = start(attempts, &proceed).await;
        let calls = call_both(&node, &workers).await;
        let received_before = workers.each_ref().map(received);
        node.cut(Cut::Hang);
        calls.iter().for_each(|_| proceed.notify_one());
        fleet::wait_until_lost(&node, 2).await;
        node.cut(Cut::None);
        for call in calls {
            let answered = call.await.expect("the call ends");
            assert_eq!(answered, (200, "late".to_owned()));
        }
        assert_eq!(workers.each_ref().map(received), received_before);
    });
}

#[test]
fn a_call_moves_from_a_lost_link_to_an_endpoint_that_is_reached() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let (node, workers) = start(2, &proceed).await;
        let call = send(node.callers, "r");
        wait_until_received(&workers, 1).await;
        let index = usize::from(received(&workers[1]) == 1);
        let closed = workers[index].connection_closed.notified();
        node.cut_one(index, Cut::ResetNew);
        closed.await;
        wait_until_received(&workers, 2).await;
        proceed.notify_one();
        let answered = call.await.expect("the call ends");
        assert_eq!(answered, (200, "late".to_owned()));
        assert_eq!(workers.each_ref().map(received), [1, 1]);
    });
}
