//! Tests that a node's outgoing connections do not stand in the way of a listener of its host.

use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use woadstage_gateway::connections::listen;
use woadstage_gateway::dial;
use woadstage_gateway::upstream::Body;
use woadstage_gateway::upstream::Target;
use woadstage_gateway::upstream::Upstream;
use woadstage_types::unit::Size;
use woadstage_types::unit::Time;

use crate::support::run;

const BUFFER: Size = Size::from_kib(32);

fn to_v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

async fn listen_anywhere() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = to_v4(listener.local_addr().expect("an address"));
    (listener, address)
}

/// Whether a node's listener can take an address that a connection uses.
fn can_listen(address: SocketAddr) -> bool {
    listen::listen(to_v4(address), BUFFER, BUFFER).is_ok()
}

/// How many connections are tried. Most ports may be in use by connections of other programs too,
/// which no listener can take.
const TRIES: usize = 2_000;

/// Guards against nodes that can't start at ports that the kernel gave to connections of their host.
#[rstest]
#[case::open(false)]
#[case::closed(true)]
fn a_listener_takes_the_port_of_an_outgoing_connection(#[case] is_closed: bool) {
    run(|| async move {
        for _ in 0..TRIES {
            let (listener, address) = listen_anywhere().await;
            let mut stream = Some(dial::connect(address).await.expect("connected"));
            let (mut other, local) = listener.accept().await.expect("accepted");
            if is_closed {
                // This end closes first, so that the connection lingers here.
                stream = None;
                assert_eq!(other.read(&mut [0; 1]).await.ok(), Some(0));
            }
            if can_listen(local) {
                return;
            }
            drop(stream);
        }
        panic!("no port could be taken");
    });
}

#[test]
fn a_listener_takes_the_port_of_a_connection_to_an_endpoint() {
    run(|| async {
        for _ in 0..TRIES {
            let (listener, address) = listen_anywhere().await;
            let upstream = Upstream::new(4, BUFFER);
            let body = Empty::new().map_err(|error: Infallible| anyhow::Error::from(error));
            let request = Request::get("/").body(Box::pin(body) as Body);
            let request = request.expect("a valid request");
            spawn_local(async move {
                let target = Target::Node(address);
                // There is no answer.
                let _ = upstream
                    .call(Time(0), &target, address, request, || true)
                    .await;
            });
            let (_other, local) = listener.accept().await.expect("accepted");
            if can_listen(local) {
                return;
            }
        }
        panic!("no port could be taken");
    });
}
