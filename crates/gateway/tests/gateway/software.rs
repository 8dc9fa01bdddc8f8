//! Streams while endpoints of several software versions serve side by side.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Response;
use crate::support::Worker;
use crate::support::chunk;
use crate::support::chunked_head;
use crate::support::field;
use crate::support::fleet;
use crate::support::fleet::Cut;
use crate::support::run;

/// The streams of a test by name, enough for a free choice among versions to show.
const STREAMS: [&str; 8] = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];

/// Returns how many requests that take a stream up a worker received.
fn taken_up(worker: &Worker) -> usize {
    let requests = worker.requests.borrow();
    let taken_up = requests.iter().filter(|request| is_take_up(request));
    taken_up.count()
}

fn is_take_up(request: &str) -> bool {
    field(request, "last-event-id").is_some()
}

/// Whether a worker received a request.
fn received(worker: &Worker, id: &str) -> bool {
    let requests = worker.requests.borrow();
    let mut requests = requests.iter();
    requests.any(|request| field(request, "woadstage-request") == Some(id))
}

#[test]
fn a_broken_stream_goes_on_only_at_the_software_that_began_it() {
    run(|| async {
        let same = Worker::start_version("f", "1", vec![Action::BreakStream]).await;
        let other = Worker::start_version("g", "2", vec![Action::BreakStream]).await;
        let gateway = Gateway::start(&[]).await;
        for stream in STREAMS {
            let proceed = Rc::new(Notify::new());
            let steps = vec![
                format!("{}{}", chunked_head(), chunk("id: 2\ndata: piece 2\n\n")),
                "no chunk\r\n".to_owned(),
            ];
            let script = vec![Action::AnswerStepwise(steps, proceed.clone())];
            let first = Worker::start_version(stream, "1", script).await;
            gateway.set_endpoints(&[&first]);
            let mut caller = Caller::connect(&gateway).await;
            caller.request(stream, "/resumable/x", stream).await;
            proceed.notify_one();
            caller.read_until("piece 2").await;
            gateway.set_endpoints(&[&first, &same, &other]);
            proceed.notify_one();
            caller.read_until("0\r\n\r\n").await;
        }
        assert_eq!((taken_up(&same), taken_up(&other)), (STREAMS.len(), 0));
    });
}

#[test]
fn a_broken_stream_ends_at_once_if_no_endpoint_runs_the_software_that_began_it() {
    run(|| async {
        let first = Worker::start_version("e", "1", vec![Action::BreakStream]).await;
        let other = Worker::start_version("g", "2", vec![Action::BreakStream]).await;
        let gateway = Gateway::start(&[&first]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/resumable/x", "").await;
        caller.head().await.expect("an answer");
        gateway.set_endpoints(&[&other]);
        let (received, _) = caller.read_to_end().await;
        assert!(!received.ends_with("0\r\n\r\n"), "{received}");
        assert_eq!(taken_up(&other), 0);
        let cut = gateway.wait_for_line(&["\"cut\"", "id-1"]).await;
        assert!(!cut.contains("no time left"), "{cut}");
    });
}

/// Starts a fleet before two workers of different software, the streams of which break off.
async fn start(nodes: u8) -> (Worker, Worker, Vec<fleet::Node>) {
    let one = Worker::start_version("e", "1", vec![Action::BreakStream]).await;
    let two = Worker::start_version("g", "2", vec![Action::BreakStream]).await;
    let nodes = fleet::start(nodes, &[&one, &two]).await;
    for node in &nodes {
        fleet::wait_until_watched(node, 2).await;
    }
    (one, two, nodes)
}

async fn connect(node: &fleet::Node) -> Caller {
    let connected = Caller::try_connect(node.callers).await;
    connected.expect("the node accepts connections")
}

/// Begins a stream, which breaks off. Returns its last event.
async fn begin(node: &fleet::Node, id: &str) -> String {
    let mut caller = connect(node).await;
    caller.request(id, "/resumable/x", id).await;
    let response = caller.answer().await;
    assert_eq!(response.status, 200, "{id}: {}", response.body);
    assert!(!response.is_complete, "{id} is whole");
    let mut ids = response
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.next_back().expect("an event").to_owned()
}

async fn request(node: &fleet::Node, id: &str, path: &str) -> Response {
    let mut caller = connect(node).await;
    caller.request(id, path, "").await;
    caller.answer().await
}

async fn take_up(node: &fleet::Node, id: &str, resumes: Option<&str>, last: &str) -> Response {
    let mut caller = connect(node).await;
    caller.take_up(id, resumes, last).await;
    caller.answer().await
}

#[test]
fn a_stream_taken_up_at_another_node_goes_on_at_the_software_that_began_it() {
    run(|| async {
        let (one, two, nodes) = start(3).await;
        for (index, first) in STREAMS.into_iter().enumerate() {
            let again = format!("again-{first}");
            let last = begin(&nodes[index % 2], first).await;
            let response = take_up(&nodes[2], &again, Some(first), &last).await;
            assert_eq!(response.status, 200, "{}", response.body);
            assert!(response.is_complete);
            for worker in [&one, &two] {
                let began = received(worker, first);
                assert_eq!(received(worker, &again), began, "{}", worker.name);
            }
        }
    });
}

#[test]
fn a_stream_of_which_no_node_knows_the_software_is_not_run() {
    run(|| async {
        let (one, two, nodes) = start(2).await;
        for (id, resumes) in [("named", Some("never-seen")), ("unnamed", None)] {
            let response = take_up(&nodes[1], id, resumes, "2").await;
            assert_eq!(response.status, 503, "{}", response.body);
            assert!(response.body.contains("not-run"), "{}", response.body);
        }
        assert_eq!((taken_up(&one), taken_up(&two)), (0, 0));
    });
}

/// The forwarding node may go on at other software before its caller gets an event.
#[test]
fn a_forwarded_stream_without_an_event_is_bound_to_no_software() {
    run(|| async {
        let (one, two, nodes) = start(3).await;
        nodes[0].cut(Cut::Reset);
        while request(&nodes[0], "noticing", "/repeatable/x").await.status != 200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for worker in [&one, &two] {
            worker.set_script(vec![Action::Answer(chunked_head())]);
        }
        let mut caller = connect(&nodes[0]).await;
        caller.request("first", "/resumable/x", "").await;
        caller.head().await.expect("a head");
        for worker in [&one, &two] {
            worker.set_script(vec![Action::BreakStream]);
        }
        drop(caller);
        let response = take_up(&nodes[1], "again", Some("first"), "1").await;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(response.body.contains("not-run"), "{}", response.body);
    });
}

#[test]
fn a_stream_whose_software_has_left_is_refused_at_once() {
    run(|| async {
        let one = Worker::start_version("e", "1", vec![Action::BreakStream]).await;
        let two = Worker::start_version("g", "2", vec![Action::BreakStream]).await;
        let gateway = Gateway::start(&[&one]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("first", "/resumable/x", "").await;
        caller.answer().await;
        gateway.set_endpoints(&[&two]);
        let mut caller = Caller::connect(&gateway).await;
        caller.take_up("again", Some("first"), "2").await;
        let response = caller.answer().await;
        assert_eq!(response.status, 503, "{}", response.body);
        let line = gateway.wait_for_line(&["\"answered\"", "again"]).await;
        assert!(!line.contains("W2002"), "{line}");
        assert_eq!(taken_up(&two), 0);
    });
}
