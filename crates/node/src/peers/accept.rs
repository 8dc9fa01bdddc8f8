//! Accepts connections from other nodes.

use anyhow::Context;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use spdlog::warn;
use tokio::sync::watch;
use woadstage_core::message::Message;
use woadstage_core::node::Event;
use woadstage_core::pool::Peer;

use super::forward;
use super::wire;
use crate::driver::Handle;
use crate::driver::Input;

/// Accepts connections from other nodes.
#[derive(Clone)]
pub struct Accept {
    /// The QUIC endpoint.
    pub endpoint: Endpoint,
    /// This node.
    pub own: Peer,
    /// The handle to the driver loop.
    pub handle: Handle,
    /// Closed once every forwarded request is answered.
    pub answering: watch::Sender<()>,
}

impl Accept {
    /// Accepts connections until the QUIC endpoint is closed.
    pub async fn run(self) {
        while let Some(incoming) = self.endpoint.accept().await {
            tokio::spawn(self.clone().serve(incoming));
        }
    }

    async fn serve(self, incoming: Incoming) {
        let from = incoming.remote_address().to_string();
        if let Err(error) = self.try_serve(incoming).await {
            let error = error.to_string();
            warn!("peers: Incoming connection failed.", kv: { from:, error });
        }
    }

    async fn try_serve(self, incoming: Incoming) -> anyhow::Result<()> {
        let connection = incoming.await?;
        let Peer { host, incarnation } = self.own.clone();
        let mut stream = connection.open_uni().await?;
        let hello = wire::to_frame(&wire::Hello { host, incarnation })?;
        stream.write_all(&hello).await?;
        let messages = connection.accept_uni().await?;
        let handle = self.handle.clone();
        let requests = tokio::spawn(self.accept_requests(connection.clone()));
        let ended = receive_messages(messages, &handle).await;
        requests.abort();
        connection.close(0u32.into(), b"");
        // A lost connection is not logged as a fault.
        match connection.close_reason() {
            Some(quinn::ConnectionError::LocallyClosed) => ended,
            _ => Ok(()),
        }
    }

    async fn accept_requests(self, connection: Connection) {
        while let Ok((send, receive)) = connection.accept_bi().await {
            let (handle, answers) = (self.handle.clone(), self.answering.subscribe());
            tokio::spawn(async move {
                forward::serve(send, receive, handle).await;
                drop(answers);
            });
        }
    }
}

async fn receive_messages(mut stream: RecvStream, handle: &Handle) -> anyhow::Result<()> {
    let hello: wire::Hello = wire::read(&mut stream)
        .await?
        .context("the stream ended before the hello frame")?;
    let from = Peer {
        host: hello.host,
        incarnation: hello.incarnation,
    };
    while let Some(message) = wire::read::<Message>(&mut stream).await? {
        handle.send(Input::Event(Event::Message {
            from: from.clone(),
            message,
        }));
    }
    Ok(())
}
