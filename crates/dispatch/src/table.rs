//! The configuration in force, indexed so that a look-up takes one or two hash look-ups.

use std::sync::Arc;
use std::sync::OnceLock;

use woadstage_types::code::Code;
use woadstage_types::id;

use crate::configuration::Configuration;
use crate::configuration::Customer;
use crate::configuration::Key;
use crate::configuration::Route;
use crate::configuration::Service;
use crate::map::HashMap;
use crate::parts;

/// A configuration with its indexes.
#[derive(Debug)]
pub struct Table {
    configuration: Arc<Configuration>,
    routes: HashMap<String, HashMap<String, usize>>,
    keys: HashMap<Key, usize>,
    customers: HashMap<u64, usize>,
    services: HashMap<id::Target, usize>,
    parts: OnceLock<parts::Index>,
}

/// The route and the customer of an admitted request.
#[derive(Debug, Clone, Copy)]
pub struct Match<'a> {
    /// The route.
    pub route: &'a Route,
    /// The customer; `None` if the request needs no key and carried no known one.
    pub customer: Option<&'a Customer>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(configuration: Arc<Configuration>) -> Table {
        let mut routes: HashMap<String, HashMap<String, usize>> = HashMap::default();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes
                .entry(host)
                .or_default()
                .insert(route.prefix.clone(), index);
        }
        let customers = configuration.customers.iter().flatten().enumerate();
        let keys = customers
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (*key, index)));
        let keys = keys.collect();
        let customers = configuration.customers.iter().flatten().enumerate();
        let customers = customers
            .map(|(index, customer)| (customer.name.to_number(), index))
            .collect();
        let services = configuration.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Table {
            routes,
            keys,
            customers,
            services,
            parts: OnceLock::new(),
            configuration,
        }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the index of the parts in which the configuration is sent to other nodes,
    /// computing it on first use.
    pub fn parts(&self) -> &parts::Index {
        self.parts
            .get_or_init(|| parts::Index::new(&self.configuration))
    }

    /// Returns a digest of the content of the whole configuration.
    pub fn to_digest(&self) -> parts::Digest {
        self.parts().to_manifest(&self.configuration).to_digest()
    }

    /// Returns the route of a host with the longest prefix of the path.
    pub fn route_opt(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.routes.get(&normalise_host(host))?;
        let ends = path.bytes().enumerate().rev();
        let mut slashes = ends.filter(|(_, byte)| *byte == b'/').map(|(end, _)| end);
        let found = slashes.find_map(|end| prefixes.get(&path[..=end]))?;
        self.configuration.routes.get(*found)
    }

    /// Returns the customer that holds a key.
    pub fn customer_opt(&self, key: Key) -> Option<&Customer> {
        let index = *self.keys.get(&key)?;
        self.configuration.customers.as_ref()?.get(index)
    }

    /// Returns the customer with the number that nodes use for it in messages.
    pub fn customer_by_number_opt(&self, number: u64) -> Option<&Customer> {
        let index = *self.customers.get(&number)?;
        self.configuration.customers.as_ref()?.get(index)
    }

    /// Returns a service by name.
    pub fn service_opt(&self, name: &id::Target) -> Option<&Service> {
        self.configuration.services.get(*self.services.get(name)?)
    }

    /// Finds the route and the customer of a request.
    ///
    /// # Errors
    /// [`Code::RouteUnknown`] if no route matches, [`Code::CustomerUnknown`] if the route
    /// needs a key and the request carried none or an unknown one.
    pub fn find(&self, host: &str, path: &str, key: Option<Key>) -> Result<Match<'_>, Code> {
        let route = self.route_opt(host, path).ok_or(Code::RouteUnknown)?;
        let customer = key.and_then(|key| self.customer_opt(key));
        let needs_key = self.configuration.customers.is_some() && !route.anonymous;
        match customer {
            None if needs_key => Err(Code::CustomerUnknown),
            customer => Ok(Match { route, customer }),
        }
    }
}

/// Normalises a `Host` header: without its port, in lower case.
fn normalise_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
