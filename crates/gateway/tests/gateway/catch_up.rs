//! A whole node that is behind takes documents from another.

use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::spawn_local;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
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

#[test]
fn a_long_document_over_a_slow_link_is_taken_once() {
    run(|| async {
        let peer = Peer::start(ahead()).await;
        let path = std::env::temp_dir().join(format!("woadstage-{}.toml", peer.address.port()));
        std::fs::write(&path, settings(&peer)).expect("settings are written");
        let (file, of) = (path.clone(), Rc::clone(&peer));
        spawn_local(async move {
            let ended = woadstage_gateway::run::run(&file, |_, _| pending()).await;
            panic!("the node at {} ended: {ended:?}", of.other);
        });
        let came = async {
            while peer.heard.get() < VERSION {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let came = tokio::time::timeout(PATIENCE, came).await.is_ok();
        std::fs::remove_file(&path).expect("settings are removed");
        assert_eq!((came, peer.most_at_once.get()), (true, 1));
    });
}
