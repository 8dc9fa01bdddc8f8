//! One node and requests during which endpoints crashed: where they run, and what is
//! refused.

use woadstage_dispatch::dispatcher::Cause;
use woadstage_dispatch::dispatcher::Change;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Evidence;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::number_of;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::job::Part;
use woadstage_dispatch::job::Prompt;
use woadstage_dispatch::quarantine::Feature;
use woadstage_dispatch::quarantine::Finding;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::MODEL;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::refusals;
use crate::support::starts;

const SUSPECT: Fingerprint = Fingerprint(7);

fn endpoints() -> Vec<Endpoint> {
    let names = ["e1", "e2", "e3", "e4"];
    names.map(|name| endpoint(name, MODEL, 4)).to_vec()
}

fn request(what: Fingerprint, arrived: Time) -> Job {
    Job {
        fingerprint: what,
        repeatable: true,
        attempts: 4,
        ..job(MODEL, 2, arrived)
    }
}

/// Enters a request and returns its id and the endpoint that it was sent to.
fn send(dispatcher: &mut Dispatcher, now: Time, what: Fingerprint) -> (job::Id, String) {
    dispatcher.enter(now, request(what, now));
    starts(dispatcher).remove(0)
}

/// Crashes an endpoint while it runs a request.
fn crash_during(dispatcher: &mut Dispatcher, now: Time, id: job::Id, name: &str) -> Next {
    let next = dispatcher.end(now, id, End::Lost);
    dispatcher.record_endpoint_ended(now, endpoint(name, MODEL, 4).to_number());
    next
}

#[test]
fn a_barred_request_is_refused_with_a_long_retry_delay() {
    let mut dispatcher = dispatcher(&endpoints());
    for millis in [0, 1_000] {
        let once = Job {
            attempts: 1,
            ..request(SUSPECT, at(millis))
        };
        dispatcher.enter(at(millis), once);
        let (id, name) = starts(&mut dispatcher).remove(0);
        crash_during(&mut dispatcher, at(millis + 100), id, &name);
    }
    let change = |ends, barred| Change {
        feature: SUSPECT.into(),
        what: Evidence::Charged,
        ends,
        barred,
    };
    assert_eq!(
        dispatcher.take_changes(),
        [change(1, false), change(2, true)]
    );
    dispatcher.enter(at(2_000), request(SUSPECT, at(2_000)));
    let refused = refusals(&mut dispatcher);
    let (_, code, retry_after) = refused[0];
    assert_eq!(code, Code::Barred);
    assert!(retry_after.expect("a time") >= Span::from_secs(10));
    // Another request of the same customer is served.
    send(&mut dispatcher, at(2_001), Fingerprint(8));
}

#[test]
fn a_suspect_is_not_retried_by_the_node() {
    let mut dispatcher = dispatcher(&endpoints());
    let (id, name) = send(&mut dispatcher, at(0), SUSPECT);
    // The node does not know yet that the endpoint has crashed.
    assert_eq!(
        crash_during(&mut dispatcher, at(100), id, &name),
        Next::Again
    );
    let (again, other) = starts(&mut dispatcher).remove(0);
    assert_eq!(again, id);
    let next = crash_during(&mut dispatcher, at(200), id, &other);
    assert_eq!(next, Next::Final(Cause::Suspect));
    // One request in one attempt is charged once, whichever endpoints crash at the same
    // moment.
    assert!(!dispatcher.is_barred(at(200), SUSPECT));
}

#[test]
fn suspects_run_one_at_a_time_and_not_beside_each_other() {
    let mut dispatcher = dispatcher(&endpoints());
    let suspects = [SUSPECT, Fingerprint(8)];
    for what in suspects {
        let once = Job {
            attempts: 1,
            ..request(what, at(0))
        };
        dispatcher.enter(at(0), once);
        let (id, name) = starts(&mut dispatcher).remove(0);
        crash_during(&mut dispatcher, at(10), id, &name);
    }
    // The endpoints' back-off after a broken call is over.
    let now = at(20_000);
    let (first, one) = send(&mut dispatcher, now, SUSPECT);
    let (_, other) = send(&mut dispatcher, now, Fingerprint(8));
    assert_ne!(one, other);
    dispatcher.enter(now, request(SUSPECT, now));
    assert_eq!(starts(&mut dispatcher), []);
    // Once the request is known to be harmless, all copies run.
    dispatcher.end(at(20_100), first, End::Whole);
    assert_eq!(starts(&mut dispatcher).len(), 1);
    send(&mut dispatcher, at(20_101), SUSPECT);
}

#[test]
fn waiting_requests_are_refused_as_soon_as_they_are_barred() {
    let mut dispatcher = dispatcher(&[endpoint("e1", MODEL, 1), endpoint("e2", MODEL, 1)]);
    for millis in [0, 1] {
        send(&mut dispatcher, at(millis), Fingerprint(20 + millis));
    }
    dispatcher.enter(at(2), request(SUSPECT, at(2)));
    assert_eq!(starts(&mut dispatcher), []);
    let finding = Finding {
        feature: SUSPECT.into(),
        cleared: 0,
        ends: vec![1, 2],
        trials: 0,
        age_s: 0,
    };
    dispatcher.take_findings(at(3), &[finding]);
    assert_eq!(refusals(&mut dispatcher)[0].1, Code::Barred);
    assert_eq!(dispatcher.held(), 2);
}

#[test]
fn a_rejection_of_the_request_clears_nothing() {
    let mut dispatcher = dispatcher(&endpoints());
    let once = Job {
        attempts: 1,
        ..request(SUSPECT, at(0))
    };
    dispatcher.enter(at(0), once);
    let (id, name) = starts(&mut dispatcher).remove(0);
    crash_during(&mut dispatcher, at(10), id, &name);
    let (id, _) = send(&mut dispatcher, at(1_000), SUSPECT);
    dispatcher.end(at(1_010), id, End::Rejected);
    assert!(dispatcher.quarantine().is_suspect(SUSPECT));
    let (id, _) = send(&mut dispatcher, at(2_000), SUSPECT);
    dispatcher.end(at(2_010), id, End::Whole);
    assert!(!dispatcher.quarantine().is_suspect(SUSPECT));
}

/// A host falls silent, so that only the platform's list shows that its endpoint has
/// crashed.
#[test]
fn a_timed_out_request_is_charged_once_its_endpoint_is_unlisted() {
    let all = endpoints();
    let mut dispatcher = dispatcher(&all);
    let once = Job {
        attempts: 1,
        ..request(SUSPECT, at(0))
    };
    dispatcher.enter(at(0), once);
    let (id, name) = starts(&mut dispatcher).remove(0);
    dispatcher.end(at(2_000), id, End::Late);
    assert!(!dispatcher.quarantine().is_suspect(SUSPECT));
    let left: Vec<Endpoint> = all
        .into_iter()
        .filter(|one| one.name.as_str() != name)
        .collect();
    dispatcher.set_endpoints(at(4_000), list(2, &left));
    assert!(dispatcher.quarantine().is_suspect(SUSPECT));
}

const PART: u64 = 0xbad;
const COMPANION: u64 = 0x1;

fn prompt(what: Fingerprint, arrived: Time, ids: &[u64]) -> Job {
    let parts = ids.iter().map(|id| Part { id: *id, tokens: 1 });
    Job {
        prompt: Prompt {
            parts: parts.collect(),
            ..Prompt::default()
        },
        ..request(what, arrived)
    }
}

fn finding(part: u64, ends: &[u32]) -> Finding {
    Finding {
        feature: Feature::of_part(number_of(MODEL), part),
        cleared: 0,
        ends: ends.to_vec(),
        trials: 0,
        age_s: 0,
    }
}

#[test]
fn a_waiting_prompt_is_refused_as_soon_as_one_of_its_parts_is_barred() {
    let mut dispatcher = dispatcher(&[endpoint("e1", MODEL, 1)]);
    send(&mut dispatcher, at(0), Fingerprint(20));
    dispatcher.enter(at(2), prompt(SUSPECT, at(2), &[COMPANION, PART]));
    dispatcher.enter(at(2), prompt(Fingerprint(8), at(2), &[COMPANION]));
    dispatcher.take_findings(at(3), &[finding(PART, &[1, 2])]);
    let refused = refusals(&mut dispatcher);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1, Code::PartBarred);
    assert_eq!(dispatcher.held(), 2);
}

/// Of two parts that are charged with the same crashes each may be the cause.
#[test]
fn parts_with_the_same_crashes_are_barred_only_together() {
    let mut dispatcher = dispatcher(&endpoints());
    let both = [finding(PART, &[1, 2]), finding(COMPANION, &[1, 2])];
    dispatcher.take_findings(at(0), &both);
    dispatcher.enter(at(1), prompt(SUSPECT, at(1), &[COMPANION, PART, 7]));
    assert_eq!(refusals(&mut dispatcher)[0].1, Code::PartBarred);
    for part in [COMPANION, PART] {
        dispatcher.enter(at(2), prompt(Fingerprint(part), at(2), &[part]));
        assert_eq!(starts(&mut dispatcher).len(), 1);
    }
    // Another crash tells them apart.
    dispatcher.take_findings(at(3), &[finding(PART, &[1, 2, 3])]);
    dispatcher.enter(at(4), prompt(Fingerprint(9), at(4), &[PART, 8]));
    assert_eq!(refusals(&mut dispatcher)[0].1, Code::PartBarred);
    dispatcher.enter(at(5), prompt(Fingerprint(10), at(5), &[COMPANION]));
    assert_eq!(starts(&mut dispatcher).len(), 1);
}
