//! Tests of a gateway whose process stood still while others went on.

use std::time::Duration;

use woadstage_dispatch::pause::Generation;
use woadstage_gateway::connections::Limits;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;

/// How long the gateway stands still.
const PAUSE: Duration = Duration::from_millis(2_900);

fn fine() -> Action {
    Action::Answer(answer("200 OK", "fine"))
}

/// Guards against requests that reach an endpoint after it left, since they are served before the news
/// that arrived during a pause.
#[test]
fn a_request_after_a_pause_waits_for_what_changed_meanwhile() {
    run(|| async {
        let leaving = Worker::start("leaving", vec![Action::NoAnswer]).await;
        let staying = Worker::start("staying", vec![fine()]).await;
        let gateway = Gateway::start(&[&leaving]).await;
        let mut caller = Caller::connect(&gateway).await;
        gateway.confirms.set(false);
        gateway.suspend(PAUSE);
        caller.request("id-1", "/once/x", "").await;
        gateway
            .wait_for_line(&["\"woke\"", "\"after_ms\":29"])
            .await;
        gateway.set_endpoints(&[&staying]);
        let confirm = |generation| {
            let shell = &gateway.shell;
            shell.command(|dispatcher, now| dispatcher.confirm(now, Generation(generation)));
        };
        // What was confirmed after an earlier pause says nothing of this one.
        confirm(0);
        assert!(gateway.shell.query(|dispatcher, _| dispatcher.is_holding()));
        confirm(1);
        assert_eq!(caller.answer().await.status, 200);
        assert!(leaving.requests.borrow().is_empty());
        assert_eq!(staying.requests.borrow().len(), 1);
    });
}

/// Guards against callers that get no answer if the platform is away after a pause.
#[test]
fn a_request_after_a_pause_is_served_if_nobody_confirms_what_is_known() {
    run(|| async {
        let worker = Worker::start("e", vec![fine()]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let mut caller = Caller::connect(&gateway).await;
        gateway.confirms.set(false);
        gateway.suspend(PAUSE);
        caller.request("id-1", "/once/x", "").await;
        gateway.wait_for_line(&["\"woke\""]).await;
        while gateway.shell.query(|dispatcher, _| dispatcher.is_holding()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            gateway
                .shell
                .command(|dispatcher, now| dispatcher.tick(now));
        }
        assert_eq!(caller.answer().await.status, 200);
        gateway.wait_for_line(&["\"current\"", "unconfirmed"]).await;
    });
}

/// Guards against requests that were read whole and whose connections are closed for new ones.
#[test]
fn requests_that_wait_after_a_pause_are_answered_beside_new_connections() {
    run(|| async {
        let worker = Worker::start("e", vec![fine()]).await;
        let limits = Limits {
            open: 3,
            active: 8,
            ..Limits::default()
        };
        let gateway = Gateway::with_callers(&[&worker], limits).await;
        let mut callers = Vec::new();
        for _ in 0..3 {
            callers.push(Caller::connect(&gateway).await);
        }
        gateway.confirms.set(false);
        gateway.suspend(PAUSE);
        for (number, caller) in callers.iter_mut().enumerate() {
            caller.request(&format!("id-{number}"), "/once/x", "").await;
        }
        let registry = &gateway.shell.registries.callers;
        while registry.open() < 3 || registry.silent() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut refused = Caller::connect(&gateway).await;
        let is_refused = tokio::task::spawn_local(async move { refused.is_closed().await });
        gateway.wait_for_line(&["\"woke\""]).await;
        gateway.confirms.set(true);
        for caller in &mut callers {
            assert_eq!(caller.answer().await.status, 200);
        }
        assert!(is_refused.await.expect("it does not panic"));
    });
}

/// Guards against requests that reach an endpoint which left while the connection to it was opened.
#[test]
fn a_request_is_withdrawn_if_its_endpoint_leaves_before_it_is_written() {
    run(|| async {
        let leaving = Worker::start("leaving", vec![Action::NoAnswer]).await;
        let staying = Worker::start("staying", vec![fine()]).await;
        let gateway = Gateway::start(&[&leaving]).await;
        let mut caller = Caller::connect(&gateway).await;
        caller.request("id-1", "/once/x", "").await;
        while gateway.shell.query(|dispatcher, _| dispatcher.held()) == 0 {
            tokio::task::yield_now().await;
        }
        // The connection is open only after another turn of the runtime.
        gateway.set_endpoints(&[&staying]);
        assert_eq!(caller.answer().await.status, 200);
        assert!(leaving.requests.borrow().is_empty());
        gateway.wait_for_line(&["\"attempt\"", "withdrawn"]).await;
    });
}
