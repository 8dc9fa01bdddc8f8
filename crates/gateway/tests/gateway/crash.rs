//! A request that crashes the endpoints that run it, over sockets: `fleet/crash.rs` of the
//! decisions' tests tells the story.

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Seen;
use crate::support::Worker;
use crate::support::answer;
use crate::support::field;
use crate::support::run;

/// A body that crashes endpoints.
const CRASHING: &str = "crash";

/// Endpoints that a request may crash.
const CRASHES_MOST: usize = 3;

/// The least time after which a caller may come back whose request is not run.
const COMES_BACK_AFTER: f64 = 5.0;

/// Endpoints that such a body crashes.
async fn workers() -> Vec<Worker> {
    let mut workers = Vec::new();
    for name in ["e1", "e2", "e3", "e4", "e5", "e6"] {
        let act = Act::CrashOn(CRASHING, answer("200 OK", "fine"));
        workers.push(Worker::start(name, vec![act]).await);
    }
    workers
}

/// How many requests with a body reached endpoints.
fn reached(workers: &[Worker], body: &str) -> usize {
    let requests = workers
        .iter()
        .flat_map(|worker| worker.requests.borrow().clone());
    requests.filter(|request| request.ends_with(body)).count()
}

/// Asks over a new connection.
async fn ask(gateway: &Gateway, id: &str, body: &str) -> Seen {
    let mut caller = Caller::connect(gateway).await;
    caller.request(id, "/once/x", body).await;
    caller.answer().await
}

#[test]
fn a_request_that_crashes_endpoints_is_refused_and_others_are_served() {
    run(|| async {
        let workers = workers().await;
        let all: Vec<&Worker> = workers.iter().collect();
        let gateway = Gateway::start(&all).await;
        for number in 0..6 {
            ask(&gateway, &format!("id-{number}"), CRASHING).await;
        }
        let last = ask(&gateway, "id-last", CRASHING).await;
        assert!(reached(&workers, CRASHING) <= CRASHES_MOST);
        assert_eq!(last.status, 503);
        let retry_after = field(&last.head, "retry-after").expect("when to come back");
        assert!(retry_after.parse::<f64>().expect("seconds") >= COMES_BACK_AFTER);
        assert_eq!(ask(&gateway, "id-other", "another").await.status, 200);
    });
}
