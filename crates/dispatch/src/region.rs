//! In which regions requests may run.
//!
//! An operator may bind routes and customers to regions. Both bind: a request runs only
//! where its route and its customer allow it. A data centre whose region is not known is
//! in none of them.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use woadstage_types::id;

use crate::configuration::Configuration;
use crate::endpoint;

/// The regions that a route or a customer is bound to; none where it is free.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions(Vec<id::Region>);

impl Regions {
    /// Bound to these, where there are any.
    pub fn new(regions: impl IntoIterator<Item = id::Region>) -> Regions {
        let mut regions: Vec<id::Region> = regions.into_iter().collect();
        regions.sort();
        regions.dedup();
        Regions(regions)
    }

    /// True where it is bound to none.
    pub fn is_free(&self) -> bool {
        self.0.is_empty()
    }

    fn allow(&self, region: Option<&id::Region>) -> bool {
        self.is_free() || region.is_some_and(|region| self.0.contains(region))
    }
}

/// What binds one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bound {
    /// The regions of its route.
    pub route: Regions,
    /// The regions of its customer.
    pub customer: Regions,
}

impl Bound {
    /// True where it may run anywhere.
    pub fn is_free(&self) -> bool {
        self.route.is_free() && self.customer.is_free()
    }
}

/// The region of each data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Map {
    regions: HashMap<id::DataCentre, id::Region>,
    /// The same by the numbers by which nodes name data centres.
    by_number: HashMap<u32, id::Region>,
}

impl Map {
    /// Takes the region of each data centre.
    pub fn new(regions: HashMap<id::DataCentre, id::Region>) -> Map {
        let numbered = regions.iter().map(|(centre, region)| {
            let number = endpoint::number_of(centre.as_str());
            (number, region.clone())
        });
        Map {
            by_number: numbered.collect(),
            regions,
        }
    }

    /// True where a request may run in a data centre.
    pub fn allows(&self, bound: &Bound, centre: &id::DataCentre) -> bool {
        bound.is_free() || bound.allows(self.regions.get(centre))
    }

    /// The same of a data centre that a node names by its number.
    pub fn allows_number(&self, bound: &Bound, centre: u32) -> bool {
        bound.is_free() || bound.allows(self.by_number.get(&centre))
    }
}

impl Bound {
    fn allows(&self, region: Option<&id::Region>) -> bool {
        self.route.allow(region) && self.customer.allow(region)
    }
}

/// What a configuration binds to regions, as it goes from node to node: beside its parts,
/// whose layout and names stay as all builds know them. Each name that is bound costs
/// its length in each transfer of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Restrictions(Vec<Restriction>);

/// What is bound to the same regions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Restriction {
    regions: Regions,
    /// Routes, by host and prefix.
    routes: Vec<(String, String)>,
    customers: Vec<id::Customer>,
}

impl Restrictions {
    /// Those of a configuration.
    pub fn of(configuration: &Configuration) -> Restrictions {
        let mut found: BTreeMap<Regions, Restriction> = BTreeMap::new();
        let bound = configuration.routes.iter();
        for route in bound.filter(|route| !route.regions.is_free()) {
            let entry = found.entry(route.regions.clone()).or_default();
            entry
                .routes
                .push((route.host.clone(), route.prefix.clone()));
        }
        let bound = configuration.customers.iter().flatten();
        for customer in bound.filter(|customer| !customer.regions.is_free()) {
            let entry = found.entry(customer.regions.clone()).or_default();
            entry.customers.push(customer.name.clone());
        }
        let found = found.into_iter();
        let found = found.map(|(regions, entry)| Restriction { regions, ..entry });
        Restrictions(found.collect())
    }

    /// Binds what they name in a configuration, and nothing else.
    pub fn apply(&self, configuration: &mut Configuration) {
        let mut routes: HashMap<(&str, &str), &Regions> = HashMap::new();
        let mut customers: HashMap<&id::Customer, &Regions> = HashMap::new();
        for Restriction {
            regions,
            routes: bound,
            customers: named,
        } in &self.0
        {
            let bound = bound.iter();
            routes.extend(bound.map(|(host, prefix)| ((host.as_str(), prefix.as_str()), regions)));
            customers.extend(named.iter().map(|name| (name, regions)));
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
