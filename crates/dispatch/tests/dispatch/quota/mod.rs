//! Customer quotas: what a node admits from its bucket, by itself and with others.

use proptest::prelude::*;
use rstest::rstest;
use woadstage_dispatch::configuration::Quota;
use woadstage_dispatch::quota::Accounts;
use woadstage_dispatch::quota::Demand;
use woadstage_dispatch::quota::Options;
use woadstage_dispatch::quota::Reach;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::at;

mod usage;

const CUSTOMER: u64 = 7;

const QUOTA: Quota = Quota {
    per_second: 1_000.0,
    burst: 1_000.0,
    default_tokens: Some(1),
};

fn urgent(units: u64) -> Demand {
    Demand {
        units,
        relative_priority: 0.0,
        backlogged: false,
    }
}

fn accounts() -> Accounts {
    Accounts::new(Options::default())
}

/// Whether the only node of a fleet admits a request at this time.
fn is_admitted(accounts: &mut Accounts, now: Time, demand: Demand) -> bool {
    let admitted = accounts.admit(now, CUSTOMER, &QUOTA, demand, reach(1, 0));
    admitted.is_ok()
}

fn reach(nodes: usize, silent: usize) -> Reach {
    Reach {
        nodes,
        silent,
        isolated: false,
        one_cell: true,
    }
}

/// The units that a node admits when asked for 10 each millisecond.
fn admitted_units(accounts: &mut Accounts, reach: Reach, from: u64, to: u64) -> u64 {
    let granted = (from..to).filter(|millis| {
        accounts
            .admit(at(*millis), CUSTOMER, &QUOTA, urgent(10), reach)
            .is_ok()
    });
    granted.count() as u64 * 10
}

#[test]
fn one_node_admits_the_burst_and_the_rate() {
    let admitted = admitted_units(&mut accounts(), reach(1, 0), 0, 8_000);
    assert!((8_900..=9_010).contains(&admitted), "{admitted}");
}

#[test]
fn a_refused_request_fits_after_the_reported_wait() {
    let mut accounts = accounts();
    admitted_units(&mut accounts, reach(1, 0), 0, 1_000);
    let wait = accounts.admit(at(1_000), CUSTOMER, &QUOTA, urgent(500), reach(1, 0));
    let wait = wait.expect_err("over the limit").wait;
    assert!(is_admitted(
        &mut accounts,
        at(1_000) + wait + Span(1_000),
        urgent(500)
    ));
}

#[test]
fn a_request_larger_than_the_bucket_is_admitted_when_it_is_full() {
    let mut accounts = accounts();
    assert!(is_admitted(&mut accounts, at(0), urgent(5_000)));
    assert!(!is_admitted(&mut accounts, at(1_000), urgent(1)));
    assert!(is_admitted(&mut accounts, at(4_100), urgent(1)));
}

#[test]
fn a_refund_makes_the_units_available_again() {
    let mut accounts = accounts();
    assert!(is_admitted(&mut accounts, at(0), urgent(1_000)));
    assert!(!is_admitted(&mut accounts, at(0), urgent(1_000)));
    accounts.refund(CUSTOMER, 1_000);
    assert!(is_admitted(&mut accounts, at(0), urgent(1_000)));
}

#[test]
fn an_isolated_node_admits_a_fraction() {
    let isolated = Reach {
        nodes: 1,
        silent: 0,
        isolated: true,
        one_cell: true,
    };
    let admitted = admitted_units(&mut accounts(), isolated, 0, 8_000);
    assert!(admitted <= 2_300, "{admitted}");
}

#[test]
fn the_last_part_is_reserved_for_protected_or_small_requests() {
    let least_protected = |units| Demand {
        units,
        relative_priority: 1.0,
        backlogged: false,
    };
    let mut accounts = accounts();
    assert!(is_admitted(&mut accounts, at(0), urgent(600)));
    assert!(!is_admitted(&mut accounts, at(0), least_protected(100)));
    assert!(is_admitted(&mut accounts, at(0), least_protected(10)));
    assert!(is_admitted(&mut accounts, at(0), urgent(100)));
}

#[test]
fn the_overrun_is_only_for_idle_endpoints() {
    let options = Options {
        overrun: 0.25,
        part: 1.0,
        ..Options::default()
    };
    let rate = |backlogged| {
        let mut accounts = Accounts::new(options.clone());
        let demand = Demand {
            backlogged,
            ..urgent(10)
        };
        let admitted = (0..40_000).filter(|millis| is_admitted(&mut accounts, at(*millis), demand));
        // Without the initial burst of 1,000.
        (admitted.count() as u64 * 10 - 1_000) / 40
    };
    assert!((990..=1_010).contains(&rate(true)), "{}", rate(true));
    // A quarter more than the rate, and a quarter of the burst each eight seconds.
    assert!((1_270..=1_290).contains(&rate(false)), "{}", rate(false));
}

#[test]
fn usage_of_idle_endpoints_does_not_count_against_a_customer_later() {
    let mut accounts = Accounts::new(Options {
        overrun: 0.25,
        part: 1.0,
        ..Options::default()
    });
    for millis in 0..20_000 {
        let _ = accounts.admit(at(millis), CUSTOMER, &QUOTA, urgent(10), reach(1, 0));
    }
    let demand = Demand {
        backlogged: true,
        ..urgent(100)
    };
    let now = at(20_110);
    assert!(is_admitted(&mut accounts, now, demand));
}

#[test]
fn a_node_that_has_just_started_has_an_empty_bucket() {
    let mut accounts = accounts();
    accounts.record_start(at(0));
    let mut admit = |millis, units| is_admitted(&mut accounts, at(millis), urgent(units));
    assert!(!admit(500, 600));
    assert!(admit(500, 300));
    assert!(!admit(900, 700));
    assert!(admit(1_100, 700));
    assert!(!admit(1_100, 700));
}

/// While a bucket fills after the start, the reserved fraction is that of its possible
/// level and not of its capacity. Otherwise only the most protected requests would be
/// admitted for the first 350 ms.
#[test]
fn a_filling_bucket_admits_unprotected_requests_at_once() {
    let least_protected = |units| Demand {
        units,
        relative_priority: 1.0,
        backlogged: false,
    };
    let mut accounts = accounts();
    accounts.record_start(at(0));
    let mut admit = |millis, units| is_admitted(&mut accounts, at(millis), least_protected(units));
    assert!(!admit(200, 140));
    assert!(admit(200, 120));
    assert!(!admit(400, 200));
    assert!(admit(400, 130));
}

/// The view of a node in a fleet of ten nodes in several cells.
const TEN_NODES: Reach = Reach {
    nodes: 10,
    silent: 0,
    isolated: false,
    one_cell: false,
};

#[test]
fn a_node_without_an_owner_keeps_to_a_fraction_of_its_share() {
    let mut accounts = accounts();
    // A quarter of a tenth of 1,000 a second, with 8 s accumulated.
    let granted = (0..8_000).filter(|millis| {
        accounts
            .admit_without_owner(at(*millis), CUSTOMER, &QUOTA, urgent(1), TEN_NODES)
            .is_ok()
    });
    let admitted = granted.count();
    assert!((390..=401).contains(&admitted), "{admitted}");
}

#[test]
fn units_granted_by_owners_count_against_the_share_without_them() {
    let mut accounts = accounts();
    accounts.charge_node_share(at(0), CUSTOMER, &QUOTA, 200, TEN_NODES);
    let denied = accounts.admit_without_owner(at(0), CUSTOMER, &QUOTA, urgent(10), TEN_NODES);
    let wait = denied.expect_err("no share is accumulated").wait;
    assert_eq!(wait, Span::from_millis(400));
    let later = at(0) + wait;
    assert!(
        accounts
            .admit_without_owner(later, CUSTOMER, &QUOTA, urgent(10), TEN_NODES)
            .is_ok()
    );
}

#[test]
fn a_request_larger_than_the_accumulated_share_is_refused_without_an_owner() {
    let mut accounts = accounts();
    let admitted =
        accounts.admit_without_owner(at(60_000), CUSTOMER, &QUOTA, urgent(300), TEN_NODES);
    assert!(admitted.is_err());
}

#[test]
fn a_node_assumes_many_others_while_it_discovers_them() {
    let mut accounts = accounts();
    accounts.record_start(at(0));
    let mut admit = |millis, units| {
        accounts
            .admit_without_owner(at(millis), CUSTOMER, &QUOTA, urgent(units), reach(1, 0))
            .is_ok()
    };
    assert!(!admit(250, 100));
    assert!(admit(250, 1));
    // After the discovery time the only node may admit a quarter of the limit.
    assert!(admit(500, 100));
}

/// Accounts of a node that has just started, with an initial credit of 1,000: a third of
/// the allowance, which is a quarter of the 9,000 units in a window and 750 more.
fn accounts_with_credit() -> Accounts {
    let mut accounts = Accounts::new(Options {
        overrun: 0.25,
        slack: 750.0,
        initial: 1.0 / 3.0,
        ..Options::default()
    });
    accounts.record_start(at(0));
    accounts
}

#[rstest]
#[case::nobody_discovered_yet(at(0), reach(4, 0), 15)]
#[case::half_of_the_discovery_time(at(150), reach(4, 0), 125)]
#[case::all_are_discovered(at(500), reach(4, 0), 250)]
#[case::a_large_fleet(at(500), reach(100, 0), 10)]
#[case::isolated(at(500), Reach { isolated: true, ..reach(1, 0) }, 15)]
fn a_node_admits_its_share_of_the_initial_credit_once(
    #[case] now: Time,
    #[case] reach: Reach,
    #[case] share: u64,
) {
    let mut accounts = accounts_with_credit();
    let mut admit = |units| accounts.try_admit_initial(now, CUSTOMER, &QUOTA, urgent(units), reach);
    assert!(!admit(share + 1));
    assert!(admit(share));
    assert!(!admit(1));
}

/// Guards against a node that takes the first other one that it hears for the rest of the fleet.
#[rstest]
#[case::heard_just_now(at(500), 15)]
#[case::half_of_the_discovery_time(at(650), 125)]
#[case::all_are_discovered(at(800), 250)]
fn the_initial_credit_of_a_node_that_was_isolated_grows_once_it_hears_others(
    #[case] now: Time,
    #[case] share: u64,
) {
    let mut accounts = accounts_with_credit();
    accounts.record_heard(at(500));
    accounts.record_heard(at(600));
    let mut admit =
        |units| accounts.try_admit_initial(now, CUSTOMER, &QUOTA, urgent(units), reach(4, 0));
    assert!(!admit(share + 1));
    assert!(admit(share));
}

#[test]
fn initial_credit_is_reported_as_usage() {
    let mut accounts = accounts_with_credit();
    assert!(accounts.try_admit_initial(at(500), CUSTOMER, &QUOTA, urgent(200), reach(4, 0)));
    let reported = accounts.usage(at(500), 8);
    assert_eq!(reported.iter().map(|usage| usage.units).sum::<u64>(), 200);
}

proptest! {
    /// Both sides of a network partition together admit no more than the limit and the
    /// burst, wherever the fleet is split.
    #[test]
    fn both_sides_of_a_partition_keep_to_the_limit(nodes in 2usize..20, size in 1usize..19) {
        prop_assume!(size < nodes);
        let mut sides = [accounts(), accounts()];
        let reaches = [reach(nodes, nodes - size), reach(nodes, size)];
        let mut admitted = 0;
        for (side, reach) in sides.iter_mut().zip(reaches) {
            admitted += admitted_units(side, reach, 0, 8_000);
        }
        prop_assert!(admitted <= 9_050, "{admitted}");
    }
}
