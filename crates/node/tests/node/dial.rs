//! Tests that a node's outgoing connections do not stand in the way of a listener of its host.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use rstest::rstest;
use tokio::net::TcpListener;
use woadstage_node::commands;
use woadstage_node::driver::Work;
use woadstage_node::endpoints;
use woadstage_node::platform;
use woadstage_node::platform::Platform;
use woadstage_types::unit::Span;

use crate::answers::call_with;

/// How many connections are tried. Ports may be in use by connections of other programs too, which
/// no listener can take.
const TRIES: usize = 2_000;

type Opening = Pin<Box<dyn Future<Output = ()> + Send>>;

type Open = fn(SocketAddr) -> Opening;

async fn read_platform(address: SocketAddr) {
    let platform = Platform::new(address, Span::from_secs(1));
    // There is no answer.
    let _ = platform.read(platform::CONFIG_KEY, 0).await;
}

async fn call_endpoint(address: SocketAddr) {
    let work = Work {
        method: "POST".into(),
        path: "/x".into(),
        content_type: None,
        body: "body".into(),
        is_model: false,
        is_stream: false,
    };
    let address = Arc::from(address.to_string());
    call_with(endpoints::Client::new(), address, 0, work).await;
}

async fn query_status(address: SocketAddr) {
    // There is no answer.
    let _ = commands::status::run(address, true, &mut Vec::new()).await;
}

macro_rules! connections {
    ($($name:ident: $open:expr;)*) => {
        // Guards against nodes that can't start at ports that the kernel gave to connections of their host.
        #[rstest]
        $(#[case::$name(|address| -> Opening { Box::pin($open(address)) })])*
        fn a_listener_takes_the_port_of_an_outgoing_connection(#[case] open: Open) {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("the runtime starts");
            assert!(runtime.block_on(can_listen(open)), "no port could be taken");
        }
    };
}

async fn can_listen(open: Open) -> bool {
    for _ in 0..TRIES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let opening = tokio::spawn(open(listener.local_addr().expect("an address")));
        let (_other, local) = listener.accept().await.expect("accepted");
        let is_taken = std::net::TcpListener::bind(local).is_ok();
        opening.abort();
        if is_taken {
            return true;
        }
    }
    false
}

connections! {
    platform: read_platform;
    endpoint: call_endpoint;
    status: query_status;
}
