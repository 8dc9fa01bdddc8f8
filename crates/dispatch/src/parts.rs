//! A configuration divided into parts that are identified by a hash of their content, so that a
//! small change to a long configuration needs little traffic and an interrupted transfer can be
//! resumed.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;
use woadstage_types::id;

use crate::configuration::Configuration;
use crate::configuration::Customer;
use crate::configuration::Limits;
use crate::configuration::Route;
use crate::configuration::Service;
use crate::map::HashMap;
use crate::map::HashSet;
use crate::region::Restrictions;

/// The number of parts of a configuration. Their digests take 2 KiB, and with 1,500 routes a
/// part holds about six of them, or half a kilobyte.
pub const COUNT: usize = 256;

/// The maximum number of received parts that are kept: those of the newest version and of the
/// one before.
const MAX_RECEIVED: usize = 2 * COUNT;

/// A digest of a part: the hash of its content, which is the same on every node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Some entries of a configuration, in its order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Routes, selected by the hash of host and prefix.
    pub routes: Vec<Route>,
    /// Services, selected by the hash of the name.
    pub services: Vec<Service>,
    /// Customers, selected by the hash of the name.
    pub customers: Vec<Customer>,
}

impl Part {
    /// Returns the digest of the part.
    pub fn to_digest(&self) -> Digest {
        hash_entries(&self.routes, &self.services, &self.customers)
    }
}

/// A configuration without its parts, and the list of its parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version.
    pub version: u64,
    /// Limits on what a caller may send.
    pub limits: Limits,
    /// Whether requests need a customer's key.
    pub requires_key: bool,
    /// The digests of all parts, in order.
    pub parts: Vec<Digest>,
    /// The region restrictions. They are not part of the base layout of messages:
    /// [`crate::wire`] appends them.
    #[serde(skip)]
    pub restrictions: Restrictions,
    /// The health check paths of services; appended like the restrictions.
    #[serde(skip)]
    pub health_paths: Vec<(id::Target, String)>,
}

impl Manifest {
    /// Returns a digest of the whole configuration, which reveals nodes that hold the same
    /// version with different content.
    pub fn to_digest(&self) -> Digest {
        let written = postcard::to_extend(&(self, &self.restrictions), Vec::new());
        Digest(written.map_or(0, |bytes| hash::of(&bytes)))
    }
}

/// Which entries of a configuration belong to which part.
#[derive(Debug)]
pub struct Index {
    positions: Vec<Positions>,
    digests: Vec<Digest>,
}

/// The positions of the entries of one part.
#[derive(Debug, Default)]
struct Positions {
    routes: Vec<usize>,
    services: Vec<usize>,
    customers: Vec<usize>,
}

impl Index {
    /// Assigns all entries of a configuration to parts.
    pub fn new(configuration: &Configuration) -> Index {
        let mut positions: Vec<Positions> = Vec::new();
        positions.resize_with(COUNT, Positions::default);
        for (at, route) in configuration.routes.iter().enumerate() {
            let host = hash::of(route.host.as_bytes());
            let key = hash::chain(host, route.prefix.as_bytes());
            positions[part_index(key)].routes.push(at);
        }
        for (at, service) in configuration.services.iter().enumerate() {
            let key = hash::of(service.name.as_str().as_bytes());
            positions[part_index(key)].services.push(at);
        }
        for (at, customer) in configuration.customers.iter().flatten().enumerate() {
            let key = hash::of(customer.name.as_str().as_bytes());
            positions[part_index(key)].customers.push(at);
        }
        let digests = positions.iter().map(|part| part.to_digest(configuration));
        Index {
            digests: digests.collect(),
            positions,
        }
    }

    /// Returns the digests of all parts, in order.
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// Returns the manifest, which a node needs before the parts.
    pub fn to_manifest(&self, configuration: &Configuration) -> Manifest {
        Manifest {
            version: configuration.version,
            limits: configuration.limits.clone(),
            requires_key: configuration.customers.is_some(),
            parts: self.digests.clone(),
            restrictions: Restrictions::from_configuration(configuration),
            health_paths: health_paths(configuration),
        }
    }

    /// Copies the parts that are not in `held`, except empty ones.
    pub fn to_missing_parts(
        &self,
        configuration: &Configuration,
        held: &HashSet<Digest>,
    ) -> Vec<Part> {
        let empty = Part::default().to_digest();
        let named = self.positions.iter().zip(&self.digests);
        let missing = named.filter(|(_, digest)| **digest != empty && !held.contains(digest));
        missing
            .map(|(positions, _)| positions.to_part(configuration))
            .collect()
    }
}

impl Positions {
    fn to_digest(&self, configuration: &Configuration) -> Digest {
        let customers = configuration.customers.as_deref().unwrap_or_default();
        let routes = self
            .routes
            .iter()
            .map(|index| &configuration.routes[*index]);
        let services = self
            .services
            .iter()
            .map(|index| &configuration.services[*index]);
        let customers = self.customers.iter().map(|index| &customers[*index]);
        hash_entries(
            &routes.collect::<Vec<_>>(),
            &services.collect::<Vec<_>>(),
            &customers.collect::<Vec<_>>(),
        )
    }

    fn to_part(&self, configuration: &Configuration) -> Part {
        let customers = configuration.customers.as_deref().unwrap_or_default();
        let routes = self.routes.iter();
        let services = self.services.iter();
        Part {
            routes: routes
                .map(|index| configuration.routes[*index].clone())
                .collect(),
            services: services
                .map(|index| configuration.services[*index].clone())
                .collect(),
            customers: self
                .customers
                .iter()
                .map(|index| customers[*index].clone())
                .collect(),
        }
    }
}

/// Parts that were received for a configuration that is not in force yet.
#[derive(Debug, Default)]
pub struct Received {
    parts: HashMap<Digest, Part>,
}

impl Received {
    /// Adds a part. If too many are kept, all of them are dropped first: they belong to
    /// versions that never came into force, and those still needed are requested again.
    pub fn add(&mut self, part: Part) {
        if self.parts.len() >= MAX_RECEIVED {
            self.parts.clear();
        }
        self.parts.insert(part.to_digest(), part);
    }

    /// Returns the digests of the parts that are kept.
    pub fn digests(&self) -> impl Iterator<Item = Digest> + '_ {
        self.parts.keys().copied()
    }

    /// Drops all parts.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    /// Assembles a configuration from the received parts and those of the configuration in
    /// force. Returns `None` if a part is missing.
    pub fn try_assemble(
        &self,
        manifest: &Manifest,
        base: Option<(&Configuration, &Index)>,
    ) -> Option<Configuration> {
        let empty = Part::default().to_digest();
        let in_force: HashMap<Digest, usize> = base
            .iter()
            .flat_map(|(_, index)| index.digests.iter().copied().zip(0..))
            .collect();
        let mut whole = Part::default();
        for digest in manifest.parts.iter().filter(|digest| **digest != empty) {
            let part = match self.parts.get(digest) {
                Some(part) => part.clone(),
                None => {
                    let position = in_force.get(digest)?;
                    let (configuration, index) = base?;
                    index.positions[*position].to_part(configuration)
                }
            };
            whole.routes.extend(part.routes);
            whole.services.extend(part.services);
            whole.customers.extend(part.customers);
        }
        let mut configuration = Configuration {
            version: manifest.version,
            routes: whole.routes,
            services: whole.services,
            limits: manifest.limits.clone(),
            customers: manifest.requires_key.then_some(whole.customers),
        };
        manifest.restrictions.apply(&mut configuration);
        for service in &mut configuration.services {
            let mut paths = manifest.health_paths.iter();
            let path = paths.find(|(name, _)| *name == service.name);
            service.health_path = path.map(|(_, path)| path.clone());
        }
        Some(configuration)
    }
}

/// Returns the health check paths of the services that have one.
fn health_paths(configuration: &Configuration) -> Vec<(id::Target, String)> {
    let services = configuration.services.iter();
    let paths = services.filter_map(|service| {
        let path = service.health_path.clone()?;
        Some((service.name.clone(), path))
    });
    paths.collect()
}

/// Returns the part to which an entry belongs, by the hash of its key.
fn part_index(key: u64) -> usize {
    (key % COUNT as u64) as usize
}

/// Hashes entries as they are serialised. Serialising these types to memory does not fail; if
/// it did, the part would get the digest 0, which no other part has.
fn hash_entries<R: Serialize, S: Serialize, C: Serialize>(
    routes: &[R],
    services: &[S],
    customers: &[C],
) -> Digest {
    let written = postcard::to_extend(&(routes, services, customers), Vec::new());
    Digest(written.map_or(0, |bytes| hash::of(&bytes)))
}
