//! What customers may use: what a node gives out of its bucket, alone and with
//! others.

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
    plain_tokens: Some(1),
};

fn urgent(units: u64) -> Demand {
    Demand {
        units,
        routine: 0.0,
        pressed: false,
    }
}

fn accounts() -> Accounts {
    Accounts::new(Options::default())
}

/// True where a node that is alone in its fleet admits a request then.
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

/// Units that one node gives out when asked for 10 each millisecond.
fn admitted_units(accounts: &mut Accounts, reach: Reach, from: u64, to: u64) -> u64 {
    let asked = (from..to).filter(|millis| {
        accounts
            .admit(at(*millis), CUSTOMER, &QUOTA, urgent(10), reach)
            .is_ok()
    });
    asked.count() as u64 * 10
}

#[test]
fn one_node_gives_out_the_burst_and_the_rate() {
    let admitted = admitted_units(&mut accounts(), reach(1, 0), 0, 8_000);
    assert!((8_900..=9_010).contains(&admitted), "{admitted}");
}

#[test]
fn what_is_refused_may_come_back_when_it_would_fit() {
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
fn a_request_larger_than_the_bucket_passes_when_that_is_full() {
    let mut accounts = accounts();
    assert!(is_admitted(&mut accounts, at(0), urgent(5_000)));
    assert!(!is_admitted(&mut accounts, at(1_000), urgent(1)));
    assert!(is_admitted(&mut accounts, at(4_100), urgent(1)));
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut accounts = accounts();
    assert!(is_admitted(&mut accounts, at(0), urgent(1_000)));
    assert!(!is_admitted(&mut accounts, at(0), urgent(1_000)));
    accounts.refund(CUSTOMER, 1_000);
    assert!(is_admitted(&mut accounts, at(0), urgent(1_000)));
}

#[test]
fn a_node_that_heard_nobody_gives_out_a_part() {
    let alone = Reach {
        nodes: 1,
        silent: 0,
        isolated: true,
        one_cell: true,
    };
    let admitted = admitted_units(&mut accounts(), alone, 0, 8_000);
    assert!(admitted <= 2_300, "{admitted}");
}

#[test]
fn the_last_part_is_for_what_is_protected_or_small() {
    let routine = |units| Demand {
        units,
        routine: 1.0,
        pressed: false,
    };
    let mut accounts = accounts();
    assert!(is_admitted(&mut accounts, at(0), urgent(600)));
    assert!(!is_admitted(&mut accounts, at(0), routine(100)));
    assert!(is_admitted(&mut accounts, at(0), routine(10)));
    assert!(is_admitted(&mut accounts, at(0), urgent(100)));
}

#[test]
fn the_overrun_is_for_spare_endpoints() {
    let options = Options {
        overrun: 0.25,
        part: 1.0,
        ..Options::default()
    };
    let rate = |pressed| {
        let mut accounts = Accounts::new(options.clone());
        let demand = Demand {
            pressed,
            ..urgent(10)
        };
        let admitted = (0..40_000).filter(|millis| is_admitted(&mut accounts, at(*millis), demand));
        // The burst of 1,000 counts once.
        (admitted.count() as u64 * 10 - 1_000) / 40
    };
    assert!((990..=1_010).contains(&rate(true)), "{}", rate(true));
    // A quarter of the rate, and of the burst in eight seconds.
    assert!((1_270..=1_290).contains(&rate(false)), "{}", rate(false));
}

#[test]
fn what_spare_endpoints_did_is_not_held_against_a_customer_later() {
    let mut accounts = Accounts::new(Options {
        overrun: 0.25,
        part: 1.0,
        ..Options::default()
    });
    for millis in 0..20_000 {
        let _ = accounts.admit(at(millis), CUSTOMER, &QUOTA, urgent(10), reach(1, 0));
    }
    let demand = Demand {
        pressed: true,
        ..urgent(100)
    };
    let now = at(20_110);
    assert!(is_admitted(&mut accounts, now, demand));
}

#[test]
fn a_node_that_has_just_started_has_an_empty_bucket() {
    let mut accounts = accounts();
    accounts.note_start(at(0));
    let mut admit = |millis, units| is_admitted(&mut accounts, at(millis), urgent(units));
    assert!(!admit(500, 600));
    assert!(admit(500, 300));
    assert!(!admit(900, 700));
    assert!(admit(1_100, 700));
    assert!(!admit(1_100, 700));
}

/// Of a bucket that fills from empty a part of what it can hold by then is kept, not of a
/// whole one: else nothing but the most protected would be admitted for its first 350 ms.
#[test]
fn of_a_bucket_that_fills_a_part_is_for_others_at_once() {
    let routine = |units| Demand {
        units,
        routine: 1.0,
        pressed: false,
    };
    let mut accounts = accounts();
    accounts.note_start(at(0));
    let mut admit = |millis, units| is_admitted(&mut accounts, at(millis), routine(units));
    assert!(!admit(200, 140));
    assert!(admit(200, 120));
    assert!(!admit(400, 200));
    assert!(admit(400, 130));
}

/// A fleet of ten nodes in several cells.
const TEN_NODES: Reach = Reach {
    nodes: 10,
    silent: 0,
    isolated: false,
    one_cell: false,
};

#[test]
fn a_node_that_reaches_no_owner_keeps_to_a_part_of_its_even_part() {
    let mut accounts = accounts();
    // A quarter of a tenth of 1,000 a second, of which 8 s are saved up.
    let asked = (0..8_000).filter(|millis| {
        accounts
            .admit_without_owner(at(*millis), CUSTOMER, &QUOTA, urgent(1), TEN_NODES)
            .is_ok()
    });
    let given = asked.count();
    assert!((390..=401).contains(&given), "{given}");
}

#[test]
fn what_owners_gave_out_counts_against_the_part_without_them() {
    let mut accounts = accounts();
    accounts.charge_node_share(at(0), CUSTOMER, &QUOTA, 200, TEN_NODES);
    let denied = accounts.admit_without_owner(at(0), CUSTOMER, &QUOTA, urgent(10), TEN_NODES);
    let wait = denied.expect_err("nothing is saved up").wait;
    assert_eq!(wait, Span::from_millis(400));
    let later = at(0) + wait;
    assert!(
        accounts
            .admit_without_owner(later, CUSTOMER, &QUOTA, urgent(10), TEN_NODES)
            .is_ok()
    );
}

#[test]
fn what_is_larger_than_a_node_may_save_up_does_not_pass_without_an_owner() {
    let mut accounts = accounts();
    let admitted =
        accounts.admit_without_owner(at(60_000), CUSTOMER, &QUOTA, urgent(300), TEN_NODES);
    assert!(admitted.is_err());
}

#[test]
fn a_node_that_still_meets_the_others_counts_with_many() {
    let mut accounts = accounts();
    accounts.note_start(at(0));
    let mut admit = |millis, units| {
        accounts
            .admit_without_owner(at(millis), CUSTOMER, &QUOTA, urgent(units), reach(1, 0))
            .is_ok()
    };
    assert!(!admit(250, 100));
    assert!(admit(250, 1));
    // By itself it would have a quarter of the limit.
    assert!(admit(500, 100));
}

/// Accounts of a node that has started and may give out an initial credit: of
/// the 9,000 of a window an allowance of 2,250 and 750, a third of it.
fn accounts_with_credit() -> Accounts {
    let mut accounts = Accounts::new(Options {
        overrun: 0.25,
        slack: 750.0,
        initial: 1.0 / 3.0,
        ..Options::default()
    });
    accounts.note_start(at(0));
    accounts
}

#[rstest]
#[case::not_yet_met(at(0), reach(4, 0), 15)]
#[case::half_the_time_to_meet(at(150), reach(4, 0), 125)]
#[case::all_are_met(at(500), reach(4, 0), 250)]
#[case::a_large_fleet(at(500), reach(100, 0), 10)]
#[case::nobody_was_heard(at(500), Reach { isolated: true, ..reach(1, 0) }, 15)]
fn a_node_gives_out_its_share_of_the_initial_credit_once(
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

#[test]
fn initial_credit_is_told_as_use() {
    let mut accounts = accounts_with_credit();
    assert!(accounts.try_admit_initial(at(500), CUSTOMER, &QUOTA, urgent(200), reach(4, 0)));
    let said = accounts.usage(at(500), 8);
    assert_eq!(said.iter().map(|one| one.units).sum::<u64>(), 200);
}

proptest! {
    /// However a fleet is cut in two, both sides together give out no more than
    /// the whole limit and the bursts that both had.
    #[test]
    fn two_sides_of_a_cut_keep_to_the_limit(nodes in 2usize..20, part in 1usize..19) {
        prop_assume!(part < nodes);
        let mut sides = [accounts(), accounts()];
        let cut = [reach(nodes, nodes - part), reach(nodes, part)];
        let mut admitted = 0;
        for (side, reach) in sides.iter_mut().zip(cut) {
            admitted += admitted_units(side, reach, 0, 8_000);
        }
        prop_assert!(admitted <= 9_050, "{admitted}");
    }
}
