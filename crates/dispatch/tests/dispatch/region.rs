//! Tests that requests run only in the regions that their route and their customer allow.

use rstest::rstest;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::endpoint;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::map::HashMap;
use woadstage_dispatch::region::Constraint;
use woadstage_dispatch::region::Map;
use woadstage_dispatch::region::Regions;
use woadstage_dispatch::region::Restrictions;
use woadstage_types::code::Code;
use woadstage_types::id;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::options;
use crate::support::refusals;
use crate::support::starts;

/// Parses region names separated by blanks.
fn regions(names: &str) -> Regions {
    Regions::new(names.split_whitespace().map(id::Region::new))
}

fn in_centre(name: &str, centre: &str) -> Endpoint {
    Endpoint {
        data_centre: id::DataCentre::new(centre),
        ..endpoint(name, SERVICE, 4)
    }
}

/// Creates a node that knows an endpoint in each of three data centres, of which two have a
/// known region.
fn node() -> Dispatcher {
    let known = [("a", "north"), ("b", "south")];
    let known = known.map(|(centre, region)| {
        let region = id::Region::new(region);
        (id::DataCentre::new(centre), region)
    });
    let mut dispatcher = Dispatcher::new(Options {
        regions: Map::new(HashMap::from_iter(known)),
        ..options(1)
    });
    dispatcher.set_configuration(at(0), configuration(1));
    let endpoints = [
        in_centre("north", "a"),
        in_centre("south", "b"),
        in_centre("elsewhere", "c"),
    ];
    dispatcher.set_endpoints(at(0), list(1, &endpoints));
    dispatcher
}

fn restricted_job(route: &str, customer: &str) -> Job {
    Job {
        constraint: Constraint {
            route: regions(route),
            customer: regions(customer),
        },
        repeatable: true,
        attempts: 3,
        ..job(SERVICE, 2, at(1))
    }
}

#[rstest]
#[case::route_restricts("south", "", &["south"])]
#[case::customer_restricts("", "north", &["north"])]
#[case::both_agree("south north", "south", &["south"])]
#[case::both_restrict("north", "south", &[])]
#[case::a_region_that_is_not_known("west", "", &[])]
#[case::neither_restricts("", "", &["elsewhere", "north", "south"])]
fn requests_run_only_in_allowed_regions(
    #[case] route: &str,
    #[case] customer: &str,
    #[case] expected: &[&str],
) {
    let mut dispatcher = node();
    for _ in 0..12 {
        dispatcher.enter(at(1), restricted_job(route, customer));
    }
    let mut used: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, to)| to)
        .collect();
    used.sort();
    used.dedup();
    assert_eq!(used, expected);
}

#[test]
fn a_request_that_may_run_nowhere_is_refused_with_a_retry_time() {
    let mut dispatcher = node();
    let id = dispatcher.enter(at(1), restricted_job("north", "south"));
    dispatcher.tick(at(900));
    assert!(refusals(&mut dispatcher).is_empty());
    dispatcher.tick(at(1_100));
    let refused = refusals(&mut dispatcher);
    assert_eq!(refused.len(), 1);
    let (refused, code, retry_after) = refused[0];
    assert_eq!((refused, code), (id, Code::RegionClosed));
    assert!(retry_after.is_some());
}

#[test]
fn a_further_attempt_stays_within_the_region() {
    let mut dispatcher = node();
    let id = dispatcher.enter(at(1), restricted_job("south", ""));
    assert_eq!(starts(&mut dispatcher).len(), 1);
    dispatcher.end(at(2), id, End::Full);
    dispatcher.tick(at(400));
    assert!(starts(&mut dispatcher).is_empty());
}

/// Restrictions are sent beside the parts of a configuration.
#[test]
fn restrictions_are_applied_to_an_assembled_configuration() {
    let mut configuration = Configuration::clone(&configuration(4));
    configuration.routes[0].regions = regions("north");
    configuration.routes[2].regions = regions("north south");
    let restrictions = Restrictions::from_configuration(&configuration);
    let mut other = Configuration::clone(&configuration);
    for route in &mut other.routes {
        route.regions = regions("west");
    }
    restrictions.apply(&mut other);
    assert_eq!(other, configuration);
}

/// Owners in another region would count as near, or all data centres without a known region as one.
#[rstest]
#[case::same_region("a", "b", true)]
#[case::other_region("a", "c", false)]
#[case::unknown_region("d", "e", false)]
fn data_centres_of_one_region_are_recognised(
    #[case] own: &str,
    #[case] other: &str,
    #[case] same: bool,
) {
    let known = [("a", "north"), ("b", "north"), ("c", "south")];
    let known = known.map(|(centre, region)| {
        let region = id::Region::new(region);
        (id::DataCentre::new(centre), region)
    });
    let map = Map::new(HashMap::from_iter(known));
    let other = endpoint::number_of(other);
    assert_eq!(map.is_same_region(&id::DataCentre::new(own), other), same);
}
