//! Accepts connections from other nodes.

use anyhow::Context;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use spdlog::warn;
use woadstage_core::message::Message;
use woadstage_core::node::Event;
use woadstage_core::pool::Peer;

use super::forward;
use super::wire;
use crate::driver::Handle;
use crate::driver::Input;

/// Accepts connections until the QUIC endpoint is closed.
pub async fn accept(endpoint: Endpoint, own: Peer, handle: Handle) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve(incoming, own.clone(), handle.clone()));
    }
}

async fn serve(incoming: Incoming, own: Peer, handle: Handle) {
    let from = incoming.remote_address().to_string();
    if let Err(error) = try_serve(incoming, own, handle).await {
        let error = error.to_string();
        warn!("peers: Incoming connection failed.", kv: { from:, error: });
    }
}

async fn try_serve(incoming: Incoming, own: Peer, handle: Handle) -> anyhow::Result<()> {
    let connection = incoming.await?;
    let Peer { host, incarnation } = own;
    let mut stream = connection.open_uni().await?;
    let hello = wire::to_frame(&wire::Hello { host, incarnation })?;
    stream.write_all(&hello).await?;
    let messages = connection.accept_uni().await?;
    let requests = tokio::spawn(accept_requests(connection.clone(), handle.clone()));
    let ended = receive_messages(messages, &handle).await;
    requests.abort();
    connection.close(0u32.into(), b"");
    // A lost connection is not logged as a fault.
    match connection.close_reason() {
        Some(quinn::ConnectionError::LocallyClosed) => ended,
        _ => Ok(()),
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

async fn accept_requests(connection: Connection, handle: Handle) {
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(forward::serve(send, receive, handle.clone()));
    }
}
