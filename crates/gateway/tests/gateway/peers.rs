//! Tests of the communication between nodes, over real sockets.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use woadstage_dispatch::configuration::Rank;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::endpoint;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Prompt;
use woadstage_dispatch::lease;
use woadstage_dispatch::lease::Answer;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::message::Load;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Release;
use woadstage_dispatch::message::Reserve;
use woadstage_dispatch::message::Reserved;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::message::Unavailability;
use woadstage_dispatch::message::Usage;
use woadstage_dispatch::message::Verdict;
use woadstage_dispatch::wire;
use woadstage_gateway::log;
use woadstage_gateway::peers;
use woadstage_gateway::peers::transfer::Outcome;
use woadstage_gateway::peers::transfer::frame;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::Action;
use crate::support::Gateway;
use crate::support::SERVICE;
use crate::support::Worker;
use crate::support::configuration;
use crate::support::dispatcher_options;
use crate::support::run;
use crate::support::to_endpoint;

fn to_message(status: Status) -> Message {
    Message::Status(Box::new(status))
}

/// Returns a listener for transfers, and its address.
async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        unreachable!("bound to IPv4");
    };
    (listener, address)
}

#[test]
fn a_status_is_decoded_as_it_was_encoded() {
    let status = Status {
        incarnation: 7,
        sequence: 9,
        ..Status::default()
    };
    let message = to_message(status);
    let bytes = wire::to_datagram(&message).expect("the message is encoded");
    assert_eq!(wire::try_from_datagram(&bytes), Some(message));
}

#[test]
fn another_version_or_invalid_bytes_are_not_decoded() {
    let message = to_message(Status::default());
    let mut bytes = wire::to_datagram(&message).expect("the message is encoded");
    bytes[0] += 1;
    assert_eq!(wire::try_from_datagram(&bytes), None);
    assert_eq!(wire::try_from_datagram(&[]), None);
    assert_eq!(wire::try_from_datagram(&[1, 255, 255, 255]), None);
}

#[test]
fn the_largest_status_fits_a_packet() {
    let load = Load {
        endpoint: u32::MAX,
        running: 500,
        pending_tokens: 200_000,
        unavailability: Some(Unavailability::Failing),
    };
    let usage = Usage {
        customer: u64::MAX,
        units: 1 << 40,
    };
    let status = Status {
        incarnation: u64::MAX,
        sequence: 1 << 30,
        loads: vec![load; 64],
        usage: vec![usage; 20],
        members: vec!["10.1.2.3:7600".parse().expect("an address"); 16],
        ..Status::default()
    };
    let bytes = wire::to_datagram(&to_message(status)).expect("the message is encoded");
    assert!(bytes.len() <= 1_400, "{}", bytes.len());
}

#[test]
fn a_node_can_fetch_what_another_has_read() {
    run(|| async {
        let worker = Worker::start("e", vec![Action::NoAnswer]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let (listener, address) = listen().await;
        tokio::task::spawn_local(peers::transfer::serve(
            gateway.shell.clone(),
            Rc::new(listener),
        ));
        let other = Gateway::unconfigured(log::Options::default()).await;
        let versions =
            |gateway: &Gateway| gateway.shell.query(|dispatcher, _| dispatcher.versions());
        assert_ne!(versions(&other), versions(&gateway));
        for document in [Document::Endpoints, Document::Configuration] {
            let outcome = peers::transfer::fetch(&other.shell, address, document).await;
            assert_eq!(outcome.expect("the transfer succeeds"), Outcome::Complete);
        }
        assert_eq!(versions(&other), versions(&gateway));
        other.wait_for_line(&["\"transfer\"", "\"taken\""]).await;
        gateway.wait_for_line(&["\"transfer\"", "\"given\""]).await;
    });
}

#[test]
fn a_node_serves_a_few_at_once_and_declines_others() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let (listener, address) = listen().await;
        tokio::task::spawn_local(peers::transfer::serve(
            gateway.shell.clone(),
            Rc::new(listener),
        ));
        // These clients connect and request nothing.
        let mut stalled = Vec::new();
        for _ in 0..3 {
            stalled.push(
                TcpStream::connect(address)
                    .await
                    .expect("the node accepts connections"),
            );
        }
        let other = Gateway::unconfigured(log::Options::default()).await;
        let fetch = |document| peers::transfer::fetch(&other.shell, address, document);
        let outcome = fetch(Document::Configuration).await;
        assert_eq!(outcome.expect("the transfer succeeds"), Outcome::Declined);
        assert_eq!(other.shell.query(|one, _| one.edition().revision), 0);
        let outcome = fetch(Document::Endpoints).await;
        assert_eq!(outcome.expect("the transfer succeeds"), Outcome::Complete);
        assert_eq!(other.shell.query(|one, _| one.edition().revision), 1);
        drop(stalled);
        gateway
            .wait_for_line(&["\"given\"", "\"whole\":false"])
            .await;
        let outcome = fetch(Document::Configuration).await;
        assert_eq!(outcome.expect("the transfer succeeds"), Outcome::Complete);
    });
}

/// Serves a configuration slowly, with a pause after each frame, until the client disconnects.
async fn serve_slowly(listener: TcpListener, from: Dispatcher) -> anyhow::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    let mut reader = frame::Reader::new(&mut stream);
    let pull = reader.next(wire::pull_from_bytes).await?;
    let snapshot = from.snapshot(&pull.expect("a request"));
    let mut bytes = Vec::new();
    frame::put_layout(&mut bytes);
    for frame in snapshot.into_frames() {
        frame::put_message(&mut bytes, &wire::frame_to_bytes(&frame)?)?;
        frame::write(&mut stream, &bytes).await?;
        bytes.clear();
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    Ok(())
}

#[test]
fn a_transfer_that_is_too_slow_is_aborted_and_received_parts_are_kept() {
    run(|| async {
        let (listener, address) = listen().await;
        let mut newer = Dispatcher::new(dispatcher_options());
        newer.set_configuration(Time(0), Arc::new(configuration(None)));
        let status = Status {
            configuration: newer.configuration_version(),
            incarnation: 5,
            sequence: 1,
            ..Status::default()
        };
        tokio::task::spawn_local(serve_slowly(listener, newer));
        let gateway = Gateway::unconfigured(log::Options::default()).await;
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.receive_status(now, address, status));
        let outcome =
            peers::transfer::fetch(&gateway.shell, address, Document::Configuration).await;
        assert!(outcome.is_err());
        let pull = gateway
            .shell
            .query(|dispatcher, _| dispatcher.pull(address));
        assert_eq!(pull.known.configuration, 0);
        assert!(!pull.held.is_empty());
    });
}

#[test]
fn nodes_exchange_statuses() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let bind = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0));
        let socket = Rc::new(bind().await.expect("a free port"));
        let other = bind().await.expect("a free port");
        tokio::task::spawn_local(peers::listen(gateway.shell.clone(), socket.clone()));
        let status = Status {
            incarnation: 5,
            sequence: 1,
            ..Status::default()
        };
        let bytes = wire::to_datagram(&to_message(status)).expect("the message is encoded");
        let to = socket.local_addr().expect("an address");
        other
            .send_to(&bytes, to)
            .await
            .expect("the datagram is sent");
        let from = other.local_addr().expect("an address").to_string();
        gateway.wait_for_line(&["\"dependency\"", &from]).await;
        assert_eq!(
            gateway
                .shell
                .query(|dispatcher, now| dispatcher.reach(now))
                .nodes,
            2
        );
        peers::send_statuses(&gateway.shell, &socket);
        let mut buffer = vec![0; 2_048];
        let (length, _) = other.recv_from(&mut buffer).await.expect("a status");
        assert!(wire::try_from_datagram(&buffer[..length]).is_some());
    });
}

fn reserve(number: u64) -> Reserve {
    Reserve {
        number,
        customer: 7,
        units: 30,
        relative_priority: 0,
        backlogged: false,
    }
}

/// Returns the socket of another node, and its address.
async fn other_node() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let socket = socket.expect("a free port");
    let Ok(SocketAddr::V4(address)) = socket.local_addr() else {
        unreachable!("bound to IPv4");
    };
    (socket, address)
}

async fn receive(socket: &UdpSocket) -> (Message, SocketAddr) {
    let mut buffer = vec![0; 2_048];
    let (length, from) = socket.recv_from(&mut buffer).await.expect("a message");
    let message = wire::try_from_datagram(&buffer[..length]);
    (message.expect("a valid datagram"), from)
}

/// Starts a gateway with a socket for messages to other nodes.
async fn gateway_with_socket() -> Gateway {
    let gateway = Gateway::start(&[]).await;
    let (socket, _) = other_node().await;
    let socket = Rc::new(socket);
    // `try_send_to` fails until the runtime has seen that the socket is writable.
    socket.writable().await.expect("a socket");
    gateway.shell.peers.set_socket(socket.clone());
    tokio::task::spawn_local(peers::listen(gateway.shell.clone(), socket));
    gateway
}

#[test]
fn a_reservation_returns_the_verdict_of_the_owner() {
    run(|| async {
        let gateway = gateway_with_socket().await;
        let (owner, address) = other_node().await;
        let owner_task = async {
            let (message, from) = receive(&owner).await;
            assert_eq!(message, Message::Reserve(reserve(3)));
            // A reply to another reservation arrives first.
            for number in [9, 3] {
                let answer = Message::Reserved(Reserved {
                    number,
                    verdict: Verdict::Granted,
                });
                let bytes = wire::to_datagram(&answer).expect("the message is encoded");
                owner
                    .send_to(&bytes, from)
                    .await
                    .expect("the datagram is sent");
            }
        };
        let shell = &gateway.shell;
        let exchange = shell
            .reservations
            .request(&shell.peers, address, reserve(3));
        let (verdict, ()) = tokio::join!(exchange, owner_task);
        assert_eq!(verdict, Some(Verdict::Granted));
        assert!(gateway.shell.reservations.is_empty());
    });
}

#[test]
fn a_reservation_times_out_without_a_reply_and_does_not_stay_pending() {
    run(|| async {
        let gateway = gateway_with_socket().await;
        let (_silent, address) = other_node().await;
        let shell = &gateway.shell;
        let verdict = shell
            .reservations
            .request(&shell.peers, address, reserve(3))
            .await;
        assert_eq!(verdict, None);
        assert!(gateway.shell.reservations.is_empty());
    });
}

#[test]
fn a_node_answers_reservations_from_unknown_nodes() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let (socket, address) = other_node().await;
        let socket = Rc::new(socket);
        gateway.shell.peers.set_socket(socket.clone());
        tokio::task::spawn_local(peers::listen(gateway.shell.clone(), socket));
        let (requester, _) = other_node().await;
        let datagram = wire::to_datagram(&Message::Reserve(reserve(5)));
        let datagram = datagram.expect("the message is encoded");
        requester
            .send_to(&datagram, address)
            .await
            .expect("the datagram is sent");
        let unknown = Message::Reserved(Reserved {
            number: 5,
            verdict: Verdict::Unknown,
        });
        assert_eq!(receive(&requester).await.0, unknown);
    });
}

#[test]
fn a_release_is_sent_to_the_owner() {
    run(|| async {
        let gateway = gateway_with_socket().await;
        let (owner, address) = other_node().await;
        let release = Release {
            customer: 7,
            units: 30,
        };
        gateway
            .shell
            .peers
            .send(address, &Message::Release(release));
        assert_eq!(receive(&owner).await.0, Message::Release(release));
    });
}

#[test]
fn a_slot_is_granted_to_the_node_that_requests_it() {
    run(|| async {
        let worker = Worker::start("e", vec![]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let (socket, address) = other_node().await;
        let socket = Rc::new(socket);
        socket.writable().await.expect("a socket");
        gateway.shell.peers.set_socket(socket.clone());
        tokio::task::spawn_local(peers::listen(gateway.shell.clone(), socket));
        let request = lease::Request {
            incarnation: 2,
            number: 11,
            fingerprint: Fingerprint(11),
            service: endpoint::number_of(SERVICE),
            endpoint: None,
            spare: false,
            rank: Rank {
                priority: 0,
                urgency: 0,
            },
            age: Span::ZERO,
            time_limit: Span::from_secs(5),
            objective: Span::from_secs(1),
            caller_timeout: Span::from_secs(5),
            pause: None,
            since_first_try: Span::ZERO,
            prompt: Prompt::default(),
            tried: Vec::new(),
            avoided: Vec::new(),
            details: lease::Details::default(),
            software: None,
        };
        let (requester, _) = other_node().await;
        let datagram = wire::to_datagram(&Message::Lease(Box::new(request)));
        let datagram = datagram.expect("the message is encoded");
        requester
            .send_to(&datagram, address)
            .await
            .expect("the datagram is sent");
        let Message::Leased(reply) = receive(&requester).await.0 else {
            panic!("expected a reply to the lease request");
        };
        let number = to_endpoint(&worker).to_number();
        assert_eq!(reply.number, 11);
        assert!(matches!(reply.answer, Answer::Granted { endpoint, .. } if endpoint == number));
    });
}
