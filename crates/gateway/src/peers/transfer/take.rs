//! Takes documents from a node that is ahead. What has arrived is kept where a
//! transfer breaks off, so that the next one goes on from there.

use std::net::SocketAddrV4;
use std::sync::Arc;

use tokio::net::TcpStream;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::message::Frame;
use woadstage_dispatch::message::Pull;
use woadstage_dispatch::wire;

use super::Direction;
use super::PROGRESS_WITHIN;
use super::frame;
use super::logged;
use crate::publish;
use crate::shell::Shell;

/// How a transfer ended that did not break off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// All that was newer there is known here.
    Whole,
    /// The other node gives to enough others.
    Declined,
}

/// What another node is asked for.
struct Question {
    pull: Pull,
    /// The list of endpoints whose sections it names.
    endpoints: Arc<List>,
}

/// Asks a node for a document where it has a newer one than this node, and brings
/// it into force.
///
/// # Errors
/// Where it cannot be reached, speaks another version, or breaks off.
pub async fn take(shell: &Shell, from: SocketAddrV4, document: Document) -> anyhow::Result<Ended> {
    let question = shell.query(|dispatcher, _| Question {
        pull: dispatcher.pull(from).only(document),
        endpoints: dispatcher.endpoints().clone(),
    });
    let mut ended = Ended::Whole;
    let transfer = ask(shell, from, &question, &mut ended);
    logged(shell, Direction::Taken, from, transfer).await?;
    Ok(ended)
}

async fn ask(
    shell: &Shell,
    from: SocketAddrV4,
    question: &Question,
    ended: &mut Ended,
) -> anyhow::Result<usize> {
    let connecting = TcpStream::connect(from);
    let mut stream = tokio::time::timeout(PROGRESS_WITHIN, connecting).await??;
    let mut bytes = Vec::new();
    frame::begin(&mut bytes);
    frame::add(&mut bytes, &wire::pull_to_bytes(&question.pull)?)?;
    frame::write(&mut stream, &bytes).await?;
    let mut reader = frame::Reader::new(stream);
    let mut head = None;
    let name = from.to_string();
    while let Some(frame) = reader.next(wire::frame_from_bytes).await? {
        match frame {
            Frame::Busy => *ended = Ended::Declined,
            Frame::Endpoints(difference) => {
                let list = difference.into_list(&question.endpoints);
                publish::set_endpoints(shell, &name, Arc::new(list));
            }
            Frame::Manifest(newer) => head = Some(newer),
            Frame::Part(part) => shell.command(|dispatcher, _| dispatcher.add_part(part)),
        }
    }
    if let Some(head) = head {
        publish::receive_manifest(shell, from, &head);
    }
    Ok(reader.total)
}
