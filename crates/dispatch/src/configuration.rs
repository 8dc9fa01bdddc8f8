//! The configuration in force on a node that forwards whole requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;

use crate::cold;
use crate::region::Regions;

/// A step in the order of protection: 0 is served first and refused last.
pub type Priority = u8;

/// A request's place in the order of protection. A customer's own priority goes
/// before that of the route; among equals the route's decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// The customer's priority, or the route's where it has none.
    pub priority: Priority,
    /// The route's priority.
    pub urgency: Priority,
}

/// Everything an operator published under one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version; a node never goes back to a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// The customers, or none where requests need no key.
    pub customers: Option<Vec<Customer>>,
}

/// What may be done with a request that was sent once already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It may run more than once.
    Repeatable,
    /// It may run once at the most.
    Once,
    /// Its answer is a series of events; it may run once at the most unless
    /// the route is resumable.
    Stream,
}

/// Which requests go to which service, and how they are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// How their path begins; starts and ends with a slash.
    pub prefix: String,
    /// The services with their weights; one alone gets everything.
    pub targets: Vec<(id::Target, u32)>,
    /// What may be repeated.
    pub kind: Kind,
    /// How long a request may be held.
    pub timeout: Span,
    /// Within which time the answer, or its first event, earns full credit.
    pub objective: Span,
    /// How long callers wait for the answer, or its first event, before they
    /// leave.
    pub patience: Span,
    /// The longest pause between two events of a stream that still counts as in
    /// time; none where the route sets no bound.
    pub pause: Option<Span>,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Its rank, unless its customer has one.
    pub priority: Priority,
    /// True where no key is asked for.
    pub anonymous: bool,
    /// True where a broken stream may go on at another endpoint.
    pub resumable: bool,
    /// The regions in which its requests may run. Not part of the layout of routes:
    /// [`crate::region::Restrictions`] carries them.
    #[serde(skip)]
    pub regions: Regions,
}

/// Endpoints of one kind, as far as the configuration describes them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: id::Target,
    /// Connections that one endpoint takes from all nodes together.
    pub connections: u32,
    /// True where the endpoints are engines that batch.
    pub engine: bool,
    /// What a cold endpoint bears; none where the operator sets no bound.
    pub cold: Option<cold::Bound>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request.
    pub head: Size,
    /// Largest body of a request.
    pub body: Size,
    /// How long a caller may take to send a head.
    pub head_within: Span,
    /// How long a connection may rest between requests.
    pub idle: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: Size::from_kib(16),
            body: Size::from_mib(4),
            head_within: Span::from_secs(3),
            idle: Span::from_secs(15),
        }
    }
}

/// Who sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name, as endpoints are told.
    pub name: id::Customer,
    /// Its keys, by digest.
    pub keys: Vec<Key>,
    /// Its rank, which goes before that of the route.
    pub priority: Option<Priority>,
    /// What it may use over all nodes; none where it may use anything.
    pub quota: Option<Quota>,
    /// The regions in which its requests may run; as [`Route::regions`].
    #[serde(skip)]
    pub regions: Regions,
}

/// What a customer may use, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units a second.
    pub per_second: f64,
    /// Units beyond that which may be used at once.
    pub burst: f64,
    /// Units of a request that does not say its size; none where each request
    /// counts as one.
    pub plain_tokens: Option<u64>,
}

/// The SHA-256 of a caller's key; the key itself is never kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key([u8; 32]);

impl Key {
    /// The digest of a key as a caller sends it.
    pub fn of(secret: &str) -> Key {
        Key(sha2::Sha256::digest(secret.as_bytes()).into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(not shown)")
    }
}

impl Route {
    /// True where running a request twice does no harm.
    pub fn may_repeat(&self) -> bool {
        self.kind == Kind::Repeatable || (self.kind == Kind::Stream && self.resumable)
    }

    /// The service for a request, the same for equal `seed`s.
    pub fn target(&self, seed: u64) -> Option<&id::Target> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut at = seed.checked_rem(total)?;
        for (target, weight) in &self.targets {
            if at < u64::from(*weight) {
                return Some(target);
            }
            at -= u64::from(*weight);
        }
        None
    }
}
