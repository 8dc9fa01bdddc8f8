//! Connections at rest. One that has just answered rests a moment before it is
//! used again, so that a second answer, which no request asked for, is noticed
//! by the connection and not taken for the next request's.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header;
use tokio::time::Instant;
use woadstage_dispatch::endpoint::Life;

use super::Connection;
use super::Idle;
use super::Upstream;

/// How long a connection rests at the least while there is another.
const REST: Duration = Duration::from_millis(60);

/// How long a connection is kept whose endpoint does not say.
const KEEP: Duration = Duration::from_secs(4);

/// The part of what an endpoint says that a connection is kept, in percent.
const KEEP_PERCENT: u32 = 70;

/// Connections at rest that are kept for one endpoint.
const KEPT_MOST: usize = 16;

/// How long a connection may take to be ready again after an answer.
const READY_WITHIN: Duration = Duration::from_millis(500);

impl Upstream {
    /// Takes the connection to an endpoint that rested longest.
    pub(super) fn take(&self, endpoint: &Life) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(endpoint)?;
        idle.retain(|one| one.until > now && !one.connection.sender.is_closed());
        let rested = idle.iter().position(|one| now - one.since >= REST);
        let at = rested.or_else(|| idle.len().checked_sub(1))?;
        Some(idle.remove(at).connection)
    }

    /// Keeps a connection whose answer was whole, unless the endpoint said not
    /// to.
    pub async fn keep(&self, endpoint: &Life, mut connection: Connection, keep: Duration) {
        if keep.is_zero() {
            return;
        }
        let ready = tokio::time::timeout(READY_WITHIN, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(endpoint.clone()).or_default();
        if idle.len() >= KEPT_MOST {
            idle.remove(0);
        }
        idle.push(Idle {
            connection,
            since: now,
            until: now + keep,
        });
    }

    /// Closes all connections at rest, as after a pause of this process.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections whose time is over.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|one| one.until > now && !one.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// How long a connection may be kept after an answer with this head.
pub fn keep_for(headers: &HeaderMap) -> Duration {
    let values = |name| {
        headers
            .get_all(name)
            .iter()
            .filter_map(|value| value.to_str().ok())
    };
    let closes = values(header::CONNECTION)
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"));
    if closes {
        return Duration::ZERO;
    }
    let said = values(header::HeaderName::from_static("keep-alive"))
        .flat_map(|value| value.split(','))
        .find_map(|word| word.trim().strip_prefix("timeout=")?.parse::<u64>().ok());
    said.map_or(KEEP, |seconds| {
        Duration::from_secs(seconds.min(3_600)) * KEEP_PERCENT / 100
    })
}
