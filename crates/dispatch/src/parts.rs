//! A configuration in parts, each named by its content, so that a small change
//! of a long one costs little to pass on, and a transfer that breaks off need
//! not begin anew.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::hash;

use crate::configuration::Configuration;
use crate::configuration::Customer;
use crate::configuration::Limits;
use crate::configuration::Route;
use crate::configuration::Service;
use crate::region::Restrictions;

/// Parts of one configuration. Their digests take 2 KiB; of 1,500 routes one
/// part holds about six, or half a kilobyte.
pub const COUNT: usize = 256;

/// Received parts that are kept: of the newest version and of one before it.
const MAX_RECEIVED: usize = 2 * COUNT;

/// The name of a part: the hash of its content, the same on every node.
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
    /// Routes, by host and prefix.
    pub routes: Vec<Route>,
    /// Services, by name.
    pub services: Vec<Service>,
    /// Customers, by name.
    pub customers: Vec<Customer>,
}

impl Part {
    /// Its name.
    pub fn to_digest(&self) -> Digest {
        hash_entries(&self.routes, &self.services, &self.customers)
    }
}

/// All that a configuration holds beside its parts, and what its parts are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version.
    pub version: u64,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// True where requests need a customer's key.
    pub requires_key: bool,
    /// The names of all parts, in order.
    pub parts: Vec<Digest>,
    /// What is bound to regions. Not part of the first layout of messages:
    /// [`crate::wire`] adds it behind.
    #[serde(skip)]
    pub restrictions: Restrictions,
}

impl Manifest {
    /// Names the whole configuration by its content. Nodes that hold the same version
    /// with other contents differ in it.
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

/// Positions of the entries of one part.
#[derive(Debug, Default)]
struct Positions {
    routes: Vec<usize>,
    services: Vec<usize>,
    customers: Vec<usize>,
}

impl Index {
    /// Reads the whole configuration once.
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
        let digests = positions.iter().map(|one| one.to_digest(configuration));
        Index {
            digests: digests.collect(),
            positions,
        }
    }

    /// The names of all parts, in order.
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// What a node needs before the parts.
    pub fn to_manifest(&self, configuration: &Configuration) -> Manifest {
        Manifest {
            version: configuration.version,
            limits: configuration.limits.clone(),
            requires_key: configuration.customers.is_some(),
            parts: self.digests.clone(),
            restrictions: Restrictions::of(configuration),
        }
    }

    /// Copies the parts that are not among `held`, but for empty ones.
    pub fn to_missing_parts(
        &self,
        configuration: &Configuration,
        held: &HashSet<Digest>,
    ) -> Vec<Part> {
        let empty = Part::default().to_digest();
        let named = self.positions.iter().zip(&self.digests);
        let missing = named
            .filter(|(_, hash_entries)| **hash_entries != empty && !held.contains(hash_entries));
        missing
            .map(|(positions, _)| positions.to_part(configuration))
            .collect()
    }
}

impl Positions {
    fn to_digest(&self, configuration: &Configuration) -> Digest {
        let customers = configuration.customers.as_deref().unwrap_or_default();
        let routes = self.routes.iter().map(|at| &configuration.routes[*at]);
        let services = self.services.iter().map(|at| &configuration.services[*at]);
        let customers = self.customers.iter().map(|at| &customers[*at]);
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
            routes: routes.map(|at| configuration.routes[*at].clone()).collect(),
            services: services
                .map(|at| configuration.services[*at].clone())
                .collect(),
            customers: self
                .customers
                .iter()
                .map(|at| customers[*at].clone())
                .collect(),
        }
    }
}

/// Parts that were received and are not in force yet.
#[derive(Debug, Default)]
pub struct Received {
    parts: HashMap<Digest, Part>,
}

impl Received {
    /// Keeps a part. Where too many are kept all of them go first: they belong to
    /// versions that never came into force, and what is still wanted is asked for
    /// again.
    pub fn add(&mut self, part: Part) {
        if self.parts.len() >= MAX_RECEIVED {
            self.parts.clear();
        }
        self.parts.insert(part.to_digest(), part);
    }

    /// The names of what is kept.
    pub fn digests(&self) -> impl Iterator<Item = Digest> + '_ {
        self.parts.keys().copied()
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    /// Puts a configuration together from what was received and from the one
    /// in force; nothing where a part is missing.
    pub fn try_assemble(
        &self,
        head: &Manifest,
        base: Option<(&Configuration, &Index)>,
    ) -> Option<Configuration> {
        let empty = Part::default().to_digest();
        let in_force: HashMap<Digest, usize> = base
            .iter()
            .flat_map(|(_, index)| index.digests.iter().copied().zip(0..))
            .collect();
        let mut whole = Part::default();
        for hash_entries in head
            .parts
            .iter()
            .filter(|hash_entries| **hash_entries != empty)
        {
            let part = match self.parts.get(hash_entries) {
                Some(part) => part.clone(),
                None => {
                    let at = in_force.get(hash_entries)?;
                    let (configuration, index) = base?;
                    index.positions[*at].to_part(configuration)
                }
            };
            whole.routes.extend(part.routes);
            whole.services.extend(part.services);
            whole.customers.extend(part.customers);
        }
        let mut configuration = Configuration {
            version: head.version,
            routes: whole.routes,
            services: whole.services,
            limits: head.limits.clone(),
            customers: head.requires_key.then_some(whole.customers),
        };
        head.restrictions.apply(&mut configuration);
        Some(configuration)
    }
}

/// The part to which an entry belongs, by the hash of its key.
fn part_index(key: u64) -> usize {
    (key % COUNT as u64) as usize
}

/// Hashes entries as they go on the wire. Writing to memory does not fail for
/// these types; were it to, the part would have the digest 0, which no other has.
fn hash_entries<R: Serialize, S: Serialize, C: Serialize>(
    routes: &[R],
    services: &[S],
    customers: &[C],
) -> Digest {
    let written = postcard::to_extend(&(routes, services, customers), Vec::new());
    Digest(written.map_or(0, |bytes| hash::of(&bytes)))
}
