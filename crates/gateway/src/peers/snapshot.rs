//! What the platform published, from one node to another that cannot read it.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use woadstage_dispatch::message;
use woadstage_dispatch::message::Snapshot;

use crate::shell::Shell;

/// Largest snapshot that is read, in bytes.
const SNAPSHOT_MOST: u64 = 8 << 20;

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
    let snapshot = shell.query(|dispatcher, _| dispatcher.snapshot());
    let bytes = postcard::to_extend(&snapshot, vec![message::VERSION])?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Takes what another node has read.
///
/// # Errors
/// Where it cannot be reached in time, speaks another version, or breaks off.
pub async fn take(from: SocketAddrV4) -> anyhow::Result<Snapshot> {
    tokio::time::timeout(WITHIN, read(from)).await?
}

async fn read(from: SocketAddrV4) -> anyhow::Result<Snapshot> {
    let stream = TcpStream::connect(from).await?;
    let mut bytes = Vec::new();
    stream.take(SNAPSHOT_MOST).read_to_end(&mut bytes).await?;
    match bytes.split_first() {
        Some((version, rest)) if *version == message::VERSION => Ok(postcard::from_bytes(rest)?),
        _ => anyhow::bail!("another version of the protocol"),
    }
}
