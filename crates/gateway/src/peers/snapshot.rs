//! What the platform published, from one node to another that cannot read it.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use woadstage_dispatch::message;
use woadstage_dispatch::message::Known;
use woadstage_dispatch::message::Snapshot;

use crate::shell::Shell;

/// Largest snapshot that is read, in bytes.
const SNAPSHOT_MOST: u64 = 8 << 20;

/// Largest word of what a node knows, in bytes.
const KNOWN_MOST: u64 = 64;

/// How long giving or taking one may last.
const WITHIN: Duration = Duration::from_millis(1_500);

/// Gives every node that connects what this one has read.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let shell = shell.clone();
        tokio::task::spawn_local(async move {
            // The other end asks again where this fails.
            let _ = tokio::time::timeout(WITHIN, give(&shell, stream)).await;
        });
    }
}

async fn give(shell: &Shell, mut stream: TcpStream) -> anyhow::Result<()> {
    let known: Known = read(&mut stream, KNOWN_MOST).await?;
    let snapshot = shell.query(|dispatcher, _| dispatcher.snapshot(known));
    write(&mut stream, &snapshot).await
}

/// Takes from another node what is newer than `known`.
///
/// # Errors
/// Where it cannot be reached in time, speaks another version, or breaks off.
pub async fn take(from: SocketAddrV4, known: Known) -> anyhow::Result<Snapshot> {
    tokio::time::timeout(WITHIN, ask(from, known)).await?
}

async fn ask(from: SocketAddrV4, known: Known) -> anyhow::Result<Snapshot> {
    let mut stream = TcpStream::connect(from).await?;
    write(&mut stream, &known).await?;
    read(&mut stream, SNAPSHOT_MOST).await
}

/// Writes a message and ends this side of the stream.
async fn write<M: Serialize>(stream: &mut TcpStream, message: &M) -> anyhow::Result<()> {
    let bytes = postcard::to_extend(message, vec![message::VERSION])?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Reads a message up to the end of the stream.
async fn read<M: DeserializeOwned>(stream: &mut TcpStream, most: u64) -> anyhow::Result<M> {
    let mut bytes = Vec::new();
    stream.take(most).read_to_end(&mut bytes).await?;
    match bytes.split_first() {
        Some((version, rest)) if *version == message::VERSION => Ok(postcard::from_bytes(rest)?),
        _ => anyhow::bail!("another version of the protocol"),
    }
}
