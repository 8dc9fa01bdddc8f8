//! Tests that a running node fetches newer documents from another node.

use std::future::pending;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::spawn_local;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::endpoint::List;
use woadstage_gateway::log;
use woadstage_gateway::log::Log;
use woadstage_types::unit::Time;

use crate::support::Peer;
use crate::support::configuration;
use crate::support::dispatcher_options;
use crate::support::run;

/// The time limit for an expected event; a single transfer takes a tenth of it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of routes in a configuration that takes most of a second on the peer's link.
const ROUTE_COUNT: usize = 2_500;

const VERSION: u64 = 9;

/// Returns a dispatcher that has a long configuration.
fn dispatcher_with_long_configuration() -> Dispatcher {
    let template = configuration(None);
    let route = |at: usize| Route {
        name: format!("route-{at}"),
        prefix: format!("/route-{at}/"),
        ..template.routes[0].clone()
    };
    let long_configuration = Configuration {
        version: VERSION,
        routes: (0..ROUTE_COUNT).map(route).collect(),
        ..template
    };
    let options: Options = dispatcher_options();
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_configuration(Time(0), Arc::new(long_configuration));
    dispatcher
}

/// Returns the settings of a node whose only seed is the peer.
fn settings(peer: &Peer) -> String {
    let (address, port) = (peer.node_address, peer.node_address.port());
    let seed = peer.address;
    format!(
        r#"
[node]
host = "host"
data_centre = "a"
stop_within = "1s"
[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[peers]
address = "{address}"
seed_port = {port}
seeds = ["{seed}"]
[platform]
address = "127.0.0.1:1"
"#
    )
}

/// Starts a node whose only seed is the peer, and returns the path of its settings file.
fn start_node(peer: &Rc<Peer>) -> PathBuf {
    let path = std::env::temp_dir().join(format!("woadstage-{}.toml", peer.address.port()));
    std::fs::write(&path, settings(peer)).expect("settings are written");
    let (file, peer) = (path.clone(), Rc::clone(peer));
    spawn_local(async move {
        let log = Log::start(log::Options::default(), std::io::stdout());
        let log = log.expect("the log starts");
        let ended = woadstage_gateway::run::run(&file, log, |_, _| pending()).await;
        panic!("the node at {} ended: {ended:?}", peer.node_address);
    });
    path
}

/// Waits until a condition holds. Returns false on timeout.
async fn wait_until(condition: impl Fn() -> bool) -> bool {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, waiting).await.is_ok()
}

#[test]
fn a_long_document_over_a_slow_link_is_fetched_once() {
    run(|| async {
        let peer = Peer::start(dispatcher_with_long_configuration()).await;
        let path = start_node(&peer);
        let arrived = wait_until(|| peer.reported_version.get() >= VERSION).await;
        std::fs::remove_file(&path).expect("settings are removed");
        assert_eq!((arrived, peer.max_in_progress.get()), (true, 1));
    });
}

/// Guards against an endpoint list that queues behind a long configuration: until the list arrives,
/// the node sends requests to endpoints that are leaving.
#[test]
fn a_list_of_endpoints_does_not_wait_for_a_long_configuration() {
    run(|| async {
        let peer = Peer::start(dispatcher_with_long_configuration()).await;
        peer.is_stalling.set(true);
        let path = start_node(&peer);
        assert!(wait_until(|| peer.configuration_transfers.get() > 0).await);
        let list = List {
            revision: 7,
            settled: true,
            ..List::default()
        };
        peer.dispatcher
            .borrow_mut()
            .set_endpoints(Time(0), Arc::new(list));
        let arrived = wait_until(|| peer.reported_revision.get() == 7).await;
        std::fs::remove_file(&path).expect("settings are removed");
        // The first transfer of the configuration is still in progress.
        assert_eq!((arrived, peer.configuration_transfers.get()), (true, 1));
    });
}
