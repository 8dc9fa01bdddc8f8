//! Forwards a request to the node that owns its key and relays the answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use anyhow::Context;
use quinn::Connection;
use quinn::RecvStream;
use quinn::SendStream;
use tokio::sync::mpsc;
use woadstage_core::node::Arrival;
use woadstage_core::node::Event;
use woadstage_types::id;

use super::wire;
use crate::callers;
use crate::driver::Handle;
use crate::driver::Input;
use crate::driver::Reply;
use crate::driver::Work;

/// A request to forward.
pub struct Forward {
    /// The request as the core received it.
    pub arrival: Arrival,
    /// The request for the endpoint.
    pub work: Arc<Work>,
    /// The channel for the parts of the answer.
    pub reply: mpsc::Sender<Reply>,
    /// Set once part of the answer has been sent.
    pub started: Arc<AtomicBool>,
    /// The handle to the driver loop.
    pub handle: Handle,
}

/// Forwards a request and relays its answer.
pub async fn forward(connection: Connection, forward: Forward) {
    let request = forward.arrival.request;
    let event = match try_forward(connection, &forward).await {
        Ok(()) => Event::ForwardEnded(request),
        Err(_) => Event::ForwardLost(request),
    };
    forward.handle.send(Input::Event(event));
}

async fn try_forward(connection: Connection, forward: &Forward) -> anyhow::Result<()> {
    let arrival = &forward.arrival;
    let forwarded = wire::ForwardedRequest {
        from: arrival.from.clone().unwrap_or_else(|| id::Host::new("")),
        request: arrival.request,
        token: arrival.token,
        class: arrival.class.clone(),
        target: arrival.target.clone(),
        key: arrival.key.clone(),
        left: arrival.timeout.unwrap_or_default(),
        prompt: arrival.prompt,
        output_limit: arrival.output_limit,
        fingerprint: arrival.fingerprint,
        work: Work::clone(&forward.work),
    };
    let (mut send, mut receive) = connection.open_bi().await?;
    send.write_all(&wire::to_frame(&forwarded)?).await?;
    // The sending side stays open. If this task is aborted, the stream is
    // reset, which tells the other node that the caller no longer waits.
    loop {
        let reply: Reply = wire::read(&mut receive)
            .await?
            .context("the forwarded answer ended early")?;
        let last = matches!(reply, Reply::Refuse(_) | Reply::End | Reply::Broken(_));
        forward.started.store(true, Ordering::Relaxed);
        let _ = forward.reply.send(reply).await;
        if last {
            let _ = send.finish();
            return Ok(());
        }
    }
}

/// Serves a request that another node forwarded.
pub(super) async fn serve(send: SendStream, receive: RecvStream, handle: Handle) {
    let _ = try_serve(send, receive, handle).await;
}

async fn try_serve(
    mut send: SendStream,
    mut receive: RecvStream,
    handle: Handle,
) -> anyhow::Result<()> {
    let forwarded: wire::ForwardedRequest = wire::read(&mut receive)
        .await?
        .context("the stream ended before the request")?;
    let arrival = forwarded.to_arrival();
    let mut answer = callers::submit(&handle, arrival, forwarded.work).await;
    let mut byte = [0; 1];
    loop {
        let reply = tokio::select! {
            reply = answer.next() => reply,
            // The stream was reset or ended: the caller no longer waits for the
            // answer.
            _ = receive.read(&mut byte) => return Ok(()),
        };
        let Some(reply) = reply else { break };
        send.write_all(&wire::to_frame(&reply)?).await?;
    }
    send.finish()?;
    // Closing the connection discards what the other node has not received.
    send.stopped().await?;
    Ok(())
}
