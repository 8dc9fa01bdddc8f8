//! The configuration that operators publish: tiers, customers, classes of work, models,
//! services and events. Its first lines hold the confirmation.

use std::collections::HashMap;
use std::sync::Arc;

use woadstage_types::id;
use woadstage_types::unit::Rate;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

mod confirm;
mod parse;

pub use confirm::Confirmation;
pub use confirm::sha256;
pub use confirm::write;
pub use parse::parse;
pub use parse::parse_body;

/// The maximum size of a document: the platform stores values of up to 1 MiB.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// The index of a tier in the order of protection: 0 is shed last.
pub type Tier = u8;

/// A parsed configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// The revision of the document, its base and its digest.
    pub confirmation: Confirmation,
    /// The names of the tiers, the most protected first.
    pub tiers: Vec<Arc<str>>,
    /// The customers by the SHA-256 of their bearer token.
    pub customers: HashMap<[u8; 32], Arc<Customer>>,
    /// The classes of work by name.
    pub classes: HashMap<id::Class, Arc<Class>>,
    /// The models and services by name.
    pub targets: HashMap<id::Target, Arc<Target>>,
    /// The declared events, in the order of the document.
    pub events: Vec<Event>,
}

/// A customer with its limits and permissions.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// The name of the customer.
    pub name: id::Customer,
    /// The maximum rate of requests, summed over the whole fleet.
    pub limit: Rate,
    /// The weight of its share relative to other customers when requests queue.
    pub weight: u32,
    /// The classes it may use; `None` allows all.
    pub classes: Option<Vec<id::Class>>,
}

/// A class of work, which sets the priority and the handling of its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The name of the class.
    pub name: id::Class,
    /// The tier of its requests.
    pub tier: Tier,
    /// The model or service that it applies to.
    pub target: id::Target,
    /// Whether it is safe to run a request twice.
    pub repeatable: bool,
    /// Whether keys chosen by callers are accepted for an endpoint that does not check them.
    /// This weakens the guarantees as described in `docs/PROMISES.md`.
    pub plain_keys: bool,
    /// The time limit of a request for which the caller sets none.
    pub timeout: Span,
    /// The expected length of a response until one has been observed.
    pub output: Tokens,
}

/// The kind of endpoint that serves a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model on engines that batch requests.
    Model,
    /// A plain service.
    Service,
}

/// A model or a service with the properties of its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The name of the target.
    pub name: id::Target,
    /// Whether it is a model or a service.
    pub kind: Kind,
    /// The version and adapter; part of the key of a cached prefix.
    pub version: String,
    /// The class of requests that declare none.
    pub default_class: id::Class,
    /// The maximum number of requests that one endpoint runs at once.
    pub slots: u32,
    /// The prefill rate, in prompt tokens per second, assumed for an endpoint until measured.
    pub prefill: Rate,
    /// The expected time between tokens (model) or duration of a call (service).
    pub step: Span,
    /// The prefix cache size of an endpoint, in prompt tokens.
    pub cache: Tokens,
    /// Whether the endpoint rejects an idempotency key that it has seen before.
    pub checks_keys: bool,
    /// Whether the engine supports `priority` in the body.
    pub priority: bool,
}

/// A declared event, during which a share of the slots of every endpoint is reserved for
/// the more protected tiers.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// The name of the event.
    pub name: Arc<str>,
    /// The start of the event.
    pub start: Time,
    /// The end of the event, exclusive.
    pub end: Time,
    /// The least protected tier that may use the reserved slots.
    pub protect: Tier,
    /// The share of reserved slots, in percent.
    pub reserve: u32,
}

impl Config {
    /// Returns the class of a request, or `None` if the class is unknown, belongs to another
    /// target or is not allowed for the customer.
    pub fn class_opt(
        &self,
        customer: &Customer,
        target: &Target,
        declared: Option<&id::Class>,
    ) -> Option<&Arc<Class>> {
        let name = declared.unwrap_or(&target.default_class);
        let class = self.classes.get(name)?;
        if class.target != target.name {
            return None;
        }
        let allowed = match &customer.classes {
            Some(classes) => classes.contains(name),
            None => true,
        };
        allowed.then_some(class)
    }

    /// Returns the share of slots that `tier` may not use at `now`, in percent.
    pub fn reserved_percent(&self, tier: Tier, now: Time) -> u32 {
        let active_events = self
            .events
            .iter()
            .filter(|event| event.start <= now && now < event.end);
        active_events
            .filter(|event| tier > event.protect)
            .map(|event| event.reserve)
            .max()
            .unwrap_or(0)
    }
}
