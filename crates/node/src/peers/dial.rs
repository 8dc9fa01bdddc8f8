//! Maintains the connection to one other node and sends it messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use quinn::Connection;
use quinn::Endpoint;
use quinn::SendStream;
use spdlog::info;
use tokio::sync::mpsc;
use tokio::sync::watch;
use woadstage_core::message::Message;
use woadstage_core::node::Event;
use woadstage_core::pool::Peer;
use woadstage_types::id;

use super::wire;
use crate::driver::Handle;
use crate::driver::Input;

const REDIAL_DELAY: Duration = Duration::from_millis(200);
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of messages written at once.
const MAX_BATCH: usize = 64;

/// The state of the connection to one node.
pub(super) struct Dial {
    pub(super) endpoint: Endpoint,
    pub(super) own: Peer,
    pub(super) host: id::Host,
    pub(super) address: SocketAddr,
    pub(super) messages: mpsc::Receiver<Message>,
    pub(super) connected: watch::Sender<Option<Connection>>,
    pub(super) wanted: Arc<AtomicBool>,
    pub(super) handle: Handle,
}

impl Dial {
    /// Connects, and reconnects after a failure, while the node is wanted.
    pub(super) async fn run(mut self) {
        while self.wanted.load(Ordering::Relaxed) {
            match self.open().await {
                Ok((connection, stream, peer)) => self.serve(connection, stream, peer).await,
                Err(_) => tokio::time::sleep(REDIAL_DELAY).await,
            }
        }
    }

    async fn open(&self) -> anyhow::Result<(Connection, SendStream, Peer)> {
        let connecting = self.endpoint.connect(self.address, self.host.as_str())?;
        let connection = connecting.await?;
        let mut stream = connection.open_uni().await?;
        let Peer { host, incarnation } = self.own.clone();
        let hello = wire::to_frame(&wire::Hello { host, incarnation })?;
        stream.write_all(&hello).await?;
        let peer = tokio::time::timeout(HELLO_TIMEOUT, read_hello(&connection)).await??;
        Ok((connection, stream, peer))
    }

    async fn serve(&mut self, connection: Connection, mut stream: SendStream, peer: Peer) {
        // Messages queued for an earlier connection are discarded.
        while self.messages.try_recv().is_ok() {}
        let host = self.host.to_string();
        info!("peers: Connected to a node.", kv: { host: });
        let _ = self.connected.send(Some(connection.clone()));
        self.handle.send(Input::Event(Event::PeerUp(peer)));
        tokio::select! {
            _ = connection.closed() => {}
            _ = send_all(&mut self.messages, &mut stream) => {}
        }
        connection.close(0u32.into(), b"");
        let _ = self.connected.send(None);
        self.handle
            .send(Input::Event(Event::PeerDown(self.host.clone())));
        let host = self.host.to_string();
        info!("peers: Disconnected from a node.", kv: { host: });
    }
}

async fn read_hello(connection: &Connection) -> anyhow::Result<Peer> {
    let mut stream = connection.accept_uni().await?;
    let hello: wire::Hello = wire::read(&mut stream)
        .await?
        .context("the stream ended before the hello frame")?;
    Ok(Peer {
        host: hello.host,
        incarnation: hello.incarnation,
    })
}

async fn send_all(
    messages: &mut mpsc::Receiver<Message>,
    stream: &mut SendStream,
) -> anyhow::Result<()> {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    let mut buffer = Vec::new();
    while messages.recv_many(&mut batch, MAX_BATCH).await > 0 {
        buffer.clear();
        for message in batch.drain(..) {
            wire::append(&mut buffer, &message)?;
        }
        stream.write_all(&buffer).await?;
    }
    Ok(())
}
