//! Gives documents to nodes that are behind, to a few at once: each of them is
//! then done sooner, and can give to others itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use woadstage_dispatch::message::Frame;
use woadstage_dispatch::wire;

use super::Direction;
use super::frame;
use super::logged;
use crate::peers::traffic::Kind;
use crate::shell::Shell;

/// Nodes that are given documents at once. Three of them share 10 Mbit/s, so
/// that 100 kB take them a quarter of a second.
const AT_ONCE: usize = 3;

/// Bytes of a list that are given beyond that. Sixteen changed sections of a list of 3,000
/// endpoints take 33 kB, and 14 ms of 20 Mbit/s; whole lists, of 132 kB, go to a few at a
/// time, who then give them to others.
const GIVEN_WHILE_BUSY: usize = 33 << 10;

/// Pause after a connection could not be accepted; mostly for want of
/// descriptors, which others free as they end.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Gives nodes that connect what they have not, for as long as the process runs.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let Ok((stream, SocketAddr::V4(to))) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let shell = shell.clone();
        tokio::task::spawn_local(async move {
            if shell.transfers.giving.get() >= AT_ONCE {
                shell.metrics.record_transfer("given", false);
                // It asks another where even this does not reach it.
                let _ = decline(&shell, stream).await;
                return;
            }
            // The other end asks again where this fails; the log says why.
            let _ = logged(&shell, Direction::Given, to, give(&shell, stream)).await;
        });
    }
}

/// Gives the list of endpoints alone, where little of it differs. That is short, and must
/// be in force everywhere soon: behind long configurations an endpoint was sent a request
/// 3,022 ms after it had said that it was leaving, where 3,000 are allowed.
async fn decline(shell: &Shell, mut stream: TcpStream) -> anyhow::Result<()> {
    // Closing with unread bytes would reset the connection, and the answer
    // with it.
    let mut reader = frame::Reader::new(&mut stream);
    let Some(pull) = reader.next(wire::pull_from_bytes).await? else {
        anyhow::bail!("nothing was asked");
    };
    let wanted = shell.query(|dispatcher, _| dispatcher.snapshot(&pull));
    let mut bytes = Vec::new();
    frame::begin(&mut bytes);
    let mut busy = wanted.manifest.is_some();
    if let Some(endpoints) = wanted.endpoints {
        let endpoints = wire::frame_to_bytes(&Frame::Endpoints(endpoints))?;
        match endpoints.len() <= GIVEN_WHILE_BUSY {
            true => {
                let traffic = &shell.peers.traffic;
                traffic.note(Kind::Endpoints, endpoints.len());
                frame::add(&mut bytes, &endpoints)?;
            }
            false => busy = true,
        }
    }
    if busy {
        frame::add(&mut bytes, &wire::frame_to_bytes(&Frame::Busy)?)?;
    }
    frame::write(&mut stream, &bytes).await
}

async fn give(shell: &Shell, mut stream: TcpStream) -> anyhow::Result<usize> {
    let mut reader = frame::Reader::new(&mut stream);
    let Some(pull) = reader.next(wire::pull_from_bytes).await? else {
        anyhow::bail!("nothing was asked");
    };
    let snapshot = shell.query(|dispatcher, _| dispatcher.snapshot(&pull));
    let mut bytes = Vec::new();
    frame::begin(&mut bytes);
    for frame in snapshot.into_frames() {
        let written = wire::frame_to_bytes(&frame)?;
        let traffic = &shell.peers.traffic;
        traffic.note(Kind::of_frame(&frame), written.len());
        frame::add(&mut bytes, &written)?;
    }
    frame::write(&mut stream, &bytes).await?;
    Ok(bytes.len())
}
