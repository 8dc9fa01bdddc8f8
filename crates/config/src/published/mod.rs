//! The configuration that operators publish: tiers, customers, classes of
//! work, models, services and events, with the confirmation in its first lines.

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

/// Largest document, as the platform holds values up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// A tier's place in the order of protection: 0 is shed last.
pub type Tier = u8;

/// The configuration in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Which document this is and what it was planned against.
    pub confirmation: Confirmation,
    /// Names of the tiers, the most protected first.
    pub tiers: Vec<Arc<str>>,
    /// Customers by the SHA-256 of their bearer token.
    pub customers: HashMap<[u8; 32], Arc<Customer>>,
    /// Classes of work by name.
    pub classes: HashMap<id::Class, Arc<Class>>,
    /// Models and services by name.
    pub targets: HashMap<id::Target, Arc<Target>>,
    /// Declared events, in the order of the document.
    pub events: Vec<Event>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: id::Customer,
    /// The requests a second it may send through the whole fleet.
    pub limit: Rate,
    /// Its share against the others when work waits.
    pub weight: u32,
    /// The classes it may declare; none means all.
    pub classes: Option<Vec<id::Class>>,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: id::Class,
    /// Its tier.
    pub tier: Tier,
    /// The model or service it is for.
    pub target: id::Target,
    /// True where running it twice does no harm.
    pub repeatable: bool,
    /// True where callers' own keys are taken for an endpoint that does not
    /// check them. Opens the hole named in `docs/PROMISES.md`.
    pub plain_keys: bool,
    /// How long an answer is of use unless the caller says otherwise.
    pub timeout: Span,
    /// The length of answer to expect until one has been seen.
    pub output: Tokens,
}

/// What kind of endpoint serves a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model on engines that batch.
    Model,
    /// A plain service.
    Service,
}

/// A model or a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Its name.
    pub name: id::Target,
    /// Model or service.
    pub kind: Kind,
    /// Version and adapter; part of the identity of a cached prefix.
    pub version: String,
    /// The class of a request that declares none.
    pub default_class: id::Class,
    /// Requests one endpoint runs at once.
    pub slots: u32,
    /// Prompt tokens a second to expect of an endpoint not yet seen.
    pub prefill: Rate,
    /// Time between tokens (model) or a call's time (service) to expect.
    pub step: Span,
    /// Prompt tokens whose state an endpoint keeps.
    pub cache: Tokens,
    /// True where the endpoint refuses a key it has seen.
    pub checks_keys: bool,
    /// True where the engine honours `priority` in the body.
    pub priority: bool,
}

/// A declared event: while it lasts, part of every endpoint is kept free for
/// the tiers that matter.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Its name.
    pub name: Arc<str>,
    /// When it starts.
    pub start: Time,
    /// When it ends.
    pub end: Time,
    /// The least protected tier that may use the reserve.
    pub protect: Tier,
    /// The share of slots kept free, in percent.
    pub reserve: u32,
}

impl Config {
    /// The class a request runs under, or none where it may not.
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

    /// The share of slots kept from `tier` at `now`, in percent.
    pub fn reserved_percent(&self, tier: Tier, now: Time) -> u32 {
        let lasting = self
            .events
            .iter()
            .filter(|event| event.start <= now && now < event.end);
        lasting
            .filter(|event| tier > event.protect)
            .map(|event| event.reserve)
            .max()
            .unwrap_or(0)
    }
}
