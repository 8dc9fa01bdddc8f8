//! What nodes send each other, on the wire.

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
use woadstage_gateway::peers::transfer::Ended;
use woadstage_gateway::peers::transfer::frame;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::Act;
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

/// A port for transfers.
async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        unreachable!("bound to IPv4");
    };
    (listener, address)
}

#[test]
fn a_status_comes_back_as_it_went() {
    let status = Status {
        incarnation: 7,
        sequence: 9,
        ..Status::default()
    };
    let message = to_message(status);
    let bytes = wire::to_datagram(&message).expect("it can be written");
    assert_eq!(wire::try_from_datagram(&bytes), Some(message));
}

#[test]
fn another_version_or_nonsense_is_not_read() {
    let message = to_message(Status::default());
    let mut bytes = wire::to_datagram(&message).expect("it can be written");
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
    let bytes = wire::to_datagram(&to_message(status)).expect("it can be written");
    assert!(bytes.len() <= 1_400, "{}", bytes.len());
}

#[test]
fn what_one_node_has_read_another_can_take() {
    run(|| async {
        let worker = Worker::start("e", vec![Act::Silence]).await;
        let gateway = Gateway::start(&[&worker]).await;
        let (listener, address) = listen().await;
        tokio::task::spawn_local(peers::transfer::serve(gateway.shell.clone(), listener));
        let other = Gateway::empty(log::Options::default()).await;
        let known = |gateway: &Gateway| gateway.shell.query(|dispatcher, _| dispatcher.versions());
        assert_ne!(known(&other), known(&gateway));
        for document in [Document::Endpoints, Document::Configuration] {
            let ended = peers::transfer::take(&other.shell, address, document).await;
            assert_eq!(ended.expect("it is given"), Ended::Whole);
        }
        assert_eq!(known(&other), known(&gateway));
        other.logged(&["\"transfer\"", "\"taken\""]).await;
        gateway.logged(&["\"transfer\"", "\"given\""]).await;
    });
}

#[test]
fn a_node_gives_to_a_few_at_once_and_declines_others() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let (listener, address) = listen().await;
        tokio::task::spawn_local(peers::transfer::serve(gateway.shell.clone(), listener));
        // They connect and ask for nothing.
        let mut stalled = Vec::new();
        for _ in 0..3 {
            stalled.push(TcpStream::connect(address).await.expect("it listens"));
        }
        let other = Gateway::empty(log::Options::default()).await;
        let take = |document| peers::transfer::take(&other.shell, address, document);
        let ended = take(Document::Configuration).await;
        assert_eq!(ended.expect("an answer"), Ended::Declined);
        assert_eq!(other.shell.query(|one, _| one.edition().revision), 0);
        let ended = take(Document::Endpoints).await;
        assert_eq!(ended.expect("an answer"), Ended::Whole);
        assert_eq!(other.shell.query(|one, _| one.edition().revision), 1);
        drop(stalled);
        gateway.logged(&["\"given\"", "\"whole\":false"]).await;
        let ended = take(Document::Configuration).await;
        assert_eq!(ended.expect("an answer"), Ended::Whole);
    });
}

/// Gives a part of a configuration every so often, for as long as it is let.
async fn trickle(listener: TcpListener, from: Dispatcher) -> anyhow::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    let mut reader = frame::Reader::new(&mut stream);
    let pull = reader.next(wire::pull_from_bytes).await?;
    let snapshot = from.snapshot(&pull.expect("a question"));
    let mut bytes = Vec::new();
    frame::begin(&mut bytes);
    for frame in snapshot.into_frames() {
        frame::add(&mut bytes, &wire::frame_to_bytes(&frame)?)?;
        frame::write(&mut stream, &bytes).await?;
        bytes.clear();
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    Ok(())
}

#[test]
fn a_transfer_without_end_is_left_and_what_came_is_kept() {
    run(|| async {
        let (listener, address) = listen().await;
        let mut ahead = Dispatcher::new(dispatcher_options());
        ahead.set_configuration(Time(0), Arc::new(configuration(None)));
        let status = Status {
            configuration: ahead.configuration_version(),
            incarnation: 5,
            sequence: 1,
            ..Status::default()
        };
        tokio::task::spawn_local(trickle(listener, ahead));
        let gateway = Gateway::empty(log::Options::default()).await;
        gateway
            .shell
            .command(|dispatcher, now| dispatcher.receive_status(now, address, status));
        let ended = peers::transfer::take(&gateway.shell, address, Document::Configuration).await;
        assert!(ended.is_err());
        let pull = gateway
            .shell
            .query(|dispatcher, _| dispatcher.pull(address));
        assert_eq!(pull.known.configuration, 0);
        assert!(!pull.held.is_empty());
    });
}

#[test]
fn nodes_hear_each_other() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let bind = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0));
        let socket = Rc::new(bind().await.expect("a port"));
        let other = bind().await.expect("a port");
        tokio::task::spawn_local(peers::listen(gateway.shell.clone(), socket.clone()));
        let status = Status {
            incarnation: 5,
            sequence: 1,
            ..Status::default()
        };
        let bytes = wire::to_datagram(&to_message(status)).expect("it can be written");
        let to = socket.local_addr().expect("an address");
        other.send_to(&bytes, to).await.expect("it can be sent");
        let from = other.local_addr().expect("an address").to_string();
        gateway.logged(&["\"dependency\"", &from]).await;
        assert_eq!(
            gateway
                .shell
                .query(|dispatcher, now| dispatcher.reach(now))
                .nodes,
            2
        );
        peers::tell(&gateway.shell, &socket);
        let mut buffer = vec![0; 2_048];
        let (length, _) = other.recv_from(&mut buffer).await.expect("a status");
        assert!(wire::try_from_datagram(&buffer[..length]).is_some());
    });
}

fn question(number: u64) -> Reserve {
    Reserve {
        number,
        customer: 7,
        units: 30,
        relative_priority: 0,
        backlogged: false,
    }
}

/// A socket of another node, and its address.
async fn other_node() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let socket = socket.expect("a port");
    let Ok(SocketAddr::V4(address)) = socket.local_addr() else {
        unreachable!("bound to IPv4");
    };
    (socket, address)
}

async fn read(socket: &UdpSocket) -> (Message, SocketAddr) {
    let mut buffer = vec![0; 2_048];
    let (length, from) = socket.recv_from(&mut buffer).await.expect("a message");
    let message = wire::try_from_datagram(&buffer[..length]);
    (message.expect("of this version"), from)
}

/// A gateway whose questions go out through a socket of its own.
async fn asking_gateway() -> Gateway {
    let gateway = Gateway::start(&[]).await;
    let (socket, _) = other_node().await;
    let socket = Rc::new(socket);
    // Until then the runtime does not know that it can be written to.
    socket.writable().await.expect("a socket");
    gateway.shell.peers.set_socket(socket.clone());
    tokio::task::spawn_local(peers::listen(gateway.shell.clone(), socket));
    gateway
}

#[test]
fn an_owner_is_asked_and_its_answer_reaches_the_one_who_waits() {
    run(|| async {
        let gateway = asking_gateway().await;
        let (owner, address) = other_node().await;
        let answering = async {
            let (asked, from) = read(&owner).await;
            assert_eq!(asked, Message::Reserve(question(3)));
            // An answer to another question comes first.
            for number in [9, 3] {
                let answer = Message::Reserved(Reserved {
                    number,
                    verdict: Verdict::Granted,
                });
                let bytes = wire::to_datagram(&answer).expect("it can be written");
                owner.send_to(&bytes, from).await.expect("it can be sent");
            }
        };
        let shell = &gateway.shell;
        let asking = shell.reservations.ask(&shell.peers, address, question(3));
        let (verdict, ()) = tokio::join!(asking, answering);
        assert_eq!(verdict, Some(Verdict::Granted));
        assert!(gateway.shell.reservations.is_empty());
    });
}

#[test]
fn an_owner_that_does_not_answer_is_given_up_and_nothing_stays_open() {
    run(|| async {
        let gateway = asking_gateway().await;
        let (_silent, address) = other_node().await;
        let shell = &gateway.shell;
        let verdict = shell
            .reservations
            .ask(&shell.peers, address, question(3))
            .await;
        assert_eq!(verdict, None);
        assert!(gateway.shell.reservations.is_empty());
    });
}

#[test]
fn a_node_that_is_asked_answers_whoever_asks() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let (socket, address) = other_node().await;
        let socket = Rc::new(socket);
        gateway.shell.peers.set_socket(socket.clone());
        tokio::task::spawn_local(peers::listen(gateway.shell.clone(), socket));
        let (asker, _) = other_node().await;
        let ask = wire::to_datagram(&Message::Reserve(question(5)));
        let ask = ask.expect("it can be written");
        asker.send_to(&ask, address).await.expect("it can be sent");
        let unknown = Message::Reserved(Reserved {
            number: 5,
            verdict: Verdict::Unknown,
        });
        assert_eq!(read(&asker).await.0, unknown);
    });
}

#[test]
fn what_was_not_used_is_told_to_the_owner() {
    run(|| async {
        let gateway = asking_gateway().await;
        let (owner, address) = other_node().await;
        let release = Release {
            customer: 7,
            units: 30,
        };
        gateway
            .shell
            .peers
            .send(address, &Message::Release(release));
        assert_eq!(read(&owner).await.0, Message::Release(release));
    });
}

#[test]
fn a_slot_is_given_to_the_node_that_asks() {
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
        };
        let (asker, _) = other_node().await;
        let ask = wire::to_datagram(&Message::Lease(Box::new(request)));
        let ask = ask.expect("it can be written");
        asker.send_to(&ask, address).await.expect("it can be sent");
        let Message::Leased(reply) = read(&asker).await.0 else {
            panic!("an answer is expected");
        };
        let number = to_endpoint(&worker).to_number();
        assert_eq!(reply.number, 11);
        assert!(matches!(reply.answer, Answer::Granted { endpoint, .. } if endpoint == number));
    });
}
