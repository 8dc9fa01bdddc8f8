//! Records of requests during which endpoints crashed: joining, bounds and expiry.

use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::strategy::Strategy;
use rstest::rstest;
use woadstage_dispatch::job::Fingerprint;
use woadstage_dispatch::quarantine::Attempt;
use woadstage_dispatch::quarantine::AttemptEnd;
use woadstage_dispatch::quarantine::Features;
use woadstage_dispatch::quarantine::Finding;
use woadstage_dispatch::quarantine::Options;
use woadstage_dispatch::quarantine::Record;
use woadstage_dispatch::quarantine::Registry;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::at;

const ONE: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

fn record() -> impl Strategy<Value = Record> {
    let ends = prop::collection::btree_set(0_u32..6, 0..5);
    (0_u32..3, ends, 0_u8..3, 0_u64..100).prop_map(|(cleared, ends, trials, last)| Record {
        cleared,
        ends: ends.into_iter().collect(),
        trials,
        last: Time(last),
    })
}

fn joined(one: &Record, other: &Record) -> Record {
    let mut joined = one.clone();
    joined.join(other);
    joined
}

/// Returns everything but the time: of two records that were cleared equally often the
/// later one counts.
fn without_time(record: &Record) -> (u32, Vec<u32>, u8) {
    (record.cleared, record.ends.clone(), record.trials)
}

proptest! {
    #[test]
    fn join_is_commutative_associative_and_idempotent(
        a in record(),
        b in record(),
        c in record(),
    ) {
        prop_assert_eq!(without_time(&joined(&a, &b)), without_time(&joined(&b, &a)));
        let left = joined(&joined(&a, &b), &c);
        let right = joined(&a, &joined(&b, &c));
        prop_assert_eq!(without_time(&left), without_time(&right));
        prop_assert_eq!(joined(&a, &a), a);
    }
}

/// An attempt at a request that broke right after its start.
fn attempt(what: Fingerprint, endpoint: u32) -> Attempt {
    Attempt {
        features: what.into(),
        endpoint,
        end: AttemptEnd::Broken,
    }
}

/// Records that a request was answered completely. Returns whether it had been charged.
fn record_whole(registry: &mut Registry, now: Time, what: Fingerprint) -> bool {
    let features = Features::from(what);
    !registry.record_whole(now, features.iter()).is_empty()
}

/// Charges a request with the crashes of endpoints.
fn charge(registry: &mut Registry, now: Time, what: Fingerprint, endpoints: &[u32]) {
    for endpoint in endpoints {
        registry.record_unconfirmed(now, attempt(what, *endpoint));
        registry.record_ended(now, *endpoint);
    }
}

fn ends(registry: &Registry, what: Fingerprint) -> usize {
    registry.get(what).map_or(0, |record| record.ends.len())
}

#[test]
fn attempts_broken_at_a_live_endpoint_are_not_charged() {
    let mut registry = Registry::new(Options::default());
    registry.record_unconfirmed(at(0), attempt(ONE, 7));
    registry.record_alive(7);
    assert_eq!(registry.record_ended(at(1), 7), []);
    assert!(!registry.is_suspect(ONE));
}

#[test]
fn each_request_that_broke_at_a_crashed_endpoint_is_charged_once() {
    let mut registry = Registry::new(Options::default());
    registry.record_unconfirmed(at(0), attempt(ONE, 7));
    registry.record_unconfirmed(at(0), attempt(OTHER, 7));
    registry.record_unconfirmed(at(1), attempt(ONE, 7));
    assert_eq!(registry.record_ended(at(2), 7), [ONE.into(), OTHER.into()]);
    assert_eq!(registry.record_ended(at(3), 7), []);
    assert_eq!((ends(&registry, ONE), ends(&registry, OTHER)), (1, 1));
}

#[test]
fn a_broken_attempt_is_not_charged_with_a_much_later_crash() {
    let mut registry = Registry::new(Options::default());
    registry.record_unconfirmed(at(0), attempt(ONE, 7));
    registry.expire(at(10_001));
    assert_eq!(registry.record_ended(at(10_002), 7), []);
}

#[test]
fn a_complete_answer_clears_a_request_on_all_nodes() {
    let mut one = Registry::new(Options::default());
    let mut other = Registry::new(Options::default());
    charge(&mut one, at(0), ONE, &[1, 2]);
    for finding in one.findings(at(1)) {
        assert!(other.merge(at(1), &finding));
    }
    assert!(record_whole(&mut other, at(2), ONE));
    for finding in other.findings(at(3)) {
        assert!(one.merge(at(3), &finding));
    }
    assert!(!one.is_suspect(ONE));
    assert_eq!(one.digest(), other.digest());
    // A finding that arrives late restores nothing.
    let late = Finding {
        feature: ONE.into(),
        cleared: 0,
        ends: vec![1, 2, 3],
        trials: 0,
        age_s: 0,
    };
    assert!(!one.merge(at(4), &late));
    assert!(!one.is_suspect(ONE));
}

#[test]
fn a_request_answered_recently_counts_as_cleared() {
    let mut registry = Registry::new(Options::default());
    record_whole(&mut registry, at(0), ONE);
    charge(&mut registry, at(1), ONE, &[1]);
    assert!(
        registry
            .get(ONE)
            .expect("the request is charged")
            .was_cleared()
    );
    charge(&mut registry, at(1), OTHER, &[2]);
    assert!(
        !registry
            .get(OTHER)
            .expect("the request is charged")
            .was_cleared()
    );
}

#[test]
fn memory_is_bounded_and_barred_requests_are_kept() {
    let options = Options {
        max_records: 64,
        ..Options::default()
    };
    let mut registry = Registry::new(options);
    charge(&mut registry, at(0), ONE, &[1, 2]);
    for number in 0..1_000_u32 {
        let what = Fingerprint(u64::from(number) + 10);
        charge(
            &mut registry,
            at(1 + u64::from(number)),
            what,
            &[number + 10],
        );
    }
    assert_eq!(registry.iter().count(), 64);
    assert_eq!(ends(&registry, ONE), 2);
    assert!(registry.findings(at(2_000)).len() <= Options::default().max_findings_per_message);
    // Only a few of many crashes of one request are kept.
    charge(
        &mut registry,
        at(3_000),
        ONE,
        &(100..200).collect::<Vec<u32>>(),
    );
    assert_eq!(ends(&registry, ONE), 8);
}

#[rstest]
#[case::not_barred(&[1], 0)]
#[case::barred(&[1, 2], 2)]
fn only_requests_that_are_not_barred_expire(#[case] endpoints: &[u32], #[case] left: usize) {
    let mut registry = Registry::new(Options::default());
    charge(&mut registry, at(0), ONE, endpoints);
    let later = at(0) + Span::from_secs(3_601);
    registry.expire(later);
    assert_eq!(ends(&registry, ONE), left);
    if left == 0 {
        assert_eq!(registry.digest(), 0);
        // Another node that forgets a moment later does not restore the record.
        let finding = Finding {
            feature: ONE.into(),
            cleared: 0,
            ends: vec![1],
            trials: 0,
            age_s: 3_601,
        };
        assert!(!registry.merge(later, &finding));
    }
}

/// All findings reach a node that knows nothing, however many there are.
#[test]
fn repeated_messages_send_all_findings_to_an_empty_node() {
    let mut one = Registry::new(Options::default());
    for number in 0..300_u32 {
        let what = Fingerprint(u64::from(number) + 10);
        charge(&mut one, at(0), what, &[number, number + 1_000]);
    }
    let mut other = Registry::new(Options::default());
    let mut turns = 0;
    while one.digest() != other.digest() {
        for finding in one.findings(at(1)) {
            other.merge(at(1), &finding);
        }
        turns += 1;
        assert!(turns <= 40, "{turns}");
    }
}

#[test]
fn findings_in_a_message_fit_a_datagram() {
    let mut registry = Registry::new(Options::default());
    for number in 0..100_u64 {
        let endpoints: Vec<u32> = (0..8).map(|end| u32::MAX - end - number as u32).collect();
        charge(
            &mut registry,
            at(0),
            Fingerprint(u64::MAX - number),
            &endpoints,
        );
    }
    let written = postcard::to_extend(&registry.findings(at(1)), Vec::new());
    let bytes = written.expect("encodes").len();
    // The largest datagram that a node reads.
    assert!(bytes <= 8 << 10, "{bytes}");
}

/// A crash may close the connections of its endpoint in order.
#[test]
fn an_answer_that_ended_with_its_connection_clears_once_its_endpoint_goes_on() {
    let mut registry = Registry::new(Options::default());
    charge(&mut registry, at(0), ONE, &[1]);
    let closed = |endpoint| Attempt {
        end: AttemptEnd::Closed,
        ..attempt(ONE, endpoint)
    };
    registry.record_unconfirmed(at(100), closed(2));
    registry.record_alive(2);
    assert_eq!(registry.record_answering(at(500), 2), []);
    registry.record_ended(at(550), 2);
    assert_eq!(ends(&registry, ONE), 2);
    registry.record_unconfirmed(at(600), closed(3));
    assert_eq!(registry.record_answering(at(1_100), 3), [ONE.into()]);
}

#[test]
fn an_answer_that_broke_off_late_is_charged_only_if_nothing_else_ran() {
    let mut registry = Registry::new(Options::default());
    let late = |what, endpoint| Attempt {
        end: AttemptEnd::BrokenLate,
        ..attempt(what, endpoint)
    };
    registry.record_unconfirmed(at(0), late(ONE, 1));
    registry.record_unconfirmed(at(0), attempt(OTHER, 1));
    assert_eq!(registry.record_ended(at(1), 1), [OTHER.into()]);
    registry.record_unconfirmed(at(2), late(ONE, 2));
    assert_eq!(registry.record_ended(at(3), 2), [ONE.into()]);
}
