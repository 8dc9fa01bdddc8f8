//! Tests that published documents are applied and never go back to an older version.

use std::sync::Arc;

use woadstage_dispatch::configuration::Service;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::edition::Edition;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::message::Pull;
use woadstage_dispatch::message::Versions;
use woadstage_types::id;

use crate::support::MODEL;
use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::options;
use crate::support::starts;
use crate::support::transfer_documents;

#[test]
fn nothing_is_ready_before_both_documents_are_known() {
    let mut dispatcher = Dispatcher::new(options(1));
    assert!(!dispatcher.is_ready(at(0)));
    dispatcher.set_configuration(at(0), configuration(3));
    assert!(!dispatcher.is_ready(at(0)));
    dispatcher.set_endpoints(at(0), list(1, &[]));
    assert!(dispatcher.is_ready(at(0)));
    dispatcher.leave();
    assert!(!dispatcher.is_ready(at(0)));
}

#[test]
fn an_older_configuration_changes_nothing() {
    let mut dispatcher = dispatcher(&[]);
    assert!(dispatcher.set_configuration(at(0), configuration(7)));
    assert!(!dispatcher.set_configuration(at(1), configuration(5)));
    assert!(!dispatcher.set_configuration(at(1), configuration(7)));
    assert_eq!(dispatcher.configuration_version(), 7);
}

#[test]
fn documents_of_another_node_are_applied_only_if_newer() {
    let mut own = dispatcher(&[endpoint("e", SERVICE, 1)]);
    own.set_configuration(at(0), configuration(7));
    own.set_endpoints(at(0), list(9, &[endpoint("e", SERVICE, 1)]));
    let mut older = Dispatcher::new(options(2));
    older.set_configuration(at(0), configuration(6));
    older.set_endpoints(at(0), list(10, &[]));
    transfer_documents(&older, &mut own);
    assert_eq!(own.configuration_version(), 7);
    assert_eq!(own.edition().revision, 10);
    let mut newer = Dispatcher::new(options(3));
    newer.set_configuration(at(0), configuration(8));
    newer.set_endpoints(at(0), list(8, &[endpoint("e", SERVICE, 1)]));
    transfer_documents(&newer, &mut own);
    assert_eq!(own.configuration_version(), 8);
    assert_eq!(own.edition().revision, 10);
    // A manifest that arrives late changes nothing either.
    let late = older
        .snapshot(&Pull::default())
        .manifest
        .expect("a manifest");
    assert!(!own.receive_manifest(at(1), &late));
}

#[test]
fn a_node_is_sent_only_what_it_lacks() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 1)]);
    dispatcher.set_configuration(at(0), configuration(7));
    dispatcher.set_endpoints(at(0), list(9, &[]));
    let sent = |configuration, revision| {
        let endpoints = Edition {
            revision,
            settled: true,
            ..Edition::default()
        };
        let snapshot = dispatcher.snapshot(&Pull {
            known: Versions {
                configuration,
                endpoints,
            },
            held: Vec::new(),
            ..Pull::default()
        });
        (
            snapshot.manifest.is_some() && !snapshot.parts.is_empty(),
            snapshot.endpoints.is_some(),
        )
    };
    assert_eq!(sent(0, 0), (true, true));
    assert_eq!(sent(7, 8), (false, true));
    assert_eq!(sent(6, 9), (true, false));
    assert_eq!(sent(7, 9), (false, false));
}

/// Returns a list that may lack endpoints which still run.
fn unsettled(revision: u64, endpoints: &[Endpoint]) -> Arc<List> {
    Arc::new(List {
        settled: false,
        ..(*list(revision, endpoints)).clone()
    })
}

fn listed(dispatcher: &Dispatcher) -> Vec<&str> {
    let endpoints = dispatcher.endpoints().endpoints.iter();
    endpoints.map(|one| one.name.as_str()).collect()
}

#[test]
fn endpoints_missing_from_an_unsettled_list_are_kept_until_a_settled_one_arrives() {
    let leaving = Endpoint {
        leaving: true,
        ..endpoint("leaving", SERVICE, 4)
    };
    let [a, b, c] = ["a", "b", "c"].map(|name| endpoint(name, SERVICE, 4));
    let mut dispatcher = dispatcher(&[a.clone(), b, leaving]);
    assert!(dispatcher.set_endpoints(at(1), unsettled(5, &[])));
    assert_eq!(listed(&dispatcher), ["a", "b"]);
    dispatcher.enter(at(2), job(SERVICE, 2, at(2)));
    assert_eq!(starts(&mut dispatcher).len(), 1);
    assert!(dispatcher.set_endpoints(at(3), unsettled(6, &[a.clone(), c.clone()])));
    assert_eq!(listed(&dispatcher), ["a", "c", "b"]);
    // Another node that has just started reads less at the same revision.
    assert!(!dispatcher.set_endpoints(at(4), unsettled(6, &[])));
    assert!(dispatcher.set_endpoints(at(5), list(6, &[a, c])));
    assert_eq!(listed(&dispatcher), ["a", "c"]);
    assert!(!dispatcher.set_endpoints(at(6), unsettled(6, &[])));
}

#[test]
fn an_endpoint_that_leaves_or_is_gone_gets_no_new_requests() {
    let leaving = Endpoint {
        leaving: true,
        ..endpoint("e", SERVICE, 4)
    };
    for endpoints in [vec![leaving], vec![]] {
        let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
        let running = dispatcher.enter(at(0), job(SERVICE, 2, at(0)));
        starts(&mut dispatcher);
        dispatcher.set_endpoints(at(1), list(2, &endpoints));
        dispatcher.enter(at(2), job(SERVICE, 2, at(2)));
        assert_eq!(starts(&mut dispatcher), []);
        // What runs there ends normally.
        dispatcher.end(at(3), running, End::Whole);
    }
}

#[test]
fn an_endpoint_that_answers_that_it_is_leaving_gets_no_new_requests() {
    let mut dispatcher = dispatcher(&[endpoint("e", SERVICE, 4)]);
    let once = Job {
        attempts: 1,
        ..job(SERVICE, 2, at(0))
    };
    let id = dispatcher.enter(at(0), once);
    starts(&mut dispatcher);
    dispatcher.end(at(1), id, End::NotThere);
    dispatcher.enter(at(2), job(SERVICE, 2, at(2)));
    assert_eq!(starts(&mut dispatcher), []);
}

#[test]
fn running_requests_are_tracked_while_endpoints_come_and_go() {
    let all = ["a", "b", "c", "d"].map(|name| endpoint(name, SERVICE, 1));
    let mut dispatcher = dispatcher(&all);
    let ids: Vec<_> = (0..4)
        .map(|_| dispatcher.enter(at(0), job(SERVICE, 2, at(0))))
        .collect();
    starts(&mut dispatcher);
    dispatcher.set_endpoints(at(1), list(2, &all[2..]));
    for id in ids {
        dispatcher.end(at(2), id, End::Whole);
    }
    assert_eq!(dispatcher.held(), 0);
    let summary = dispatcher.summaries(at(3));
    assert!(summary.iter().all(|service| service.running == 0));
    dispatcher.set_endpoints(at(4), list(3, &all[..2]));
    dispatcher.enter(at(5), job(SERVICE, 2, at(5)));
    let (_, place) = starts(&mut dispatcher).remove(0);
    assert!(["a", "b"].contains(&place.as_str()));
}

/// Returns an endpoint with the given start, in milliseconds since 1970.
fn endpoint_started_at(name: &str, started_at: u64) -> Endpoint {
    Endpoint {
        started_at,
        ..endpoint(name, MODEL, 1)
    }
}

/// A restart ends what ran at the endpoint and clears its prompt cache.
#[test]
fn a_restarted_endpoint_inherits_nothing() {
    let mut dispatcher = dispatcher(&[endpoint_started_at("e", 1_000)]);
    let ran = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    assert_eq!(starts(&mut dispatcher).len(), 1);
    // Its only slot is taken.
    dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    assert_eq!(starts(&mut dispatcher), []);
    dispatcher.set_endpoints(at(2), list(2, &[endpoint_started_at("e", 2_000)]));
    assert_eq!(starts(&mut dispatcher).len(), 1);
    // The broken connection to the earlier start doesn't count against the later one.
    dispatcher.end(at(3), ran, End::Lost);
    let summary = dispatcher.summaries(at(4));
    let model = summary.iter().find(|one| one.target.as_str() == MODEL);
    let model = model.expect("the model has a pool");
    assert_eq!((model.running, model.usable, model.endpoints), (1, 1, 1));
}

/// What other nodes reported of the earlier start doesn't hold for the later one.
#[test]
fn each_start_of_an_endpoint_has_its_own_number() {
    let numbers = [0, 1_000, 2_000].map(|start| endpoint_started_at("e", start).to_number());
    assert_ne!(numbers[0], numbers[1]);
    assert_ne!(numbers[1], numbers[2]);
    assert_ne!(
        endpoint_started_at("e", 1_000).to_instance(),
        endpoint_started_at("e", 2_000).to_instance()
    );
    assert_eq!(endpoint_started_at("e", 1_000).to_number(), numbers[1]);
}

/// Others may write under the same keys. Endpoints of a service that isn't configured are
/// not used, until a configuration names the service.
#[test]
fn endpoints_of_a_service_that_is_not_configured_are_not_used() {
    let unconfigured = endpoint("x", "stranger", 4);
    let mut dispatcher = dispatcher(&[endpoint("e", MODEL, 1), unconfigured]);
    let targets = |dispatcher: &Dispatcher| {
        let summaries = dispatcher.summaries(at(1)).into_iter();
        let mut targets: Vec<String> = summaries
            .filter(|one| one.endpoints > 0)
            .map(|one| one.target.to_string())
            .collect();
        targets.sort();
        targets
    };
    assert_eq!(targets(&dispatcher), [MODEL]);
    let mut later = (*configuration(2)).clone();
    later.services.push(Service {
        name: id::Target::new("stranger"),
        connections: 100,
        engine: false,
        cold: None,
        health_path: None,
    });
    dispatcher.set_configuration(at(2), Arc::new(later));
    assert_eq!(targets(&dispatcher), [MODEL, "stranger"]);
}
