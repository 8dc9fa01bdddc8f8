//! Transfers the platform's documents between nodes over TCP.
//!
//! * `serve.rs`: sends documents to nodes that have older ones.
//! * `fetch.rs`: fetches documents from a node that has newer ones.
//! * `frame.rs`: length-prefixed messages on a stream.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::error::Elapsed;

use crate::counted::Counted;
use crate::event::Event;
use crate::shell::Shell;

mod fetch;
pub mod frame;
mod serve;

pub use fetch::Outcome;
pub use fetch::fetch;
pub use serve::serve;

/// The time without progress after which a transfer fails. The slowest link, of 10 Mbit/s,
/// carries about 1 MB in that time, so a longer silence means that the other node is gone.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// The time limit of a transfer. A node fetches a document from one node at a time, so a slow
/// node must not keep it from the others, and on the users' larger sites a change must reach
/// each node within 3 s. Three transfers of 260 kB that share 10 Mbit/s take 0.7 s. Parts that
/// arrived before the time limit are kept.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// The numbers of transfers in progress on a node.
#[derive(Debug, Default)]
pub struct Counts {
    receiving: Cell<usize>,
    sending: Cell<usize>,
    /// Connections of other nodes on which nothing has arrived yet.
    opening: Cell<usize>,
}

/// The direction of a transfer, as seen from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Received,
    Sent,
}

impl fmt::Display for Direction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Direction::Received => "taken",
            Direction::Sent => "given",
        })
    }
}

/// Runs a transfer, which returns its length in bytes, within [`TRANSFER_TIMEOUT`]; counts it
/// while it is in progress, and logs its outcome.
async fn run_logged(
    shell: &Shell,
    direction: Direction,
    peer: SocketAddrV4,
    transfer: impl Future<Output = anyhow::Result<usize>>,
) -> anyhow::Result<usize> {
    let in_progress = match direction {
        Direction::Received => &shell.transfers.receiving,
        Direction::Sent => &shell.transfers.sending,
    };
    let started = shell.now();
    let counted = Counted::new(in_progress);
    let result: Result<_, Elapsed> = tokio::time::timeout(TRANSFER_TIMEOUT, transfer).await;
    let result = result.unwrap_or_else(|elapsed| Err(elapsed.into()));
    let at_once = in_progress.get();
    drop(counted);
    let detail = result.as_ref().err().map(ToString::to_string);
    let direction = direction.to_string();
    shell.metrics.record_transfer(&direction, result.is_ok());
    shell.log(&Event::Transfer {
        direction: &direction,
        peer: &peer.to_string(),
        whole: result.is_ok(),
        detail: detail.as_deref().unwrap_or_default(),
        bytes: *result.as_ref().unwrap_or(&0),
        after_ms: shell.now().since(started).0 / 1_000,
        at_once,
    });
    result
}
