//! QUIC between nodes. Each node dials every other one and uses that connection
//! to send messages and forward requests.
//!
//! Every frame begins with the protocol version. A frame of another version
//! closes the connection: the two nodes then work without each other, as in a
//! network partition, until the roll-out is complete.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use woadstage_core::message::Message;
use woadstage_core::node::Event;
use woadstage_core::pool::Peer;
use woadstage_types::id;

use crate::driver::Handle;
use crate::driver::Input;

mod accept;
mod dial;
mod forward;
pub mod tls;
pub mod wire;

pub use accept::Accept;
pub use forward::Forward;
pub use forward::forward;

/// The maximum number of messages queued for one node. If the queue overflows,
/// the connection is treated as lost: it is closed and opened again.
const QUEUE_CAPACITY: usize = 8_192;

/// The connection to one other node.
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
    connection: watch::Receiver<Option<Connection>>,
    /// False once the host list no longer names the node, after which a lost
    /// connection is not reopened.
    wanted: Arc<AtomicBool>,
    task: AbortHandle,
}

/// The connections to all other nodes.
pub struct Peers {
    endpoint: Endpoint,
    own: Peer,
    handle: Handle,
    links: HashMap<id::Host, Link>,
}

impl Peers {
    /// Creates the set without any connections.
    pub fn new(endpoint: Endpoint, own: Peer, handle: Handle) -> Peers {
        Peers {
            endpoint,
            own,
            handle,
            links: HashMap::new(),
        }
    }

    /// Returns the name of this node's host.
    pub fn own_host(&self) -> &id::Host {
        &self.own.host
    }

    /// Queues a message if the node is connected; otherwise drops it.
    pub fn send(&mut self, to: &id::Host, message: Message) {
        let Some(link) = self.links.get(to) else {
            return;
        };
        if link.connection.borrow().is_none() {
            return;
        }
        if link.queue.try_send(message).is_err()
            && let Some(connection) = link.connection.borrow().as_ref()
        {
            connection.close(wire::CLOSE_QUEUE_FULL.into(), b"queue full");
        }
    }

    /// Returns the connection to a node, if connected.
    pub fn connection_opt(&self, to: &id::Host) -> Option<Connection> {
        self.links.get(to)?.connection.borrow().clone()
    }

    /// Returns the UDP payload bytes sent and received on the open connections
    /// that this node dialled, each counted from its start.
    pub fn bytes(&self) -> (u64, u64) {
        let connections = self
            .links
            .values()
            .filter_map(|link| link.connection.borrow().clone());
        connections.fold((0, 0), |(sent, received), connection| {
            let stats = connection.stats();
            (sent + stats.udp_tx.bytes, received + stats.udp_rx.bytes)
        })
    }

    /// Connects to the listed nodes and lets the connections to all others end.
    pub fn set_wanted(&mut self, wanted: &[(id::Host, SocketAddr)]) {
        for (name, link) in &self.links {
            let listed = wanted.iter().any(|(other, _)| other == name);
            link.wanted.store(listed, Ordering::Relaxed);
        }
        for (name, address) in wanted {
            if *name == self.own.host {
                continue;
            }
            match self.links.get(name) {
                Some(link) if link.address == *address && !link.task.is_finished() => {}
                _ => self.link(name, *address),
            }
        }
        self.links.retain(|_, link| !link.task.is_finished());
    }

    fn link(&mut self, name: &id::Host, address: SocketAddr) {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let (connected, connection) = watch::channel(None);
        let wanted = Arc::new(AtomicBool::new(true));
        let dial = dial::Dial {
            endpoint: self.endpoint.clone(),
            own: self.own.clone(),
            host: name.clone(),
            address,
            messages,
            connected,
            wanted: wanted.clone(),
            handle: self.handle.clone(),
        };
        let task = tokio::spawn(dial.run()).abort_handle();
        if let Some(old) = self.links.insert(
            name.clone(),
            Link {
                address,
                queue,
                connection,
                wanted,
                task,
            },
        ) {
            old.task.abort();
            self.handle
                .send(Input::Event(Event::PeerDown(name.clone())));
        }
    }
}
