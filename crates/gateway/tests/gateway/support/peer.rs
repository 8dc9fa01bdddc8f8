//! Another node that is ahead, behind a link which its transfers share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::Instant;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::wire;
use woadstage_gateway::peers::transfer::frame;

/// Bytes that go over the link at once.
const CHUNK: usize = 2 << 10;

/// How long the link takes for one chunk, whoever it belongs to.
const CHUNK_TAKES: Duration = Duration::from_millis(10);

/// Time between two bytes of a configuration that does not end.
const BYTE_TAKES: Duration = Duration::from_millis(100);

/// Time between two statuses.
const STATUS_EVERY: Duration = Duration::from_millis(50);

/// The host of the peer, and that of the node under test.
const HOSTS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::LOCALHOST];

/// Another node that is ahead.
pub struct Peer {
    /// Where it is reached by datagram and by stream.
    pub address: SocketAddrV4,
    /// The address that the node under test is to have.
    pub other: SocketAddrV4,
    /// Transfers that were under way at once, at the most.
    pub most_at_once: Cell<usize>,
    /// The version of the configuration that the node last said it had.
    pub heard: Cell<u64>,
    /// The revision of the list of endpoints that it last said it had.
    pub heard_list: Cell<u64>,
    under_way: Cell<usize>,
    free_at: Cell<Instant>,
    /// Transfers of a configuration that have begun.
    pub configurations: Cell<usize>,
    /// True where a configuration comes byte by byte and does not end.
    pub is_endless: Cell<bool>,
    /// What it knows.
    pub dispatcher: RefCell<Dispatcher>,
}

impl Peer {
    /// Says from now on what `dispatcher` knows, and gives it to who asks.
    pub async fn start(dispatcher: Dispatcher) -> Rc<Peer> {
        let (socket, listener) = bind().await;
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        let peer = Rc::new(Peer {
            address,
            other: SocketAddrV4::new(HOSTS[1], address.port()),
            most_at_once: Cell::new(0),
            heard: Cell::new(0),
            heard_list: Cell::new(0),
            under_way: Cell::new(0),
            free_at: Cell::new(Instant::now()),
            configurations: Cell::new(0),
            is_endless: Cell::new(false),
            dispatcher: RefCell::new(dispatcher),
        });
        spawn_local(peer.clone().talk(socket));
        spawn_local(peer.clone().serve(listener));
        peer
    }

    async fn talk(self: Rc<Peer>, socket: UdpSocket) {
        let mut buffer = [0; 8 << 10];
        for sequence in 1.. {
            let known = self.dispatcher.borrow().versions();
            let status = Status {
                incarnation: 1,
                sequence,
                configuration: known.configuration,
                endpoints: known.endpoints,
                ..Status::default()
            };
            let bytes = wire::to_datagram(&Message::Status(Box::new(status)));
            let bytes = bytes.expect("it can be written");
            // Nobody listens there before the node has started.
            let _ = socket.send_to(&bytes, self.other).await;
            let until = Instant::now() + STATUS_EVERY;
            while let Ok(Ok((length, _))) =
                tokio::time::timeout_at(until, socket.recv_from(&mut buffer)).await
            {
                if let Some(Message::Status(status)) = wire::try_from_datagram(&buffer[..length]) {
                    self.heard.set(status.configuration);
                    self.heard_list.set(status.endpoints.revision);
                }
            }
        }
    }

    async fn serve(self: Rc<Peer>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let peer = self.clone();
            spawn_local(async move {
                peer.under_way.set(peer.under_way.get() + 1);
                let most = peer.most_at_once.get().max(peer.under_way.get());
                peer.most_at_once.set(most);
                // The other end breaks off where it has waited enough.
                let _ = peer.give(stream).await;
                peer.under_way.set(peer.under_way.get() - 1);
            });
        }
    }

    async fn give(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let mut reader = frame::Reader::new(&mut stream);
        let pull = reader.next(wire::pull_from_bytes).await?;
        let snapshot = self
            .dispatcher
            .borrow()
            .snapshot(&pull.expect("a question"));
        let long = snapshot.manifest.is_some();
        self.configurations
            .set(self.configurations.get() + usize::from(long));
        let mut bytes = Vec::new();
        frame::begin(&mut bytes);
        for frame in snapshot.into_frames() {
            frame::add(&mut bytes, &wire::frame_to_bytes(&frame)?)?;
        }
        if long && self.is_endless.get() {
            for byte in &bytes {
                tokio::time::sleep(BYTE_TAKES).await;
                stream.write_all(&[*byte]).await?;
            }
        }
        for chunk in bytes.chunks(CHUNK) {
            let free_at = self.free_at.get().max(Instant::now()) + CHUNK_TAKES;
            self.free_at.set(free_at);
            tokio::time::sleep_until(free_at).await;
            stream.write_all(chunk).await?;
        }
        Ok(stream.shutdown().await?)
    }
}

/// One port that is free for datagrams and streams on both hosts.
async fn bind() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind((HOSTS[0], 0)).await.expect("a port");
        let port = socket.local_addr().expect("an address").port();
        let Ok(listener) = TcpListener::bind((HOSTS[0], port)).await else {
            continue;
        };
        let udp = UdpSocket::bind((HOSTS[1], port)).await;
        let tcp = TcpListener::bind((HOSTS[1], port)).await;
        if udp.is_ok() && tcp.is_ok() {
            return (socket, listener);
        }
    }
}
