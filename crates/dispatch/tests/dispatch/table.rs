//! Tests for finding the route and the customer of a request.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Key;
use woadstage_dispatch::configuration::Kind;
use woadstage_dispatch::configuration::Route;
use woadstage_dispatch::table::Table;
use woadstage_types::code::Code;
use woadstage_types::id;

use crate::support::route;

fn with_prefix(name: &str, prefix: &str) -> Route {
    Route {
        prefix: prefix.into(),
        ..route(name, "service", Kind::Once, 0)
    }
}

fn table() -> Table {
    let customer = Customer {
        name: id::Customer::new("customer"),
        keys: vec![Key::from_secret("secret")],
        priority: None,
        quota: None,
        regions: Default::default(),
    };
    let open = Route {
        anonymous: true,
        ..with_prefix("open", "/open/")
    };
    let elsewhere = Route {
        host: "other.example".into(),
        ..with_prefix("elsewhere", "/a/")
    };
    Table::new(Arc::new(Configuration {
        version: 1,
        routes: vec![
            with_prefix("short", "/a/"),
            with_prefix("long", "/a/b/"),
            open,
            elsewhere,
        ],
        customers: Some(vec![customer]),
        ..Configuration::default()
    }))
}

#[rstest]
#[case::the_only_one("host.example", "/a/x", Some("short"))]
#[case::the_longest("host.example", "/a/b/c/d", Some("long"))]
#[case::the_prefix_itself("host.example", "/a/b/", Some("long"))]
#[case::no_slash_at_the_end("host.example", "/a", None)]
#[case::not_within_a_name("host.example", "/ab/x", None)]
#[case::another_host("other.example", "/a/x", Some("elsewhere"))]
#[case::no_such_host("none.example", "/a/x", None)]
#[case::host_with_port("host.example:8080", "/a/x", Some("short"))]
#[case::host_in_capitals("HOST.example", "/a/x", Some("short"))]
#[case::an_empty_path("host.example", "", None)]
fn routes_are_found_by_the_longest_prefix_of_the_host(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let table = table();
    let found = table.route_opt(host, path).map(|route| route.name.as_str());
    assert_eq!(found, name);
}

#[rstest]
#[case::a_known_key("/a/x", Some("secret"), Ok(Some("customer")))]
#[case::an_unknown_key("/a/x", Some("other"), Err(Code::CustomerUnknown))]
#[case::no_key("/a/x", None, Err(Code::CustomerUnknown))]
#[case::no_key_is_needed("/open/x", None, Ok(None))]
#[case::no_route("/none/", Some("secret"), Err(Code::RouteUnknown))]
fn customers_are_found_by_key(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<Option<&str>, Code>,
) {
    let table = table();
    let found = table.find("host.example", path, key.map(Key::from_secret));
    let found = found.map(|found| found.customer.map(|customer| customer.name.as_str()));
    assert_eq!(found, expected);
}

#[test]
fn requests_are_distributed_by_weight() {
    let route = Route {
        targets: vec![
            (id::Target::new("a"), 90),
            (id::Target::new("b"), 10),
            (id::Target::new("c"), 0),
        ],
        ..with_prefix("shared", "/s/")
    };
    let count = |name: &str| {
        (0..1_000)
            .filter(|seed| route.target(*seed).is_some_and(|one| one.as_str() == name))
            .count()
    };
    assert_eq!((count("a"), count("b"), count("c")), (900, 100, 0));
}

#[test]
fn a_route_without_targets_yields_none() {
    let route = Route {
        targets: Vec::new(),
        ..with_prefix("nowhere", "/n/")
    };
    assert_eq!(route.target(5), None);
}

#[test]
fn debug_output_does_not_show_keys() {
    assert!(!format!("{:?}", Key::from_secret("secret")).contains("secret"));
}
