//! Takes newer documents from other nodes while the platform does not give
//! them to this one: each document from one node at a time, with pauses after
//! failures. A list of endpoints does not wait for a configuration, which may take
//! seconds over a slow link.

use std::rc::Rc;
use std::time::Duration;

use woadstage_dispatch::member::Role;
use woadstage_dispatch::message::Document;
use woadstage_types::hash;
use woadstage_types::unit::Time;

use super::transfer;
use super::transfer::Ended;
use crate::clock::to_duration;
use crate::shell::Shell;

/// Time between two looks at whether another node is ahead.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How long a node that reads the platform itself waits for what others have
/// already read; a little more than its readers gather changes.
const PLATFORM_FIRST: Duration = Duration::from_millis(250);

/// Shortest pause after a node declined, and what it is spread over: as long
/// as it takes to give one other node a long configuration.
const DECLINED_PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(80));

/// First and longest pause after a transfer broke off.
const BROKEN_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Keeps up with the nodes that have a newer one of a document, for as long as the
/// process runs.
pub async fn run(shell: Rc<Shell>, document: Document) {
    let mut behind_since: Option<Time> = None;
    let mut pause = BROKEN_PAUSES.0;
    for attempt in 0.. {
        let from = loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let ahead =
                shell.query(|dispatcher, now| dispatcher.newer_peer_opt(now, document, attempt));
            let Some(from) = ahead else {
                behind_since = None;
                continue;
            };
            let since = *behind_since.get_or_insert_with(|| shell.now());
            if !is_left_to_platform(&shell, since) {
                break from;
            }
        };
        match transfer::take(&shell, from, document).await {
            Ok(Ended::Whole) => {
                behind_since = None;
                pause = BROKEN_PAUSES.0;
            }
            Ok(Ended::Declined) => tokio::time::sleep(spread(&shell, attempt)).await,
            // The log of transfers says why.
            Err(_) => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(BROKEN_PAUSES.1);
            }
        }
    }
}

/// True while the platform itself is likely to bring what others have. A node
/// that does not read it has nothing to wait for.
fn is_left_to_platform(shell: &Shell, behind_since: Time) -> bool {
    let reading = shell.query(|dispatcher, now| dispatcher.role(now));
    let behind = to_duration(shell.now().since(behind_since));
    reading != Role::Follower && behind < PLATFORM_FIRST
}

/// A pause that differs between nodes and between attempts.
fn spread(shell: &Shell, attempt: u64) -> Duration {
    let (least, over) = DECLINED_PAUSE;
    let own = shell.query(|dispatcher, _| dispatcher.incarnation());
    let part = hash::chain(own, &attempt.to_le_bytes()) % 1_000;
    least + over * part as u32 / 1_000
}
