//! The retry budget.

use rstest::rstest;
use woadstage_dispatch::budget::Budget;
use woadstage_dispatch::budget::Options;
use woadstage_types::id;
use woadstage_types::unit::Span;

use crate::support::at;

fn budget() -> Budget {
    Budget::new(Options {
        ratio: 0.2,
        extra: 9.0,
        window: Span::from_secs(10),
        safety_factor: 1.0,
    })
}

#[rstest]
#[case::single_node(1, 29)]
#[case::one_of_three_nodes(3, 23)]
#[case::one_of_nine_nodes(9, 21)]
fn a_node_uses_its_own_share_only(#[case] nodes: usize, #[case] allowed: usize) {
    let target = id::Target::new("service");
    let mut budget = budget();
    for millis in 0..100 {
        budget.record_request(at(millis), &target);
    }
    let spent = (0..100)
        .filter(|_| budget.try_spend(at(200), &target, nodes))
        .count();
    assert_eq!(spent, allowed);
}

#[test]
fn requests_and_retries_expire_with_the_window() {
    let target = id::Target::new("service");
    let mut budget = budget();
    budget.record_request(at(0), &target);
    let spent = (0..100)
        .filter(|_| budget.try_spend(at(0), &target, 1))
        .count();
    assert_eq!(spent, 9);
    assert!(!budget.try_spend(at(9_000), &target, 1));
    assert!(budget.try_spend(at(10_100), &target, 1));
}

#[test]
fn a_service_without_requests_has_no_budget() {
    assert_eq!(budget().remaining(at(0), &id::Target::new("other"), 1), 0);
}

#[test]
fn a_retry_that_was_not_made_can_be_taken_again() {
    let target = id::Target::new("service");
    let mut budget = budget();
    budget.record_request(at(0), &target);
    for millis in 0..9 {
        assert!(budget.try_spend(at(millis), &target, 1));
    }
    budget.refund(at(3), &target);
    assert!(budget.try_spend(at(10), &target, 1));
    assert!(!budget.try_spend(at(10), &target, 1));
    // The retries that were made expire when they would have anyway.
    assert_eq!(budget.remaining(at(10_003), &target, 1), 3);
    assert_eq!(budget.remaining(at(10_004), &target, 1), 3);
}
