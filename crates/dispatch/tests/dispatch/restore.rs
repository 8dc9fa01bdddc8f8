//! Lists of endpoints after the platform is restored from an older copy of the data it had
//! acknowledged.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::message::Document;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::protocol::Protocol;
use woadstage_types::id;
use woadstage_types::unit::Time;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::job;
use crate::support::node;
use crate::support::options;
use crate::support::starts;
use crate::support::transfer_documents;

fn list(era: u64, revision: u64, endpoints: &[Endpoint]) -> List {
    List {
        era: Era(era),
        revision,
        settled: true,
        endpoints: endpoints.to_vec(),
        ..List::default()
    }
}

/// Returns a node that has a list of the first era.
fn node_with_list(endpoints: &[Endpoint]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options(1));
    dispatcher.set_configuration(at(0), configuration(1));
    set_list(&mut dispatcher, at(0), list(1, 100, endpoints));
    dispatcher
}

fn set_list(dispatcher: &mut Dispatcher, now: Time, list: List) -> bool {
    dispatcher.set_endpoints(now, Arc::new(list))
}

/// Publishes a settled list of an era and a revision.
fn publish(dispatcher: &mut Dispatcher, millis: u64, edition: (u64, u64), endpoints: &[Endpoint]) {
    let (era, revision) = edition;
    set_list(dispatcher, at(millis), list(era, revision, endpoints));
}

/// Publishes an unsettled list of the second era, which may lack endpoints.
fn restore(dispatcher: &mut Dispatcher, endpoints: &[Endpoint]) {
    let copy = List {
        settled: false,
        ..list(2, 99, endpoints)
    };
    set_list(dispatcher, at(2_000), copy);
}

fn plain(name: &str) -> Endpoint {
    endpoint(name, SERVICE, 1)
}

fn leaving(name: &str) -> Endpoint {
    Endpoint {
        leaving: true,
        ..plain(name)
    }
}

fn started_at(name: &str, started_at: u64) -> Endpoint {
    Endpoint {
        started_at,
        ..plain(name)
    }
}

/// Returns the endpoints that are sent requests, of ten that arrive at once.
fn used(dispatcher: &mut Dispatcher, now: Time) -> Vec<String> {
    for _ in 0..10 {
        dispatcher.enter(now, job(SERVICE, 2, now));
    }
    let mut used: Vec<String> = starts(dispatcher).into_iter().map(|(_, to)| to).collect();
    used.sort();
    used
}

#[test]
fn a_lower_revision_of_a_later_era_is_newer() {
    let mut dispatcher = node_with_list(&[plain("a")]);
    assert!(set_list(&mut dispatcher, at(1), list(2, 90, &[plain("b")])));
    assert!(!set_list(
        &mut dispatcher,
        at(2),
        list(1, 101, &[plain("a")])
    ));
    assert_eq!(used(&mut dispatcher, at(3)), ["b"]);
}

#[test]
fn an_ended_endpoint_in_the_copy_is_not_used() {
    let mut dispatcher = node_with_list(&[plain("a"), plain("b")]);
    publish(&mut dispatcher, 1_000, (1, 101), &[plain("b")]);
    publish(&mut dispatcher, 2_000, (2, 99), &[plain("a"), plain("b")]);
    assert_eq!(used(&mut dispatcher, at(2_001)), ["b"]);
}

#[test]
fn a_leaving_endpoint_stays_leaving() {
    let mut dispatcher = node_with_list(&[plain("a"), plain("b")]);
    publish(
        &mut dispatcher,
        1_000,
        (1, 101),
        &[leaving("a"), plain("b")],
    );
    publish(&mut dispatcher, 2_000, (2, 99), &[plain("a"), plain("b")]);
    assert_eq!(used(&mut dispatcher, at(2_001)), ["b"]);
}

#[test]
fn an_earlier_start_of_an_endpoint_is_ignored() {
    let mut dispatcher = node_with_list(&[started_at("a", 5), plain("b")]);
    publish(
        &mut dispatcher,
        1_000,
        (1, 101),
        &[started_at("a", 9), plain("b")],
    );
    restore(&mut dispatcher, &[started_at("a", 5), plain("b")]);
    let known = dispatcher.endpoints().endpoints.iter();
    let mut known: Vec<u64> = known.map(|one| one.started_at).collect();
    known.sort();
    assert_eq!(known, [0, 9]);
}

#[test]
fn an_endpoint_missing_from_the_copy_is_kept_until_the_list_is_settled() {
    let mut dispatcher = node_with_list(&[plain("a")]);
    publish(&mut dispatcher, 1_000, (1, 101), &[plain("a"), plain("b")]);
    restore(&mut dispatcher, &[plain("a")]);
    assert_eq!(used(&mut dispatcher, at(2_001)), ["a", "b"]);
    let mut dispatcher = node_with_list(&[plain("a"), plain("b")]);
    publish(&mut dispatcher, 2_000, (2, 99), &[plain("a")]);
    assert_eq!(used(&mut dispatcher, at(2_001)), ["a"]);
}

#[test]
fn an_evacuation_holds_until_it_is_rewritten() {
    let mut dispatcher = node_with_list(&[plain("a")]);
    let evacuated = List {
        evacuated: vec![id::DataCentre::new("a")],
        ..list(1, 101, &[plain("a")])
    };
    set_list(&mut dispatcher, at(1_000), evacuated.clone());
    publish(&mut dispatcher, 2_000, (2, 99), &[plain("a")]);
    assert!(used(&mut dispatcher, at(2_001)).is_empty());
    // The evacuation is written again, then revoked.
    let again = List {
        era: Era(2),
        ..evacuated
    };
    set_list(&mut dispatcher, at(4_000), again);
    // Requests that waited are refused first.
    dispatcher.tick(at(12_900));
    publish(&mut dispatcher, 13_000, (2, 103), &[plain("a")]);
    assert_eq!(used(&mut dispatcher, at(13_001)), ["a"]);
}

/// Corrections that were never written again expire without another list.
#[test]
fn corrections_expire() {
    let mut dispatcher = node_with_list(&[plain("a"), plain("b")]);
    publish(&mut dispatcher, 1_000, (1, 101), &[plain("b")]);
    publish(&mut dispatcher, 2_000, (2, 99), &[plain("a"), plain("b")]);
    dispatcher.tick(at(11_999));
    assert_eq!(dispatcher.endpoints().endpoints.len(), 1);
    dispatcher.tick(at(12_001));
    assert_eq!(dispatcher.endpoints().endpoints.len(), 2);
}

#[test]
fn corrections_survive_a_second_restore() {
    let mut dispatcher = node_with_list(&[plain("a"), plain("b")]);
    publish(&mut dispatcher, 1_000, (1, 101), &[plain("b")]);
    for (era, millis) in [(2, 2_000), (3, 4_000)] {
        publish(
            &mut dispatcher,
            millis,
            (era, 99),
            &[plain("a"), plain("b")],
        );
        assert_eq!(dispatcher.endpoints().endpoints.len(), 1, "era {era}");
    }
}

/// Within an era the platform takes precedence: an endpoint that lapsed and is listed again is
/// used.
#[test]
fn an_endpoint_that_returns_in_the_same_era_is_used() {
    let mut dispatcher = node_with_list(&[plain("a"), plain("b")]);
    publish(&mut dispatcher, 1_000, (1, 101), &[plain("b")]);
    publish(&mut dispatcher, 2_000, (1, 102), &[plain("a"), plain("b")]);
    assert_eq!(used(&mut dispatcher, at(2_001)), ["a", "b"]);
}

#[test]
fn a_follower_takes_the_new_era_from_a_reader() {
    let mut reader = node_with_list(&[plain("a")]);
    set_list(&mut reader, at(1_000), list(2, 90, &[plain("b")]));
    let mut other = node_with_list(&[plain("a")]);
    transfer_documents(&reader, &mut other);
    assert_eq!(other.edition(), reader.edition());
    let mut behind = node_with_list(&[plain("c")]);
    // In the other direction, the list is not newer.
    let before = reader.edition();
    set_list(&mut behind, at(1), list(1, 5_000, &[plain("c")]));
    transfer_documents(&behind, &mut reader);
    assert_eq!(reader.edition(), before);
}

/// Nodes that do not support eras cannot tell whether their list predates a restore.
#[rstest]
#[case::without_eras(Protocol::FIRST, Era(0), 1, false)]
#[case::newer(Protocol::CURRENT, Era(1), 1, true)]
#[case::no_own_list(Protocol::FIRST, Era(0), 0, true)]
fn lists_of_other_nodes(
    #[case] protocol: Protocol,
    #[case] era: Era,
    #[case] own: u64,
    #[case] asked: bool,
) {
    let mut dispatcher = Dispatcher::new(options(1));
    if own > 0 {
        publish(&mut dispatcher, 0, (own, 100), &[]);
    }
    let reported = Status {
        incarnation: 2,
        sequence: 1,
        endpoints: list(era.0, 200, &[]).edition(),
        protocol,
        ..Status::default()
    };
    dispatcher.receive_status(at(1), node(2), reported);
    let ahead = dispatcher.newer_peer_opt(at(2), Document::Endpoints, 0);
    assert_eq!(ahead.is_some(), asked);
}

#[rstest]
#[case::none_heard(None, 200, false)]
#[case::none_heard_in_time(None, 400, true)]
#[case::another_has_the_same_version(Some(5), 100, true)]
#[case::another_has_a_newer_version(Some(6), 400, false)]
#[case::newer_version_overdue(Some(6), 1_200, true)]
fn a_starting_node_waits_for_a_newer_configuration(
    #[case] heard: Option<u64>,
    #[case] after: u64,
    #[case] ready: bool,
) {
    let mut dispatcher = Dispatcher::new(woadstage_dispatch::dispatcher::Options {
        seeds: vec![node(2)],
        ..options(1)
    });
    dispatcher.tick(at(0));
    dispatcher.set_configuration(at(0), configuration(5));
    publish(&mut dispatcher, 0, (2, 90), &[]);
    if let Some(configuration) = heard {
        let reported = Status {
            incarnation: 2,
            sequence: 1,
            configuration,
            ..Status::default()
        };
        dispatcher.receive_status(at(50), node(2), reported);
    }
    assert_eq!(dispatcher.is_ready(at(after)), ready);
}

/// A node that loses the platform right after a restore keeps the endpoints that the copy
/// lacked, because no settled list has reported them as gone.
#[test]
fn endpoints_missing_from_an_unsettled_copy_outlast_corrections() {
    let mut dispatcher = node_with_list(&[plain("a"), plain("b"), plain("c")]);
    publish(&mut dispatcher, 1_000, (1, 101), &[plain("b"), plain("c")]);
    restore(&mut dispatcher, &[plain("a"), plain("b")]);
    dispatcher.tick(at(12_001));
    assert_eq!(used(&mut dispatcher, at(12_002)), ["a", "b", "c"]);
}

/// Guards against a failure in which three of four nodes refused all requests for 27 s and
/// more, as if every data centre were evacuated. The platform was restored twice from a copy
/// that still contained an evacuation since revoked. One node read the new era and kept the
/// evacuation for 10 s, as it should, but passed its corrected list on under the edition of the
/// platform's own list. When the correction expired, nothing told the other nodes, and they
/// dropped what they read themselves because it had the same edition.
#[test]
fn a_correction_expires_on_nodes_that_received_the_list() {
    let mut reader = node_with_list(&[plain("a")]);
    let evacuated = List {
        evacuated: vec![id::DataCentre::new("a")],
        ..list(1, 101, &[plain("a")])
    };
    set_list(&mut reader, at(1_000), evacuated);
    publish(&mut reader, 2_000, (2, 99), &[plain("a")]);
    assert_eq!(used(&mut reader, at(2_100)), [""; 0]);
    let mut other = node_with_list(&[plain("a")]);
    transfer_documents(&reader, &mut other);
    for millis in (2_100..=13_000).step_by(100) {
        reader.tick(at(millis));
        other.tick(at(millis));
    }
    assert_eq!(used(&mut reader, at(13_001)), ["a"]);
    assert_eq!(used(&mut other, at(13_001)), ["a"]);
}
