//! Connections at rest. One that has just answered rests a moment before it is
//! used again, so that a second answer, which no request asked for, is noticed
//! by the connection and not taken for the next request's.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header;
use woadstage_dispatch::endpoint::Instance;
use woadstage_types::unit::Time;

use super::Connection;
use super::Idle;
use super::Upstream;
use crate::clock::to_span;

/// How long a connection rests at the least while there is another.
const REST: Duration = Duration::from_millis(60);

/// How long a connection is kept whose endpoint does not say.
const KEEP: Duration = Duration::from_secs(4);

/// The part of what an endpoint says that a connection is kept, in percent.
const KEEP_PERCENT: u32 = 70;

/// Connections at rest that are kept for one endpoint, however many it takes.
const KEPT_MOST: usize = 16;

/// How long a connection may take to be ready again after an answer.
const READY_WITHIN: Duration = Duration::from_millis(500);

impl Upstream {
    /// Takes the connection to an endpoint that rested longest.
    pub(super) fn take(&self, now: Time, endpoint: &Instance) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(endpoint)?;
        idle.retain(|one| one.until > now && !one.connection.sender.is_closed());
        let rested = idle
            .iter()
            .position(|one| now.since(one.since) >= to_span(REST));
        let at = rested.or_else(|| idle.len().checked_sub(1))?;
        Some(idle.remove(at).connection)
    }

    /// Keeps a connection that has [`into_reusable`], for so long at the most, and no more than
    /// `most` to the same endpoint. The time for which its other end keeps it goes on
    /// while this host is suspended.
    pub fn add_idle(
        &self,
        now: Time,
        endpoint: Instance,
        connection: Connection,
        keep: Duration,
        most: usize,
    ) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(endpoint).or_default();
        let kept_before = most.clamp(1, KEPT_MOST) - 1;
        let over = idle.len().saturating_sub(kept_before);
        idle.drain(..over);
        idle.push(Idle {
            connection,
            since: now,
            until: now + to_span(keep),
        });
    }

    /// Closes all connections at rest, as after a pause of this process.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections whose time is over.
    pub fn remove_expired(&self, now: Time) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|one| one.until > now && !one.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// Waits until a connection whose answer was whole can be used again; nothing where it
/// cannot, or its endpoint said not to.
pub async fn into_reusable(mut connection: Connection, keep: Duration) -> Option<Connection> {
    if keep.is_zero() {
        return None;
    }
    let ready = tokio::time::timeout(READY_WITHIN, connection.sender.ready()).await;
    matches!(ready, Ok(Ok(()))).then_some(connection)
}

/// How long a connection may be kept after an answer with this head.
pub fn keep_alive_duration(headers: &HeaderMap) -> Duration {
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
