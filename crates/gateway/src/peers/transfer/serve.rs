//! Accepts connections of other nodes. Serves the requests that they forward, and sends documents
//! to nodes that have older ones. Only a few transfers run at once, so that
//! each one ends sooner and its receiver can serve other nodes.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use woadstage_dispatch::message::Frame;
use woadstage_dispatch::protocol;
use woadstage_dispatch::wire;

use super::Direction;
use super::PROGRESS_TIMEOUT;
use super::frame;
use super::run_logged;
use crate::connections::State;
use crate::connections::Tracker;
use crate::connections::listen::ACCEPT_RETRY_DELAY;
use crate::counted::Counted;
use crate::peers::traffic::Kind;
use crate::serve;
use crate::shell::Shell;

/// The maximum number of transfers at once. Three transfers of 100 kB that share 10 Mbit/s take
/// a quarter of a second.
const MAX_TRANSFERS: usize = 3;

/// The maximum size, in bytes, of endpoint list changes that are sent while [`MAX_TRANSFERS`] are
/// in progress. Sixteen changed sections of a list of 3,000 endpoints take 33 kB, or 14 ms at
/// 20 Mbit/s. Whole lists, of 132 kB, go to a few nodes at a time, which then serve others.
const MAX_BUSY_ENDPOINTS_BYTES: usize = 33 << 10;

/// Serves the requests of connecting nodes, for as long as the process runs.
pub async fn serve(shell: Rc<Shell>, listener: Rc<TcpListener>) {
    loop {
        let Ok((stream, SocketAddr::V4(to))) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(tracker) = shell.registries.nodes.try_open(shell.now()) {
            tokio::task::spawn_local(serve_connection(shell.clone(), stream, to, tracker));
        }
    }
}

async fn serve_connection(
    shell: Rc<Shell>,
    mut stream: TcpStream,
    to: SocketAddrV4,
    tracker: Tracker,
) {
    let transfers = &shell.transfers;
    let is_busy = transfers.sending.get() + transfers.opening.get() >= MAX_TRANSFERS;
    let opening = Counted::new(&transfers.opening);
    let first = tokio::select! {
        first = read_first_byte(&mut stream) => first,
        reason = tracker.closed() => Err(anyhow::anyhow!("closed: {}", reason.as_str())),
    };
    if first.is_ok() {
        tracker.set_state(shell.now(), State::Busy);
    }
    drop(opening);
    match first {
        // Every message between nodes starts with the layout, and no forwarded request does.
        Ok(first) if first != protocol::LAYOUT => {
            serve::serve_node(shell, stream, vec![first], tracker).await;
        }
        Ok(_) if is_busy => {
            shell.metrics.record_transfer("given", false);
            // If this fails too, the node tries another one.
            let _ = decline(&shell, stream).await;
        }
        Ok(_) => {
            // On failure the other node asks again; `run_logged` logs the error.
            let _ = run_logged(&shell, Direction::Sent, to, send(&shell, stream)).await;
        }
        Err(error) => {
            let failed = std::future::ready(Err(error));
            let _ = run_logged(&shell, Direction::Sent, to, failed).await;
        }
    }
}

async fn read_first_byte(stream: &mut TcpStream) -> anyhow::Result<u8> {
    let reading = stream.read_u8();
    Ok(tokio::time::timeout(PROGRESS_TIMEOUT, reading).await??)
}

/// Sends only the changes of the endpoint list, if they are small, and reports that this node is
/// busy if it leaves out other changes. Endpoint lists must take effect quickly on all nodes:
/// when they queued behind long configurations, an endpoint received a request 3,022 ms after it
/// had announced that it was leaving, where 3,000 ms are allowed.
async fn decline(shell: &Shell, mut stream: TcpStream) -> anyhow::Result<()> {
    // Closing a connection with unread bytes resets it, and the reply would be lost.
    let mut reader = frame::Reader::after_layout(&mut stream);
    let Some(pull) = reader.next(wire::pull_from_bytes).await? else {
        anyhow::bail!("the peer closed the connection without a request");
    };
    let snapshot = shell.query(|dispatcher, _| dispatcher.snapshot(&pull));
    let mut bytes = Vec::new();
    frame::put_layout(&mut bytes);
    let mut busy = snapshot.manifest.is_some();
    if let Some(endpoints) = snapshot.endpoints {
        let endpoints = wire::frame_to_bytes(&Frame::Endpoints(endpoints))?;
        match endpoints.len() <= MAX_BUSY_ENDPOINTS_BYTES {
            true => {
                let traffic = &shell.peers.traffic;
                traffic.record(Kind::Endpoints, endpoints.len());
                frame::put_message(&mut bytes, &endpoints)?;
            }
            false => busy = true,
        }
    }
    if busy {
        frame::put_message(&mut bytes, &wire::frame_to_bytes(&Frame::Busy)?)?;
    }
    frame::write(&mut stream, &bytes).await
}

async fn send(shell: &Shell, mut stream: TcpStream) -> anyhow::Result<usize> {
    let mut reader = frame::Reader::after_layout(&mut stream);
    let Some(pull) = reader.next(wire::pull_from_bytes).await? else {
        anyhow::bail!("the peer closed the connection without a request");
    };
    let snapshot = shell.query(|dispatcher, _| dispatcher.snapshot(&pull));
    let mut bytes = Vec::new();
    frame::put_layout(&mut bytes);
    for frame in snapshot.into_frames() {
        let encoded = wire::frame_to_bytes(&frame)?;
        let traffic = &shell.peers.traffic;
        traffic.record(Kind::from_frame(&frame), encoded.len());
        frame::put_message(&mut bytes, &encoded)?;
    }
    frame::write(&mut stream, &bytes).await?;
    Ok(bytes.len())
}
