//! A simulated node with newer documents, behind a slow link that its transfers share.

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

/// The number of bytes that the link carries at a time.
const CHUNK_BYTES: usize = 2 << 10;

/// How long the link takes for a chunk of any transfer.
const CHUNK_DURATION: Duration = Duration::from_millis(10);

/// The interval of bytes while [`Peer::is_stalling`] is set.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval of statuses.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// The hosts of the peer and of the node under test.
const HOSTS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::LOCALHOST];

/// A node with newer documents than the node under test.
pub struct Peer {
    /// The address at which it is reached over UDP and TCP.
    pub address: SocketAddrV4,
    /// The address that the node under test must use.
    pub node_address: SocketAddrV4,
    /// The maximum number of transfers in progress at once so far.
    pub max_in_progress: Cell<usize>,
    /// The configuration version in the last status of the node under test.
    pub reported_version: Cell<u64>,
    /// The revision of the endpoint list in that status.
    pub reported_revision: Cell<u64>,
    in_progress: Cell<usize>,
    link_free_at: Cell<Instant>,
    /// The number of configuration transfers that were started.
    pub configuration_transfers: Cell<usize>,
    /// Whether configurations are sent byte by byte, too slowly to complete within the time limit of
    /// a transfer.
    pub is_stalling: Cell<bool>,
    /// The documents that it has.
    pub dispatcher: RefCell<Dispatcher>,
}

impl Peer {
    /// Starts a node that announces the documents of `dispatcher` and serves them.
    pub async fn start(dispatcher: Dispatcher) -> Rc<Peer> {
        let (socket, listener) = bind().await;
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!("bound to IPv4");
        };
        let peer = Rc::new(Peer {
            address,
            node_address: SocketAddrV4::new(HOSTS[1], address.port()),
            max_in_progress: Cell::new(0),
            reported_version: Cell::new(0),
            reported_revision: Cell::new(0),
            in_progress: Cell::new(0),
            link_free_at: Cell::new(Instant::now()),
            configuration_transfers: Cell::new(0),
            is_stalling: Cell::new(false),
            dispatcher: RefCell::new(dispatcher),
        });
        spawn_local(peer.clone().exchange_statuses(socket));
        spawn_local(peer.clone().serve(listener));
        peer
    }

    async fn exchange_statuses(self: Rc<Peer>, socket: UdpSocket) {
        let mut buffer = [0; 8 << 10];
        for sequence in 1.. {
            let versions = self.dispatcher.borrow().versions();
            let status = Status {
                incarnation: 1,
                sequence,
                configuration: versions.configuration,
                endpoints: versions.endpoints,
                ..Status::default()
            };
            let bytes = wire::to_datagram(&Message::Status(Box::new(status)));
            let bytes = bytes.expect("it can be written");
            // Sending fails until the node under test has started.
            let _ = socket.send_to(&bytes, self.node_address).await;
            let until = Instant::now() + STATUS_INTERVAL;
            while let Ok(Ok((length, _))) =
                tokio::time::timeout_at(until, socket.recv_from(&mut buffer)).await
            {
                if let Some(Message::Status(status)) = wire::try_from_datagram(&buffer[..length]) {
                    self.reported_version.set(status.configuration);
                    self.reported_revision.set(status.endpoints.revision);
                }
            }
        }
    }

    async fn serve(self: Rc<Peer>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let peer = self.clone();
            spawn_local(async move {
                peer.in_progress.set(peer.in_progress.get() + 1);
                let max_in_progress = peer.max_in_progress.get().max(peer.in_progress.get());
                peer.max_in_progress.set(max_in_progress);
                // The node under test aborts transfers that take too long.
                let _ = peer.send_documents(stream).await;
                peer.in_progress.set(peer.in_progress.get() - 1);
            });
        }
    }

    async fn send_documents(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let mut reader = frame::Reader::new(&mut stream);
        let pull = reader.next(wire::pull_from_bytes).await?;
        let snapshot = self.dispatcher.borrow().snapshot(&pull.expect("a request"));
        let has_configuration = snapshot.manifest.is_some();
        self.configuration_transfers
            .set(self.configuration_transfers.get() + usize::from(has_configuration));
        let mut bytes = Vec::new();
        frame::put_layout(&mut bytes);
        for frame in snapshot.into_frames() {
            frame::put_message(&mut bytes, &wire::frame_to_bytes(&frame)?)?;
        }
        if has_configuration && self.is_stalling.get() {
            for byte in &bytes {
                tokio::time::sleep(BYTE_INTERVAL).await;
                stream.write_all(&[*byte]).await?;
            }
        }
        for chunk in bytes.chunks(CHUNK_BYTES) {
            let link_free_at = self.link_free_at.get().max(Instant::now()) + CHUNK_DURATION;
            self.link_free_at.set(link_free_at);
            tokio::time::sleep_until(link_free_at).await;
            stream.write_all(chunk).await?;
        }
        Ok(stream.shutdown().await?)
    }
}

/// Binds sockets to a port that is free for UDP and TCP on both hosts.
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
