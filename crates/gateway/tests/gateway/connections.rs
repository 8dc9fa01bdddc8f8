//! Tests of the connections that others open to a node, and of which are closed.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use woadstage_dispatch::configuration;
use woadstage_dispatch::configuration::Configuration;
use woadstage_gateway::clock::Clock;
use woadstage_gateway::connections::Limits;
use woadstage_gateway::connections::Reason;
use woadstage_gateway::connections::Registry;
use woadstage_gateway::connections::State;
use woadstage_gateway::connections::listen;
use woadstage_gateway::connections::pace::Pace;
use woadstage_gateway::log;
use woadstage_gateway::operators;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support;
use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Worker;
use crate::support::answer;
use crate::support::run;

const NOW: Time = Time(1_000_000);

const LIMITS: Limits = Limits {
    open: 4,
    active: 3,
    stalled: 2,
    requests_ahead_per_s: 2,
};

/// Returns the reason for which a connection was closed, if it was.
fn closed(tracker: &woadstage_gateway::connections::Tracker) -> Option<Reason> {
    use futures_util::FutureExt;
    tracker.closed().now_or_never()
}

/// Guards against connections without a request that keep out those of callers.
#[rstest]
#[case::silent_before_heads([State::Silent, State::Head, State::Idle, State::Busy], Some(0))]
#[case::heads_before_requests([State::Busy, State::Head, State::Busy, State::Busy], Some(1))]
#[case::bodies_before_requests([State::Busy, State::Busy, State::Body, State::Busy], Some(2))]
#[case::longest_first([State::Idle, State::Head, State::Idle, State::Idle], Some(0))]
#[case::no_request_in_progress([State::Busy; 4], None)]
fn a_connection_gives_way_to_a_new_one(
    #[case] states: [State; 4],
    #[case] expected: Option<usize>,
) {
    let registry = Registry::new(Limits {
        active: 8,
        ..LIMITS
    });
    let trackers = states.map(|state| {
        let tracker = registry.try_open(NOW).expect("it is below the limit");
        tracker.set_state(NOW, state);
        tracker
    });
    assert_eq!(registry.try_open(NOW).is_some(), expected.is_some());
    let given_way = trackers
        .iter()
        .position(|tracker| closed(tracker).is_some());
    assert_eq!(given_way, expected);
}

/// Guards against callers whose kept connections are closed for those of a crowd.
#[test]
fn connections_of_served_callers_give_way_last() {
    let registry = Registry::new(LIMITS);
    let open = || registry.try_open(NOW).expect("it is below the limit");
    let served = open();
    served.set_state(NOW, State::Busy);
    served.set_served();
    served.set_state(NOW, State::Idle);
    let refused = [open(), open(), open()];
    for tracker in &refused {
        tracker.set_state(NOW, State::Busy);
        tracker.set_state(NOW, State::Idle);
    }
    assert_eq!(closed(&served), None);
    assert_eq!(closed(&refused[0]), Some(Reason::TooMany));
}

/// Guards against answers that are cut for a new connection, since their last bytes are yet to be written.
#[rstest]
#[case::handed_over(State::Idle)]
#[case::before_the_next_request(State::Head)]
fn a_connection_whose_answer_is_being_written_does_not_give_way(#[case] state: State) {
    let registry = Registry::new(Limits { open: 1, ..LIMITS });
    let tracker = registry.try_open(NOW).expect("it is below the limit");
    tracker.set_state(NOW, State::Busy);
    tracker.set_stalled(NOW, true);
    tracker.set_state(NOW, State::Idle);
    tracker.set_state(NOW, state);
    assert!(registry.try_open(NOW).is_none());
    registry.close_late(NOW + Span::from_secs(9), Span::from_secs(3));
    assert_eq!(closed(&tracker), None);
    let later = NOW + Span::from_secs(10);
    tracker.set_stalled(later, false);
    registry.close_late(later, Span::from_secs(3));
    assert_eq!(closed(&tracker), None);
    assert!(registry.try_open(later).is_some());
    assert_eq!(closed(&tracker), Some(Reason::TooMany));
}

/// Guards against peers that read nothing and fill buffers without a limit.
#[test]
fn of_too_many_stalled_connections_the_longest_is_closed() {
    let registry = Registry::new(LIMITS);
    let trackers = [(); 3].map(|()| registry.try_open(NOW).expect("it is below the limit"));
    for tracker in &trackers {
        tracker.set_state(NOW, State::Busy);
    }
    trackers[0].set_stalled(NOW, true);
    trackers[1].set_stalled(NOW, true);
    let later = NOW + Span::from_secs(1);
    trackers[0].set_stalled(later, false);
    trackers[0].set_stalled(later, true);
    trackers[2].set_stalled(later, true);
    let reasons = trackers.each_ref().map(closed);
    assert_eq!(reasons, [None, Some(Reason::TooManyStalled), None]);
    drop(trackers);
    assert_eq!(registry.open(), 0);
}

/// Guards against answers that are cut because a link is full for a moment.
#[test]
fn connections_that_stalled_just_now_are_kept() {
    let registry = Registry::new(LIMITS);
    let trackers = [(); 4].map(|()| registry.try_open(NOW).expect("it is below the limit"));
    for tracker in &trackers {
        tracker.set_state(NOW, State::Busy);
        tracker.set_stalled(NOW, true);
    }
    assert!(trackers.iter().all(|tracker| closed(tracker).is_none()));
    registry.close_late(NOW + Span::from_secs(1), Span::from_secs(3));
    let reasons = trackers.each_ref().map(closed);
    let cut = Some(Reason::TooManyStalled);
    assert_eq!(reasons, [cut, cut, None, None]);
}

/// Guards against heads that take as long as a connection may rest.
#[test]
fn late_heads_are_closed() {
    let registry = Registry::new(LIMITS);
    let trackers = [(); 2].map(|()| registry.try_open(NOW).expect("it is below the limit"));
    trackers[0].set_state(NOW, State::Head);
    registry.close_late(NOW + Span::from_secs(3), Span::from_secs(3));
    assert_eq!(closed(&trackers[0]), None);
    registry.close_late(NOW + Span::from_millis(3_001), Span::from_secs(3));
    assert_eq!(closed(&trackers[0]), Some(Reason::HeadTimeout));
    assert_eq!(closed(&trackers[1]), None);
}

/// Guards against requests sent ahead and tiny chunks that keep other callers waiting.
#[test]
fn work_beyond_the_pace_waits() {
    let pace = Pace::new(1_000, 2);
    let waits = [(); 4].map(|()| pace.record(NOW, 1));
    let ms = |millis| Some(Span::from_millis(millis));
    assert_eq!(waits, [None, None, ms(1), ms(2)]);
    assert_eq!(pace.record(NOW + Span::from_secs(1), 1), None);
    assert_eq!(pace.delayed(), 2);
}

/// Guards against a limit on requests ahead that meets callers who wait for their answers.
#[test]
fn only_requests_ahead_wait() {
    let registry = Registry::new(LIMITS);
    let tracker = registry.try_open(NOW).expect("it is below the limit");
    let mut begin = |is_ahead: bool| {
        if !is_ahead {
            tracker.set_state(NOW, State::Head);
        }
        let wait = tracker.begin_request(NOW);
        tracker.set_state(NOW, State::Busy);
        tracker.set_state(NOW, State::Idle);
        wait.is_some()
    };
    let waits = [false, true, true, true, false, false].map(&mut begin);
    assert_eq!(waits, [false, false, false, true, false, false]);
}

/// Guards against crowds that hold all connections, so that callers time out.
#[rstest]
#[case::silent("")]
#[case::in_a_head("GET /once/x HTTP/1.1\r\nx: ")]
#[case::in_a_body(
    "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer a-secret-key\r\ncontent-length: 9\r\n\r\n"
)]
fn callers_are_served_beside_a_crowd(#[case] begin: &'static str) {
    run(move || async move {
        let fine = Action::Answer(answer("200 OK", "fine"));
        let worker = Worker::start("e", vec![fine]).await;
        let gateway = Gateway::with_callers(&[&worker], LIMITS).await;
        let mut crowd = Vec::new();
        for _ in 0..20 {
            let mut stream = TcpStream::connect(gateway.address)
                .await
                .expect("it listens");
            stream.write_all(begin.as_bytes()).await.expect("it reads");
            crowd.push(stream);
        }
        let mut caller = Caller::connect(&gateway).await;
        for number in 0..3 {
            caller
                .request(&format!("id-{number}"), "/once/x", "body")
                .await;
            assert_eq!(caller.answer().await.status, 200);
        }
    });
}

/// Guards against silent connections that are kept for ever.
#[test]
fn a_silent_connection_ends_after_the_idle_timeout() {
    run(|| async {
        let configuration = Configuration {
            limits: configuration::Limits {
                idle_timeout: Span::from_millis(100),
                ..configuration::Limits::default()
            },
            ..support::configuration(None)
        };
        let options = log::Options::default();
        let gateway = Gateway::configured(&[], Some(configuration), options).await;
        let mut caller = Caller::connect(&gateway).await;
        let (text, _) = caller.read_to_end().await;
        assert_eq!(text, "");
    });
}

/// The most bytes of an answer that wait here and in the buffers of the sockets.
const MAX_WAITING_BYTES: usize = 64 << 10;

/// How long it takes until the log says that an answer was handed over.
const HAND_OVER_TIME: Duration = Duration::from_millis(150);

/// Connects with small buffers, sends a request and reads until its answer, of this length, has been
/// handed over. Its last bytes wait to be written then.
async fn read_until_handed_over(gateway: &Gateway, length: usize) -> (TcpStream, usize) {
    let socket = TcpSocket::new_v4().expect("a socket");
    listen::bound_buffers(&socket, Size::from_kib(4), Size::from_kib(4));
    let connected = socket.connect(gateway.address.into()).await;
    let mut stream = connected.expect("it listens");
    let head =
        "POST /once/x HTTP/1.1\r\nhost: host.example\r\nauthorization: Bearer a-secret-key\r\n";
    let request = format!("{head}woadstage-request: slow\r\ncontent-length: 0\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("it reads");
    gateway.wait_for_line(&["\"sent\"", "slow"]).await;
    let mut piece = vec![0; 2 << 10];
    let mut read = 0;
    while !gateway.lines.text().contains("\"answered\"") {
        read += stream.read(&mut piece).await.expect("it is open");
        if read > length - MAX_WAITING_BYTES {
            tokio::time::sleep(HAND_OVER_TIME).await;
        }
    }
    (stream, read)
}

/// Guards against answers that slow readers get in part, since others connect.
#[test]
fn an_answer_that_is_read_slowly_is_whole_beside_new_connections() {
    run(|| async {
        let text = "x".repeat(1 << 20);
        let script = vec![Action::Answer(answer("200 OK", &text)), Action::NoAnswer];
        let worker = Worker::start("e", script).await;
        let limits = Limits {
            active: 8,
            ..LIMITS
        };
        let gateway = Gateway::with_callers(&[&worker], limits).await;
        let (mut slow, mut total) = read_until_handed_over(&gateway, text.len()).await;
        assert!(total < text.len(), "a part waits");
        let mut others = Vec::new();
        for number in 0..3 {
            let mut other = Caller::connect(&gateway).await;
            let id = format!("other-{number}");
            other.request(&id, "/once/x", "").await;
            gateway.wait_for_line(&["\"accepted\"", &id]).await;
            others.push(other);
        }
        let mut refused = Caller::connect(&gateway).await;
        let mut rest = vec![0; 1 << 20];
        while total < text.len() {
            let more = slow.read(&mut rest).await.expect("it is open");
            assert!(more > 0, "the connection ended after {total} bytes");
            total += more;
        }
        assert!(refused.is_closed().await);
    });
}

/// The most bytes that may be written to a node that nobody reads from: far less than without a bound.
const MAX_UNREAD_BYTES: usize = 2 << 20;

/// Guards against requests ahead, whose answers are buffered without a limit while nobody reads them.
#[rstest]
#[case::ready("/ready")]
#[case::empty_answers("/none")]
fn requests_ahead_are_not_read_without_end(#[case] path: &'static str) {
    run(move || async move {
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let size = Size::from_kib(4);
        let listener = listen::listen(any_port, size, size).expect("a free port");
        let address = listener.local_addr().expect("it has an address");
        let registry = Registry::new(Limits::default());
        let page = |path: &str| match path {
            "/ready" => (StatusCode::OK, b"ready\n".to_vec()),
            _ => (StatusCode::NOT_FOUND, Vec::new()),
        };
        spawn_local(operators::serve(
            Rc::new(listener),
            Clock::start(),
            registry,
            page,
        ));
        let socket = TcpSocket::new_v4().expect("a socket");
        listen::bound_buffers(&socket, size, size);
        let mut ahead = socket.connect(address).await.expect("it listens");
        let requests = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").repeat(100);
        let mut written = 0;
        while let Ok(more) =
            tokio::time::timeout(Duration::from_millis(500), ahead.write(requests.as_bytes())).await
        {
            written += more.expect("the connection stays open");
            assert!(written <= MAX_UNREAD_BYTES, "{written}");
        }
        // The answers follow once they are read.
        let mut answers = vec![0; 1 << 20];
        let mut read = 0;
        while read < written / 2 {
            read += ahead.read(&mut answers).await.expect("answers");
        }
    });
}
