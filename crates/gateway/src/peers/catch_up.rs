//! Fetches newer documents from other nodes while the platform does not deliver them to this one.
//! Each document is fetched from one node at a time, with a backoff after failures. Endpoint lists
//! are fetched independently of configurations, which may take seconds over a slow link.

use std::rc::Rc;
use std::time::Duration;

use woadstage_dispatch::member::Role;
use woadstage_dispatch::message::Document;
use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::transfer;
use super::transfer::Outcome;
use crate::clock::to_duration;
use crate::shell::Shell;

/// The interval of checks for a node with newer documents.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a node that reads the platform itself waits for the platform to deliver a document
/// that other nodes already have. This is slightly longer than the period over which
/// platform reads batch changes.
const PLATFORM_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// The minimum pause after a node declined, and the range of the jitter added to it: about the time
/// that the transfer of a long configuration to one node takes.
const DECLINED_PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(80));

/// The initial and the maximum pause after a failed transfer.
const FAILURE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(400));

/// Fetches a document whenever another node has a newer one, for as long as the process runs.
pub async fn run(shell: Rc<Shell>, document: Document) {
    let mut behind_since: Option<Time> = None;
    let mut pause = FAILURE_BACKOFF.0;
    for attempt in 0.. {
        let from = loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let newer_peer =
                shell.query(|dispatcher, now| dispatcher.newer_peer_opt(now, document, attempt));
            let Some(from) = newer_peer else {
                behind_since = None;
                continue;
            };
            let since = *behind_since.get_or_insert_with(|| shell.now());
            if !is_waiting_for_platform(&shell, since) {
                break from;
            }
        };
        match transfer::fetch(&shell, from, document).await {
            Ok(Outcome::Complete) => {
                behind_since = None;
                pause = FAILURE_BACKOFF.0;
            }
            Ok(Outcome::Declined) => tokio::time::sleep(jittered_pause(&shell, attempt)).await,
            // The transfer itself logs the error.
            Err(_) => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(FAILURE_BACKOFF.1);
            }
        }
    }
}

/// Whether the platform itself is still likely to deliver the document. Nodes that do not read the
/// platform never wait for it.
fn is_waiting_for_platform(shell: &Shell, behind_since: Time) -> bool {
    let role = shell.query(|dispatcher, now| dispatcher.role(now));
    let behind = to_duration(shell.now().since(behind_since));
    role != Role::Follower && behind < PLATFORM_GRACE_PERIOD
}

/// Returns the pause after a declined transfer, with jitter that differs between nodes and
/// attempts.
fn jittered_pause(shell: &Shell, attempt: u64) -> Duration {
    let (min, jitter) = DECLINED_PAUSE;
    let incarnation = shell.query(|dispatcher, _| dispatcher.incarnation());
    let thousandths = hash::chain(incarnation, &attempt.to_le_bytes()) % 1_000;
    min + jitter * thousandths as u32 / 1_000
}
