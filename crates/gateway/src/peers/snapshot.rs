//! What the platform published, from one node to another that cannot read it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use woadstage_dispatch::message;
use woadstage_dispatch::message::Known;
use woadstage_dispatch::message::Snapshot;

use crate::event::Event;
use crate::shell::Shell;

/// Largest snapshot that is read, in bytes.
const SNAPSHOT_MOST: u64 = 8 << 20;

/// Largest word of what a node knows, in bytes.
const KNOWN_MOST: u64 = 64;

/// How long giving or taking one may last.
const WITHIN: Duration = Duration::from_millis(1_500);

/// Transfers that are under way on a node.
#[derive(Debug, Default)]
pub struct Transfers {
    taking: Cell<usize>,
    giving: Cell<usize>,
}

/// What another node gave.
#[derive(Debug)]
pub struct Taken {
    /// The documents.
    pub snapshot: Snapshot,
    /// Their size on the wire, in bytes.
    pub bytes: usize,
}

/// Gives every node that connects what this one has read.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let Ok((stream, SocketAddr::V4(to))) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let shell = shell.clone();
        tokio::task::spawn_local(async move {
            let transfer = tokio::time::timeout(WITHIN, give(&shell, stream));
            // The other end asks again where this fails; the log says why.
            let _ = logged(&shell, "given", to, |bytes| *bytes, transfer).await;
        });
    }
}

async fn give(shell: &Shell, mut stream: TcpStream) -> anyhow::Result<usize> {
    let known: Known = read(&mut stream, KNOWN_MOST).await?.0;
    let snapshot = shell.query(|dispatcher, _| dispatcher.snapshot(known));
    write(&mut stream, &snapshot).await
}

/// Takes from another node what is newer than `known`.
///
/// # Errors
/// Where it cannot be reached in time, speaks another version, or breaks off.
pub async fn take(shell: &Shell, from: SocketAddrV4, known: Known) -> anyhow::Result<Taken> {
    let transfer = tokio::time::timeout(WITHIN, ask(from, known));
    logged(shell, "taken", from, |taken| taken.bytes, transfer).await
}

async fn ask(from: SocketAddrV4, known: Known) -> anyhow::Result<Taken> {
    let mut stream = TcpStream::connect(from).await?;
    write(&mut stream, &known).await?;
    let (snapshot, bytes) = read(&mut stream, SNAPSHOT_MOST).await?;
    Ok(Taken { snapshot, bytes })
}

/// Runs a transfer, counts it among those under way, and logs how it ended.
async fn logged<T>(
    shell: &Shell,
    direction: &str,
    peer: SocketAddrV4,
    bytes: impl Fn(&T) -> usize,
    transfer: impl Future<Output = Result<anyhow::Result<T>, Elapsed>>,
) -> anyhow::Result<T> {
    let under_way = match direction {
        "taken" => &shell.transfers.taking,
        _ => &shell.transfers.giving,
    };
    let begun = shell.now();
    under_way.set(under_way.get() + 1);
    let ended = transfer.await.unwrap_or_else(|elapsed| Err(elapsed.into()));
    let at_once = under_way.get();
    under_way.set(at_once - 1);
    let detail = ended.as_ref().err().map(ToString::to_string);
    shell.metrics.transfer(direction, ended.is_ok());
    shell.log(&Event::Transfer {
        direction,
        peer: &peer.to_string(),
        whole: ended.is_ok(),
        detail: detail.as_deref().unwrap_or_default(),
        bytes: ended.as_ref().map_or(0, bytes),
        after_ms: shell.now().since(begun).0 / 1_000,
        at_once,
    });
    ended
}

/// Writes a message and ends this side of the stream. Returns its bytes.
async fn write<M: Serialize>(stream: &mut TcpStream, message: &M) -> anyhow::Result<usize> {
    let bytes = postcard::to_extend(message, vec![message::VERSION])?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(bytes.len())
}

/// Reads a message up to the end of the stream, with its bytes.
async fn read<M: DeserializeOwned>(
    stream: &mut TcpStream,
    most: u64,
) -> anyhow::Result<(M, usize)> {
    let mut bytes = Vec::new();
    stream.take(most).read_to_end(&mut bytes).await?;
    match bytes.split_first() {
        Some((version, rest)) if *version == message::VERSION => {
            Ok((postcard::from_bytes(rest)?, bytes.len()))
        }
        _ => anyhow::bail!("another version of the protocol"),
    }
}
