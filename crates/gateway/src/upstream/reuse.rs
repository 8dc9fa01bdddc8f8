//! Reuse of idle connections. After a response, a connection stays idle for a moment if another one
//! can be used, so that an unsolicited second response is detected as an error and not mistaken
//! for the response to the next request.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header;
use woadstage_types::unit::Time;

use super::Connection;
use super::Idle;
use super::Target;
use super::Upstream;
use crate::clock::to_span;

/// The minimum idle time before a connection is reused, ignored if no idle connection meets it.
const REUSE_DELAY: Duration = Duration::from_millis(60);

/// How long a connection is kept if its endpoint announces no keep-alive timeout.
pub(super) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// The part of an endpoint's keep-alive timeout for which a connection is kept, in percent.
const KEEP_ALIVE_PERCENT: u32 = 70;

/// The maximum number of idle connections per endpoint, however many slots it has.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// The time limit for a connection to become ready again after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

impl Upstream {
    /// Takes the connection to an endpoint that has been idle longest; if none has been idle for
    /// [`REUSE_DELAY`], the one that became idle last.
    pub(super) fn take_idle(&self, now: Time, target: &Target) -> Option<Connection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(target)?;
        idle.retain(|entry| entry.expires_at > now && !entry.connection.sender.is_closed());
        let reusable = idle
            .iter()
            .position(|entry| now.since(entry.idle_since) >= to_span(REUSE_DELAY));
        let index = reusable.or_else(|| idle.len().checked_sub(1))?;
        Some(idle.remove(index).connection)
    }

    /// Adds a connection returned by [`into_reusable`] to the pool for at most `keep_alive`. Closes
    /// the oldest ones to the same endpoint so that, with this one, at most `max_idle` remain, or this
    /// one if there are too many to all endpoints. The
    /// expiry counts suspensions of this host, since the endpoint's keep-alive timeout continues
    /// during them.
    pub fn add_idle(
        &self,
        now: Time,
        target: Target,
        connection: Connection,
        keep_alive: Duration,
        max_idle: usize,
    ) {
        let mut pool = self.idle.borrow_mut();
        if pool.values().map(Vec::len).sum::<usize>() >= self.max_idle {
            return;
        }
        let idle = pool.entry(target).or_default();
        let max_before = max_idle.clamp(1, MAX_IDLE_PER_ENDPOINT) - 1;
        let excess = idle.len().saturating_sub(max_before);
        idle.drain(..excess);
        idle.push(Idle {
            connection,
            idle_since: now,
            expires_at: now + to_span(keep_alive),
        });
    }

    /// Closes the idle connections to an endpoint or node.
    pub fn close_idle_to(&self, target: &Target) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes all idle connections, as after a pause of this process.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Removes idle connections that have expired or were closed by the endpoint.
    pub fn remove_expired(&self, now: Time) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|entry| entry.expires_at > now && !entry.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// Waits until a connection can be used again after a complete response. Returns `None` if the
/// connection does not become ready in time or the endpoint closes it.
pub async fn into_reusable(mut connection: Connection, keep_alive: Duration) -> Option<Connection> {
    if keep_alive.is_zero() {
        return None;
    }
    let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
    matches!(ready, Ok(Ok(()))).then_some(connection)
}

/// Returns how long a connection may be kept after a response with these headers, zero if the
/// endpoint closes it.
pub fn keep_alive_duration(headers: &HeaderMap) -> Duration {
    let values = |name| {
        headers
            .get_all(name)
            .iter()
            .filter_map(|value| value.to_str().ok())
    };
    let is_closing = values(header::CONNECTION)
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"));
    if is_closing {
        return Duration::ZERO;
    }
    let timeout_seconds = values(header::HeaderName::from_static("keep-alive"))
        .flat_map(|value| value.split(','))
        .find_map(|word| word.trim().strip_prefix("timeout=")?.parse::<u64>().ok());
    timeout_seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| {
        Duration::from_secs(seconds.min(3_600)) * KEEP_ALIVE_PERCENT / 100
    })
}
