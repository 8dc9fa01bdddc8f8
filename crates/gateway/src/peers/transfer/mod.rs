//! Documents of the platform on their way from node to node, by stream.
//!
//! * `give.rs`: answers nodes that are behind.
//! * `take.rs`: asks a node that is ahead.
//! * `frame.rs`: messages on a stream.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::error::Elapsed;

use crate::event::Event;
use crate::shell::Shell;

pub mod frame;
mod give;
mod take;

pub use give::serve;
pub use take::Ended;
pub use take::take;

/// Longest pause in which nothing of a transfer moves. On the slowest link of
/// 10 Mbit/s 1 MB moves in that time; as long a silence is a node that is gone.
const PROGRESS_WITHIN: Duration = Duration::from_secs(1);

/// Longest transfer. A node that is behind asks one other at a time, so that
/// one which is slow without end must not keep it from the others, and it must
/// have a change within 3 s on the users' larger sites. Three transfers of 260 kB
/// share 10 Mbit/s in 0.7 s. What has arrived by then is kept.
const WHOLE_WITHIN: Duration = Duration::from_secs(2);

/// Transfers that are under way on a node.
#[derive(Debug, Default)]
pub struct Counts {
    taking: Cell<usize>,
    giving: Cell<usize>,
}

/// Which way documents go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Taken,
    Given,
}

impl fmt::Display for Direction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Direction::Taken => "taken",
            Direction::Given => "given",
        })
    }
}

/// Runs a transfer that returns its bytes, counts it among those under way,
/// bounds its time, and logs how it ended.
async fn logged(
    shell: &Shell,
    direction: Direction,
    peer: SocketAddrV4,
    transfer: impl Future<Output = anyhow::Result<usize>>,
) -> anyhow::Result<usize> {
    let under_way = match direction {
        Direction::Taken => &shell.transfers.taking,
        Direction::Given => &shell.transfers.giving,
    };
    let begun = shell.now();
    under_way.set(under_way.get() + 1);
    let ended: Result<_, Elapsed> = tokio::time::timeout(WHOLE_WITHIN, transfer).await;
    let ended = ended.unwrap_or_else(|elapsed| Err(elapsed.into()));
    let at_once = under_way.get();
    under_way.set(at_once - 1);
    let detail = ended.as_ref().err().map(ToString::to_string);
    let direction = direction.to_string();
    shell.metrics.record_transfer(&direction, ended.is_ok());
    shell.log(&Event::Transfer {
        direction: &direction,
        peer: &peer.to_string(),
        whole: ended.is_ok(),
        detail: detail.as_deref().unwrap_or_default(),
        bytes: *ended.as_ref().unwrap_or(&0),
        after_ms: shell.now().since(begun).0 / 1_000,
        at_once,
    });
    ended
}
