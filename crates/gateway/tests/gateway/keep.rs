//! Connections to endpoints that are kept at rest.
//!
//! An endpoint takes so many connections from all nodes together and resets those beyond.
//! Each node kept up to sixteen at rest, whatever the endpoint takes and however many
//! nodes there are: of 585 nodes, a handful of connections each would be more than the
//! 2,100 that endpoints of such a fleet take. The evidence: the figure is read from the
//! configuration and no line of the source looks at it.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Service;
use woadstage_gateway::log;

use crate::support::Act;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::configuration;
use crate::support::run;

/// A configuration whose endpoints take so many connections.
fn taking(connections: u32) -> Configuration {
    let usual = configuration(None);
    let services = usual.services.iter().map(|service| Service {
        connections,
        ..service.clone()
    });
    Configuration {
        services: services.collect(),
        ..usual.clone()
    }
}

#[test]
fn no_more_connections_are_kept_than_all_nodes_may_have() {
    run(|| async {
        let go_on = Rc::new(Notify::new());
        let act = Act::Stepwise(vec![answer("200 OK", "fine")], go_on.clone());
        let worker = Worker::start("e", vec![act]).await;
        let gateway =
            Gateway::configured(&[&worker], Some(taking(2)), log::Options::default()).await;
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
            go_on.notify_one();
            assert_eq!(caller.answer().await.status, 200);
        }
        worker.closed.notified().await;
    });
}
