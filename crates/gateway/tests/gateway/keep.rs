//! Tests of the limit on idle connections to endpoints.
//!
//! An endpoint accepts a limited number of connections from all nodes together and resets the
//! rest. If each node kept up to sixteen idle connections whatever the configured limit and
//! however many nodes there are, 585 nodes with a handful each would exceed the 2,100 that the
//! endpoints of such a fleet accept.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Service;
use woadstage_gateway::log;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::configuration;
use crate::support::run;

/// Returns a configuration whose endpoints accept this many connections from all nodes together.
fn configuration_with_connections(connections: u32) -> Configuration {
    let base = configuration(None);
    let services = base.services.iter().map(|service| Service {
        connections,
        ..service.clone()
    });
    Configuration {
        services: services.collect(),
        ..base.clone()
    }
}

#[test]
fn idle_connections_stay_within_the_service_limit() {
    run(|| async {
        let proceed = Rc::new(Notify::new());
        let script = Action::AnswerStepwise(vec![answer("200 OK", "fine")], proceed.clone());
        let worker = Worker::start("e", vec![script]).await;
        let gateway = Gateway::configured(
            &[&worker],
            Some(configuration_with_connections(2)),
            log::Options::default(),
        )
        .await;
        let mut callers = Vec::new();
        for number in 0..3 {
            let mut caller = Caller::connect(&gateway).await;
            caller.request(&format!("id-{number}"), "/once/x", "").await;
            callers.push(caller);
        }
        while worker.requests.borrow().len() < 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for mut caller in callers {
            proceed.notify_one();
            assert_eq!(caller.answer().await.status, 200);
        }
        worker.connection_closed.notified().await;
    });
}
