//! A whole node that is behind takes documents from another.

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
use woadstage_types::unit::Time;

use crate::support::Peer;
use crate::support::configuration;
use crate::support::dispatcher_options;
use crate::support::run;

/// Longest wait for what must come; a single transfer takes a tenth of it.
const PATIENCE: Duration = Duration::from_secs(10);

/// Routes of a configuration that takes most of a second on the peer's link.
const MANY_ROUTES: usize = 2_500;

const VERSION: u64 = 9;

/// A node that knows a configuration with many routes.
fn ahead() -> Dispatcher {
    let usual = configuration(None);
    let route = |at: usize| Route {
        name: format!("route-{at}"),
        prefix: format!("/route-{at}/"),
        ..usual.routes[0].clone()
    };
    let long = Configuration {
        version: VERSION,
        routes: (0..MANY_ROUTES).map(route).collect(),
        ..usual
    };
    let options: Options = dispatcher_options();
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_configuration(Time(0), Arc::new(long));
    dispatcher
}

/// The settings of a node that knows this peer only.
fn settings(peer: &Peer) -> String {
    let (own, port) = (peer.other, peer.other.port());
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
address = "{own}"
seed_port = {port}
seeds = ["{seed}"]
[platform]
address = "127.0.0.1:1"
"#
    )
}

/// Starts a node whose seed is the peer.
fn start_node(peer: &Rc<Peer>) -> PathBuf {
    let path = std::env::temp_dir().join(format!("woadstage-{}.toml", peer.address.port()));
    std::fs::write(&path, settings(peer)).expect("settings are written");
    let (file, of) = (path.clone(), Rc::clone(peer));
    spawn_local(async move {
        let ended = woadstage_gateway::run::run(&file, |_, _| pending()).await;
        panic!("the node at {} ended: {ended:?}", of.other);
    });
    path
}

/// Waits until something is so; false where it takes too long.
async fn comes(is_so: impl Fn() -> bool) -> bool {
    let waiting = async {
        while !is_so() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.is_ok()
}

#[test]
fn a_long_document_over_a_slow_link_is_taken_once() {
    run(|| async {
        let peer = Peer::start(ahead()).await;
        let path = start_node(&peer);
        let came = comes(|| peer.heard.get() >= VERSION).await;
        std::fs::remove_file(&path).expect("settings are removed");
        assert_eq!((came, peer.most_at_once.get()), (true, 1));
    });
}

/// A list in which an endpoint leaves must not wait for a long configuration.
#[test]
fn a_list_of_endpoints_does_not_wait_for_a_long_configuration() {
    run(|| async {
        let peer = Peer::start(ahead()).await;
        peer.is_endless.set(true);
        let path = start_node(&peer);
        assert!(comes(|| peer.configurations.get() > 0).await);
        let list = List {
            revision: 7,
            settled: true,
            ..List::default()
        };
        peer.dispatcher
            .borrow_mut()
            .set_endpoints(Time(0), Arc::new(list));
        let came = comes(|| peer.heard_list.get() == 7).await;
        std::fs::remove_file(&path).expect("settings are removed");
        // The first transfer of the configuration is still under way.
        assert_eq!((came, peer.configurations.get()), (true, 1));
    });
}
