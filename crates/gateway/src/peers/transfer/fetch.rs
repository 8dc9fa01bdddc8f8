//! Fetches documents from a node that has newer ones. Parts that arrived before a transfer
//! failed are kept, so that the next transfer fetches only the rest.

use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::message::Frame;
use woadstage_dispatch::message::Pull;
use woadstage_dispatch::wire;

use super::Direction;
use super::PROGRESS_TIMEOUT;
use super::frame;
use super::run_logged;
use crate::dial;
use crate::publish;
use crate::shell::Shell;

/// The outcome of a transfer that did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Everything that was newer on the other node has arrived.
    Complete,
    /// The other node already serves as many nodes as it can.
    Declined,
}

/// A request to another node.
struct Request {
    pull: Pull,
    /// The list of endpoints to which the reply's difference applies.
    endpoints: Arc<List>,
}

/// Fetches a document from a node, if it has a newer one than this node, and applies it.
///
/// # Errors
/// Returns an error if the node can't be reached, uses an unsupported layout or the transfer fails.
pub async fn fetch(
    shell: &Shell,
    from: SocketAddrV4,
    document: Document,
) -> anyhow::Result<Outcome> {
    let request = shell.query(|dispatcher, _| Request {
        pull: dispatcher.pull(from).only(document),
        endpoints: dispatcher.endpoints().clone(),
    });
    let mut outcome = Outcome::Complete;
    let transfer = receive(shell, from, &request, &mut outcome);
    run_logged(shell, Direction::Received, from, transfer).await?;
    Ok(outcome)
}

async fn receive(
    shell: &Shell,
    from: SocketAddrV4,
    request: &Request,
    outcome: &mut Outcome,
) -> anyhow::Result<usize> {
    let connecting = dial::connect(from);
    let mut stream = tokio::time::timeout(PROGRESS_TIMEOUT, connecting).await??;
    let mut bytes = Vec::new();
    frame::put_layout(&mut bytes);
    frame::put_message(&mut bytes, &wire::pull_to_bytes(&request.pull)?)?;
    frame::write(&mut stream, &bytes).await?;
    let mut reader = frame::Reader::new(stream);
    let mut manifest = None;
    let name = from.to_string();
    while let Some(frame) = reader.next(wire::frame_from_bytes).await? {
        match frame {
            Frame::Busy => *outcome = Outcome::Declined,
            Frame::Endpoints(difference) => {
                let list = difference.into_list(&request.endpoints);
                publish::set_endpoints(shell, &name, Arc::new(list));
            }
            Frame::Manifest(newer) => manifest = Some(newer),
            Frame::Part(part) => shell.command(|dispatcher, _| dispatcher.add_part(part)),
        }
    }
    if let Some(manifest) = manifest {
        publish::receive_manifest(shell, from, &manifest);
    }
    Ok(reader.total_bytes)
}
