//! The state of one link, and what a node makes of several.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::ForwardEnd;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::link::Change;
use woadstage_dispatch::link::Evidence;
use woadstage_dispatch::link::Link;
use woadstage_dispatch::link::Options;
use woadstage_dispatch::link::Probe;
use woadstage_dispatch::message::LostLinks;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::protocol::Protocol;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::MODEL;
use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::node;
use crate::support::starts;

/// Returns a link in doubt whose probe has begun.
fn doubted(evidence: Evidence) -> Link {
    let mut link = Link::default();
    link.doubt(at(0), evidence);
    assert!(link.is_probe_due(at(0)));
    link.start_probe(at(0), &Options::default());
    assert!(!link.is_probe_due(at(0)));
    link
}

#[rstest]
#[case::answered(Evidence::Silence, Probe::Answered, true, false)]
#[case::refused(Evidence::ConnectFailed, Probe::Failed, false, true)]
#[case::silent_like_all_others(Evidence::Silence, Probe::Connected, true, true)]
#[case::silent_alone(Evidence::Silence, Probe::Connected, false, false)]
#[case::connects_again(Evidence::ConnectFailed, Probe::Connected, true, false)]
fn a_probe_decides_a_doubt(
    #[case] evidence: Evidence,
    #[case] probe: Probe,
    #[case] is_deaf: bool,
    #[case] is_lost: bool,
) {
    let mut link = doubted(evidence);
    let change = link.finish_probe(at(10), probe, is_deaf, &Options::default());
    assert_eq!(change, is_lost.then_some(Change::Lost(evidence)));
    assert_eq!(link.is_lost(), is_lost);
}

/// Lets a link be lost and returns when it is used again although each probe succeeds from then on.
fn regain(link: &mut Link, lost_at: Time) -> Time {
    let options = Options::default();
    link.doubt(lost_at, Evidence::ConnectFailed);
    link.start_probe(lost_at, &options);
    link.finish_probe(lost_at, Probe::Failed, false, &options);
    let mut now = lost_at;
    while link.is_lost() {
        now = now + Span::from_millis(20);
        if link.is_probe_due(now) {
            link.start_probe(now, &options);
            link.finish_probe(now, Probe::Answered, false, &options);
        }
    }
    now
}

#[test]
fn a_lost_link_is_used_again_within_three_seconds_and_a_flapping_one_later() {
    let mut link = Link::default();
    let first = regain(&mut link, at(0));
    let second = regain(&mut link, at(3_000));
    let (first, second) = (first.since(at(0)), second.since(at(3_000)));
    assert!(
        first < second && second < Span::from_secs(3),
        "{first} {second}"
    );
}

#[test]
fn an_answer_on_an_open_connection_regains_only_a_link_that_was_silent() {
    let options = Options::default();
    let mut silent = doubted(Evidence::Silence);
    silent.finish_probe(at(10), Probe::Connected, true, &options);
    assert!(matches!(
        silent.record_heard(at(20)),
        Some(Change::Regained(_))
    ));
    let mut refused = doubted(Evidence::ConnectFailed);
    refused.finish_probe(at(10), Probe::Failed, false, &options);
    assert_eq!(refused.record_heard(at(20)), None);
    assert!(refused.is_lost());
}

fn endpoints() -> Vec<Endpoint> {
    ["e1", "e2", "e3"]
        .map(|name| endpoint(name, MODEL, 4))
        .to_vec()
}

/// Lets a node hear the status of another one.
fn hear(dispatcher: &mut Dispatcher, now: Time, number: u8, status: Status) {
    let status = Status {
        incarnation: u64::from(number),
        sequence: now.0,
        configuration: configuration(1).version,
        ..status
    };
    dispatcher.receive_status(now, node(number), status);
}

/// Returns a node that hears the nodes 2 and 3 and whose links to all endpoints are lost.
fn cut_node() -> Dispatcher {
    let mut dispatcher = dispatcher(&endpoints());
    for number in [2, 3] {
        hear(&mut dispatcher, at(0), number, Status::default());
    }
    for one in endpoints() {
        let target = dispatcher.probe_target_opt(at(0), &one);
        assert!(target.is_some());
        dispatcher.record_probe(at(0), &one, Probe::Failed);
    }
    dispatcher
}

fn forwards(dispatcher: &mut Dispatcher) -> Vec<(job::Id, u8)> {
    let decisions = dispatcher.take_decisions().into_iter();
    let forwards = decisions.filter_map(|decision| match decision {
        Decision::Forward { job, node, .. } => Some((job, node.ip().octets()[3])),
        Decision::Start { .. } | Decision::Refuse { .. } => None,
    });
    forwards.collect()
}

#[test]
fn a_node_without_links_forwards_to_the_others_evenly() {
    let mut dispatcher = cut_node();
    for _ in 0..4 {
        dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    }
    let mut nodes: Vec<u8> = forwards(&mut dispatcher)
        .iter()
        .map(|(_, node)| *node)
        .collect();
    nodes.sort_unstable();
    assert_eq!(nodes, [2, 2, 3, 3]);
}

#[test]
fn a_forwarded_request_is_never_forwarded_again() {
    let mut dispatcher = cut_node();
    let arrived = Job {
        is_forwarded: true,
        ..job(MODEL, 2, at(1))
    };
    dispatcher.enter(at(1), arrived);
    assert_eq!(forwards(&mut dispatcher), []);
}

#[rstest]
#[case::of_an_earlier_build(Status { protocol: Protocol::SHARED_ADMISSION, ..Status::default() })]
#[case::that_stops(Status { leaving: true, ..Status::default() })]
#[case::without_links_itself(Status { lost_links: vec![lost(100)], ..Status::default() })]
#[case::that_reaches_few(Status { lost_links: vec![lost(60)], ..Status::default() })]
fn nothing_is_forwarded_to_a_node(#[case] status: Status) {
    let mut dispatcher = cut_node();
    hear(&mut dispatcher, at(10), 3, status);
    for _ in 0..4 {
        dispatcher.enter(at(11), job(MODEL, 2, at(11)));
    }
    let forwards = forwards(&mut dispatcher);
    assert_eq!(forwards.len(), 4);
    assert!(forwards.iter().all(|(_, node)| *node == 2), "{forwards:?}");
}

fn lost(percent: u8) -> LostLinks {
    LostLinks {
        service: woadstage_dispatch::endpoint::number_of(MODEL),
        percent,
    }
}

#[rstest]
#[case::not_sent(ForwardEnd::NotSent, false, Next::Again)]
#[case::declined(ForwardEnd::Declined, false, Next::Again)]
#[case::lost_and_repeatable(ForwardEnd::Lost, true, Next::Again)]
fn a_request_that_did_not_run_goes_to_another_node(
    #[case] end: ForwardEnd,
    #[case] repeatable: bool,
    #[case] next: Next,
) {
    let mut dispatcher = cut_node();
    let request = Job {
        repeatable,
        attempts: 2,
        ..job(MODEL, 2, at(1))
    };
    dispatcher.enter(at(1), request);
    let (id, first) = forwards(&mut dispatcher)[0];
    assert_eq!(dispatcher.end_forward(at(2), id, end), next);
    let (again, second) = forwards(&mut dispatcher)[0];
    assert_eq!(again, id);
    assert_ne!(first, second);
}

#[test]
fn a_request_that_may_have_run_at_another_node_is_not_sent_again() {
    let mut dispatcher = cut_node();
    dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    let (id, _) = forwards(&mut dispatcher)[0];
    let next = dispatcher.end_forward(at(2), id, ForwardEnd::Lost);
    assert!(matches!(next, Next::Final(_)), "{next:?}");
    assert_eq!(dispatcher.held(), 0);
}

#[test]
fn waiting_requests_are_forwarded_once_links_are_lost() {
    let mut dispatcher = dispatcher(&endpoints()[..1]);
    hear(&mut dispatcher, at(0), 2, Status::default());
    for _ in 0..6 {
        dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    }
    let sent = starts(&mut dispatcher).len();
    let one = endpoints().remove(0);
    dispatcher.probe_target_opt(at(2), &one);
    dispatcher.record_probe(at(2), &one, Probe::Failed);
    dispatcher.tick(at(20));
    assert_eq!(forwards(&mut dispatcher).len(), 6 - sent);
}

#[test]
fn calls_that_hang_on_a_lost_link_are_no_load() {
    let mut dispatcher = dispatcher(&endpoints()[..1]);
    dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    assert_eq!(dispatcher.status(at(2)).loads[0].running, 1);
    let one = endpoints().remove(0);
    dispatcher.probe_target_opt(at(2), &one);
    dispatcher.record_probe(at(2), &one, Probe::Failed);
    let status = dispatcher.status(at(3));
    assert_eq!(status.loads[0].running, 0);
    assert_eq!(status.lost_links[0].percent, 100);
}

#[test]
fn an_endpoint_that_two_others_report_is_probed_and_then_used() {
    let mut dispatcher = dispatcher(&endpoints()[..1]);
    let one = endpoints().remove(0);
    let load = woadstage_dispatch::message::Load {
        endpoint: one.to_number(),
        running: 0,
        pending_tokens: 0,
        unavailability: Some(woadstage_dispatch::message::Unavailability::Unreachable),
    };
    for number in [2, 3] {
        let status = Status {
            loads: vec![load],
            ..Status::default()
        };
        hear(&mut dispatcher, at(0), number, status);
    }
    dispatcher.tick(at(20));
    dispatcher.enter(at(21), job(MODEL, 2, at(21)));
    assert_eq!(starts(&mut dispatcher).len(), 0);
    assert_eq!(dispatcher.take_probe_targets(at(22)).len(), 1);
    dispatcher.record_probe(at(23), &one, Probe::Answered);
    dispatcher.tick(at(40));
    assert_eq!(starts(&mut dispatcher).len(), 1);
}

/// All connections of this node are refused, as when its links are cut: no endpoint has ended.
#[test]
fn refused_connections_charge_nothing_while_no_other_endpoint_is_reached() {
    let mut dispatcher = dispatcher(&endpoints());
    let request = Job {
        repeatable: true,
        attempts: 4,
        ..job(MODEL, 2, at(1))
    };
    dispatcher.enter(at(1), request.clone());
    let (id, name) = starts(&mut dispatcher).remove(0);
    dispatcher.end(at(2), id, End::Lost);
    let refused = endpoint(&name, MODEL, 4);
    let other = dispatcher
        .record_refused(at(3), &refused)
        .expect("another endpoint");
    assert!(dispatcher.take_changes().is_empty());
    dispatcher.record_connected(at(4), &other.endpoint);
    assert_eq!(dispatcher.take_changes().len(), 1);
}

/// Guards against charging endpoints whose links were lost with those of all others: the first one that
/// was reached again counted as proof that the others had ended.
#[test]
fn endpoints_that_are_reached_again_one_after_the_other_have_not_ended() {
    let mut dispatcher = dispatcher(&endpoints());
    let mut started = Vec::new();
    for _ in 0..endpoints().len() {
        dispatcher.enter(at(1), job(MODEL, 2, at(1)));
        started.append(&mut starts(&mut dispatcher));
    }
    for (id, name) in started {
        dispatcher.end(at(2), id, End::Lost);
        dispatcher.record_refused(at(3), &endpoint(&name, MODEL, 4));
    }
    for (millis, reached) in (2_000..).zip(endpoints()) {
        dispatcher.tick(at(millis));
        dispatcher.record_connected(at(millis), &reached);
    }
    assert!(dispatcher.take_changes().is_empty());
}
