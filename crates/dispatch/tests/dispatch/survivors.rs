//! What survives a restart of all other nodes in turn, followed by the loss of the node that learnt
//! it first.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::notice::Condition;
use woadstage_dispatch::notice::Field;
use woadstage_dispatch::notice::Notice;
use woadstage_dispatch::quarantine::Finding;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::binding::fleet::Fleet;
use crate::support;
use crate::support::MODEL;
use crate::support::job;
use crate::support::list;
use crate::support::node;
use crate::support::starts;

const NODES: u8 = 6;

/// The node that learns something first, and is killed in the end.
const FIRST: u8 = 1;

const PACE: Span = Span::from_millis(200);

const CRASHING: Fingerprint = Fingerprint(0xc4a5);

/// Has a node run a request and read a notice in its answer.
fn read_notice(dispatcher: &mut Dispatcher, now: Time, notice: Notice) {
    let id = dispatcher.enter(now, job(MODEL, 0, now));
    assert_eq!(starts(dispatcher).len(), 1);
    dispatcher.apply_notice(now, id, &notice);
    dispatcher.end(now, id, End::Whole);
}

fn read_leaving(dispatcher: &mut Dispatcher, now: Time) {
    let notice = Notice {
        leaving: true,
        ..Notice::default()
    };
    read_notice(dispatcher, now, notice);
}

fn knows_leaving(dispatcher: &mut Dispatcher, now: Time) -> bool {
    let notices = dispatcher.status(now).notices;
    notices
        .iter()
        .any(|notice| notice.condition == Condition::Leaving)
}

fn read_rate_limit(dispatcher: &mut Dispatcher, now: Time) {
    let notice = Notice {
        rate_limit: Field::Given("2".parse().expect("a limit")),
        ..Notice::default()
    };
    read_notice(dispatcher, now, notice);
}

fn knows_rate_limit(dispatcher: &mut Dispatcher, now: Time) -> bool {
    !dispatcher.status(now).rate_limits.is_empty()
}

fn read_tolerance(dispatcher: &mut Dispatcher, now: Time) {
    let notice = Notice {
        tolerance: Field::Given("3".parse().expect("a tolerance")),
        ..Notice::default()
    };
    read_notice(dispatcher, now, notice);
}

fn knows_tolerance(dispatcher: &mut Dispatcher, now: Time) -> bool {
    !dispatcher.status(now).tolerances.is_empty()
}

/// Takes findings that bar a request.
fn hear_bar(dispatcher: &mut Dispatcher, now: Time) {
    let finding = Finding {
        feature: CRASHING.into(),
        ends: (1..=5).collect(),
        cleared: 0,
        trials: 0,
        age_s: 0,
    };
    dispatcher.take_findings(now, &[finding]);
}

fn knows_bar(dispatcher: &mut Dispatcher, now: Time) -> bool {
    dispatcher.is_barred(now, CRASHING)
}

/// Runs a request whose endpoint ends once: suspected, not barred.
fn charge_once(dispatcher: &mut Dispatcher, now: Time) {
    let request = Job {
        fingerprint: CRASHING,
        ..job(MODEL, 0, now)
    };
    let id = dispatcher.enter(now, request);
    assert_eq!(starts(dispatcher).len(), 1);
    dispatcher.end(now, id, End::Lost);
    let endpoint = endpoint::number_of("one");
    dispatcher.record_endpoint_ended(now, endpoint);
}

fn knows_charge(dispatcher: &mut Dispatcher, _now: Time) -> bool {
    dispatcher.quarantine().get(CRASHING).is_some()
}

/// Guards against knowledge that only a restarted node's predecessor held.
#[rstest]
#[case::an_endpoint_that_is_leaving(read_leaving, knows_leaving)]
#[case::a_rate_limit(read_rate_limit, knows_rate_limit)]
#[case::a_tolerance(read_tolerance, knows_tolerance)]
#[case::a_barred_request(hear_bar, knows_bar)]
#[case::a_charged_request(charge_once, knows_charge)]
fn nodes_know_after_all_others_restarted_and_the_first_died(
    #[values(false, true)] stops: bool,
    #[case] learn: fn(&mut Dispatcher, Time),
    #[case] knows: fn(&mut Dispatcher, Time) -> bool,
) {
    let endpoints: Arc<List> = list(1, &[support::endpoint("one", MODEL, 4)]);
    let mut fleet = Fleet::with_list(NODES, &endpoints);
    fleet.run_for(Span::from_secs(3));
    let now = fleet.now;
    learn(fleet.nodes.get_mut(&node(FIRST)).expect("it lives"), now);
    fleet.run_for(Span::from_secs(1));
    for number in 2..=NODES {
        if stops {
            let stopped = fleet.nodes.get_mut(&node(number)).expect("it lives");
            stopped.leave();
            fleet.run_for(PACE);
        }
        fleet.start_node(number, 100 + u64::from(number), &endpoints);
        fleet.run_for(PACE);
    }
    fleet.run_for(Span::from_secs(1));
    fleet.nodes.remove(&node(FIRST));
    fleet.run_for(Span::from_secs(1));
    let now = fleet.now;
    let mut survivors = fleet.nodes.values_mut();
    assert!(survivors.all(|dispatcher| knows(dispatcher, now)));
}
