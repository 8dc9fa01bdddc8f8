//! Transfer of configurations between nodes in parts.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Key;
use woadstage_dispatch::configuration::Kind;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::configuration::Service;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::map::HashSet;
use woadstage_dispatch::message::Pull;
use woadstage_dispatch::parts::Digest;
use woadstage_dispatch::region::Regions;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::options;
use crate::support::pull_from;
use crate::support::route;
use crate::support::transfer_documents;

/// The number of routes of a long configuration.
const ROUTES: u32 = 1_500;

/// An entry of each kind, identified by its number; entries with different forms differ in
/// content.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    number: u32,
    form: u8,
}

fn to_route(entry: Entry) -> Route {
    Route {
        timeout: Span::from_secs(u64::from(entry.form) + 1),
        regions: regions(entry),
        ..route(&format!("route-{}", entry.number), SERVICE, Kind::Once, 0)
    }
}

/// Restricts some entries to regions and leaves others unrestricted.
fn regions(entry: Entry) -> Regions {
    let names = (0..entry.form % 3).map(|number| id::Region::new(&format!("region-{number}")));
    Regions::new(names)
}

fn to_service(entry: Entry) -> Service {
    Service {
        name: id::Target::new(&format!("service-{}", entry.number)),
        connections: u32::from(entry.form),
        engine: entry.form.is_multiple_of(2),
        cold: None,
        health_path: None,
    }
}

fn to_customer(entry: Entry) -> Customer {
    Customer {
        name: id::Customer::new(&format!("customer-{}", entry.number)),
        keys: vec![Key::from_secret(&format!(
            "{}-{}",
            entry.number, entry.form
        ))],
        priority: Some(entry.form),
        quota: None,
        regions: regions(entry),
    }
}

/// Returns a configuration of the entries. The last one wins if several have the same number.
fn to_configuration(version: u64, entries: &[Entry]) -> Configuration {
    let mut seen = HashSet::default();
    let entries = entries.iter().rev().copied();
    let entries: Vec<Entry> = entries.filter(|entry| seen.insert(entry.number)).collect();
    let all = || entries.iter().copied();
    Configuration {
        version,
        routes: all().map(to_route).collect(),
        services: all().map(to_service).collect(),
        customers: (!version.is_multiple_of(3)).then(|| all().map(to_customer).collect()),
        ..Configuration::default()
    }
}

fn node(number: u8, configuration: Configuration) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options(number));
    dispatcher.set_configuration(at(0), Arc::new(configuration));
    dispatcher
}

fn long_configuration(version: u64, form: u8) -> Configuration {
    let usual = (0..ROUTES).map(|number| Entry { number, form: 0 });
    let changed = Entry { number: 7, form };
    to_configuration(version, &usual.chain([changed]).collect::<Vec<_>>())
}

/// Returns the configuration with its entries sorted by name.
fn sorted(configuration: &Configuration) -> Configuration {
    let mut sorted = configuration.clone();
    sorted
        .routes
        .sort_by(|one, other| one.name.cmp(&other.name));
    sorted
        .services
        .sort_by(|one, other| one.name.as_str().cmp(other.name.as_str()));
    if let Some(customers) = &mut sorted.customers {
        customers.sort_by(|one, other| one.name.as_str().cmp(other.name.as_str()));
    }
    sorted
}

fn sorted_in_force(dispatcher: &Dispatcher) -> Configuration {
    sorted(
        dispatcher
            .configuration()
            .expect("a configuration is in force"),
    )
}

#[test]
fn a_small_change_to_a_long_configuration_transfers_little() {
    let newer = node(1, long_configuration(8, 1));
    let mut first = Dispatcher::new(options(2));
    let whole = transfer_documents(&newer, &mut first);
    let mut behind = node(3, long_configuration(7, 0));
    let change = transfer_documents(&newer, &mut behind);
    assert_eq!(sorted_in_force(&behind), sorted_in_force(&newer));
    assert!(change * 20 < whole, "{change} of {whole}");
    let asked = postcard::to_extend(
        &pull_from(&newer, &mut node(4, long_configuration(7, 0))),
        Vec::new(),
    );
    assert!(asked.expect("encodes").len() < 4 << 10);
}

#[test]
fn no_parts_are_listed_if_the_configuration_is_up_to_date() {
    let other = node(1, long_configuration(7, 0));
    let mut own = node(2, long_configuration(7, 0));
    assert_eq!(pull_from(&other, &mut own).held, []);
}

#[test]
fn an_interrupted_transfer_resumes_at_another_node() {
    let (one, other) = (
        node(1, long_configuration(8, 1)),
        node(2, long_configuration(8, 1)),
    );
    let mut behind = Dispatcher::new(options(3));
    let snapshot = one.snapshot(&pull_from(&one, &mut behind));
    let (parts, manifest) = (snapshot.parts, snapshot.manifest.expect("a manifest"));
    let (arrived, lost) = parts.split_at(parts.len() * 3 / 4);
    for part in arrived {
        behind.add_part(part.clone());
    }
    // Some parts are missing.
    assert!(!behind.receive_manifest(at(1), &manifest));
    assert_eq!(behind.configuration_version(), 0);
    let rest = other.snapshot(&pull_from(&other, &mut behind));
    assert_eq!(rest.parts, lost);
    transfer_documents(&other, &mut behind);
    assert_eq!(sorted_in_force(&behind), sorted_in_force(&other));
}

#[test]
fn parts_of_an_intermediate_version_are_reused() {
    let (old, next) = (
        node(1, long_configuration(7, 0)),
        node(2, long_configuration(8, 1)),
    );
    let mut behind = Dispatcher::new(options(3));
    for part in old.snapshot(&pull_from(&old, &mut behind)).parts {
        behind.add_part(part);
    }
    let rest = next.snapshot(&pull_from(&next, &mut behind));
    assert!(rest.parts.len() <= 3, "{}", rest.parts.len());
}

#[test]
fn unused_parts_stay_bounded() {
    let mut behind = Dispatcher::new(options(3));
    for form in 0..8 {
        let entries: Vec<Entry> = (0..ROUTES).map(|number| Entry { number, form }).collect();
        let newer = node(1, to_configuration(8, &entries));
        for part in newer.snapshot(&Pull::default()).parts {
            behind.add_part(part);
        }
    }
    let newest = node(2, long_configuration(9, 1));
    assert!(pull_from(&newest, &mut behind).held.len() <= 512);
    transfer_documents(&newest, &mut behind);
    assert_eq!(sorted_in_force(&behind), sorted_in_force(&newest));
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let entry = (0_u32..60, 0_u8..4).prop_map(|(number, form)| Entry { number, form });
    vec(entry, 0..80)
}

proptest! {
    #![proptest_config(Config::with_cases(64))]
    #[test]
    fn any_configuration_can_replace_any_other(
        old in entries(),
        new in entries(),
        lost in any::<u8>(),
        versions in (1_u64..6, 1_u64..6),
    ) {
        let (base, step) = versions;
        let newer = node(1, to_configuration(base + step, &new));
        let mut behind = node(2, to_configuration(base, &old));
        // An earlier transfer that was interrupted.
        let broken = newer.snapshot(&pull_from(&newer, &mut behind)).parts;
        let arrived = broken.len() * usize::from(lost) / 256;
        for part in broken.into_iter().take(arrived) {
            behind.add_part(part);
        }
        transfer_documents(&newer, &mut behind);
        assert_eq!(sorted_in_force(&behind), sorted_in_force(&newer));
        // The node can pass the configuration on in turn.
        let mut last = Dispatcher::new(options(3));
        transfer_documents(&behind, &mut last);
        assert_eq!(sorted_in_force(&last), sorted_in_force(&newer));
    }
}

fn digest(dispatcher: &Dispatcher) -> Digest {
    let table = dispatcher.table().expect("a configuration is in force");
    table.to_digest()
}

#[test]
fn a_transferred_configuration_has_the_same_digest() {
    let newer = node(1, long_configuration(8, 1));
    let mut behind = node(2, long_configuration(7, 0));
    transfer_documents(&newer, &mut behind);
    assert_eq!(digest(&behind), digest(&newer));
}

#[test]
fn different_contents_of_one_version_have_different_digests() {
    let names = [(8, 1), (8, 2), (7, 1)]
        .map(|(version, form)| digest(&node(1, long_configuration(version, form))));
    assert!(names[0] != names[1] && names[0] != names[2]);
}
