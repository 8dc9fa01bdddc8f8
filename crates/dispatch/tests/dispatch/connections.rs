//! Tests for the number of idle connections to an endpoint that a node may keep.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Service;
use woadstage_dispatch::message::Status;
use woadstage_types::id;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::node;

#[rstest]
#[case::alone(1, 490, 245)]
#[case::seven_hosts(7, 490, 35)]
#[case::more_hosts_than_connections(200, 100, 1)]
#[case::no_connections(7, 0, 1)]
#[case::unlimited(7, u32::MAX, 306_783_378)]
fn a_node_keeps_its_share_of_idle_connections(
    #[case] nodes: u8,
    #[case] max_connections: u32,
    #[case] expected: usize,
) {
    let mut dispatcher = dispatcher(&[]);
    let usual = configuration(2);
    let services = usual.services.iter().map(|service| Service {
        connections: max_connections,
        ..service.clone()
    });
    let configuration = Configuration {
        services: services.collect(),
        ..(*usual).clone()
    };
    dispatcher.set_configuration(at(1), Arc::new(configuration));
    for other in 2..=nodes {
        let status = Status {
            incarnation: u64::from(other),
            sequence: 1,
            ..Status::default()
        };
        dispatcher.receive_status(at(2), node(other), status);
    }
    let service = id::Target::new(SERVICE);
    assert_eq!(dispatcher.max_idle_connections(at(3), &service), expected);
}
