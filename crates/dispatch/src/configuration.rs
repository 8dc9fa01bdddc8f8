//! The configuration of a node that forwards whole requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

use crate::cold;
use crate::region::Regions;

/// A priority level: 0 is served first and refused last.
pub type Priority = u8;

/// A request's place in the order of service. The customer's own priority takes precedence
/// over the route's, which decides between requests of equal priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// The customer's priority, or the route's if the customer has none.
    pub priority: Priority,
    /// The route's priority.
    pub urgency: Priority,
}

/// Everything that an operator published under one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version; a node never goes back to a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// Limits on what a caller may send.
    pub limits: Limits,
    /// The customers, or `None` if requests need no key.
    pub customers: Option<Vec<Customer>>,
}

/// Whether a request may be sent again after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The request may run more than once.
    Repeatable,
    /// The request may run at most once.
    Once,
    /// The answer is a stream of events. The request may run at most once unless the route
    /// is resumable.
    Stream,
}

/// Which requests go to which services, and how they are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that its requests are addressed to.
    pub host: String,
    /// The prefix of its requests' paths; starts and ends with a slash.
    pub prefix: String,
    /// The services with their weights.
    pub targets: Vec<(id::Target, u32)>,
    /// Whether requests may be sent again.
    pub kind: Kind,
    /// How long a request may be held.
    pub timeout: Span,
    /// The time within which the answer, or its first event, counts as in time.
    pub objective: Span,
    /// How long callers wait for the answer, or its first event, before they leave.
    pub caller_timeout: Span,
    /// The longest pause between two events of a stream that still counts as in time;
    /// `None` for no bound.
    pub pause: Option<Span>,
    /// The maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Its priority, unless the customer has one.
    pub priority: Priority,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// The regions in which its requests may run. Not part of the serialised layout of
    /// routes; [`crate::region::Restrictions`] carries them.
    #[serde(skip)]
    pub regions: Regions,
}

/// A service: interchangeable endpoints, as far as the configuration describes them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: id::Target,
    /// The number of connections that one endpoint takes from all nodes together.
    pub connections: u32,
    /// Whether the endpoints are engines that batch requests.
    pub engine: bool,
    /// The load that a cold endpoint bears; `None` if the operator sets no bound.
    pub cold: Option<cold::Bound>,
    /// The path at which its endpoints answer health checks, if any. Not part of the serialised
    /// layout of services; [`crate::parts::Manifest::health_paths`] carries it.
    #[serde(skip)]
    pub health_path: Option<String>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub head: Size,
    /// The maximum size of a request's body.
    pub body: Size,
    /// How long a caller may take to send a head.
    pub head_timeout: Span,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: Size::from_kib(16),
            body: Size::from_mib(4),
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// A customer that sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name, as sent to endpoints.
    pub name: id::Customer,
    /// The digests of its keys.
    pub keys: Vec<Key>,
    /// Its priority, which takes precedence over the route's.
    pub priority: Option<Priority>,
    /// Its quota over all nodes; `None` for no limit.
    pub quota: Option<Quota>,
    /// The regions in which its requests may run; see [`Route::regions`].
    #[serde(skip)]
    pub regions: Regions,
}

/// The rate and burst that a customer may use over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// The rate, in units a second.
    pub per_second: f64,
    /// The number of units that may be used at once beyond the rate.
    pub burst: f64,
    /// The units charged for a request that doesn't state its size; `None` if every request
    /// counts as one unit.
    pub default_tokens: Option<u64>,
}

/// The SHA-256 digest of a caller's key. The key itself is never kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key([u8; 32]);

impl Key {
    /// Returns the digest of a key as sent by a caller.
    pub fn from_secret(secret: &str) -> Key {
        Key(sha2::Sha256::digest(secret.as_bytes()).into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(not shown)")
    }
}

impl Route {
    /// Whether a request may safely run twice.
    pub fn may_repeat(&self) -> bool {
        self.kind == Kind::Repeatable || (self.kind == Kind::Stream && self.resumable)
    }

    /// Chooses the service for a request by weight. Equal seeds yield the same service.
    pub fn target(&self, seed: u64) -> Option<&id::Target> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remaining = seed.checked_rem(total)?;
        for (target, weight) in &self.targets {
            if remaining < u64::from(*weight) {
                return Some(target);
            }
            remaining -= u64::from(*weight);
        }
        None
    }
}
