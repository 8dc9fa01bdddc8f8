//! Restricts requests to regions.
//!
//! An operator may restrict routes and customers to regions. Both restrictions apply: a
//! request runs only where its route and its customer allow it. A data centre whose region
//! is not known belongs to no region.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;

use crate::configuration::Configuration;
use crate::endpoint;
use crate::map::HashMap;

/// The regions that a route or a customer is restricted to; empty if unrestricted.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions(Vec<id::Region>);

impl Regions {
    /// Restricts to the given regions, if there are any.
    pub fn new(regions: impl IntoIterator<Item = id::Region>) -> Regions {
        let mut regions: Vec<id::Region> = regions.into_iter().collect();
        regions.sort();
        regions.dedup();
        Regions(regions)
    }

    /// Whether there is no restriction.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }

    fn permits(&self, region: Option<&id::Region>) -> bool {
        self.is_unrestricted() || region.is_some_and(|region| self.0.contains(region))
    }
}

/// The restrictions that apply to one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Constraint {
    /// The regions of its route.
    pub route: Regions,
    /// The regions of its customer.
    pub customer: Regions,
}

impl Constraint {
    /// Whether the request may run anywhere.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_unrestricted() && self.customer.is_unrestricted()
    }
}

/// The region of each data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Map {
    regions: HashMap<id::DataCentre, id::Region>,
    /// The same regions, keyed by the numbers that identify data centres in messages
    /// between nodes.
    by_number: HashMap<u32, id::Region>,
}

impl Map {
    /// Creates a map from the region of each data centre.
    pub fn new(regions: impl IntoIterator<Item = (id::DataCentre, id::Region)>) -> Map {
        let regions: HashMap<id::DataCentre, id::Region> = regions.into_iter().collect();
        let numbered = regions.iter().map(|(data_centre, region)| {
            let number = endpoint::number_of(data_centre.as_str());
            (number, region.clone())
        });
        Map {
            by_number: numbered.collect(),
            regions,
        }
    }

    /// Whether a request may run in a data centre.
    pub fn allows(&self, constraint: &Constraint, data_centre: &id::DataCentre) -> bool {
        constraint.is_unrestricted() || constraint.allows(self.regions.get(data_centre))
    }

    /// Whether the data centre with the given number is in the region of another.
    pub fn is_same_region(&self, data_centre: &id::DataCentre, other: u32) -> bool {
        let region = self.regions.get(data_centre);
        region.is_some() && region == self.by_number.get(&other)
    }

    /// Whether a request may run in the data centre with the given number.
    pub fn allows_number(&self, constraint: &Constraint, data_centre: u32) -> bool {
        constraint.is_unrestricted() || constraint.allows(self.by_number.get(&data_centre))
    }
}

impl Constraint {
    fn allows(&self, region: Option<&id::Region>) -> bool {
        self.route.permits(region) && self.customer.permits(region)
    }
}

/// The restrictions of a configuration as sent between nodes. They travel beside the parts
/// of the configuration, because the layout and the names of the parts have to stay as
/// earlier builds know them. Each restricted name adds its length to every transfer of a
/// configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Restrictions(Vec<Restriction>);

/// Routes and customers that are restricted to the same regions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Restriction {
    regions: Regions,
    /// Routes, by host and prefix.
    routes: Vec<(String, String)>,
    customers: Vec<id::Customer>,
}

impl Restrictions {
    /// Collects the restrictions of a configuration.
    pub fn from_configuration(configuration: &Configuration) -> Restrictions {
        let mut by_regions: BTreeMap<Regions, Restriction> = BTreeMap::new();
        let restricted = configuration.routes.iter();
        for route in restricted.filter(|route| !route.regions.is_unrestricted()) {
            let entry = by_regions.entry(route.regions.clone()).or_default();
            entry
                .routes
                .push((route.host.clone(), route.prefix.clone()));
        }
        let restricted = configuration.customers.iter().flatten();
        for customer in restricted.filter(|customer| !customer.regions.is_unrestricted()) {
            let entry = by_regions.entry(customer.regions.clone()).or_default();
            entry.customers.push(customer.name.clone());
        }
        let by_regions = by_regions.into_iter();
        let by_regions = by_regions.map(|(regions, entry)| Restriction { regions, ..entry });
        Restrictions(by_regions.collect())
    }

    /// Applies the restrictions to a configuration, and lifts all others in it.
    pub fn apply(&self, configuration: &mut Configuration) {
        let mut routes: HashMap<(&str, &str), &Regions> = HashMap::default();
        let mut customers: HashMap<&id::Customer, &Regions> = HashMap::default();
        for Restriction {
            regions,
            routes: restricted_routes,
            customers: restricted_customers,
        } in &self.0
        {
            let restricted = restricted_routes.iter();
            routes.extend(
                restricted.map(|(host, prefix)| ((host.as_str(), prefix.as_str()), regions)),
            );
            customers.extend(restricted_customers.iter().map(|name| (name, regions)));
        }
        for route in &mut configuration.routes {
            let key = (route.host.as_str(), route.prefix.as_str());
            route.regions = routes.get(&key).copied().cloned().unwrap_or_default();
        }
        for customer in configuration.customers.iter_mut().flatten() {
            let regions = customers.get(&customer.name).copied();
            customer.regions = regions.cloned().unwrap_or_default();
        }
    }
}
