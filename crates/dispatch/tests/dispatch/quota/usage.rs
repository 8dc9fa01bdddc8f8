//! Usage that nodes report to each other.

use rstest::rstest;
use woadstage_dispatch::message::Usage;
use woadstage_dispatch::quota::Accounts;
use woadstage_dispatch::quota::Reporter;

use super::CUSTOMER;
use super::QUOTA;
use super::accounts;
use super::reach;
use super::urgent;
use crate::support::at;
use crate::support::node;

/// Takes another node's report of the customer's total usage there.
fn take_report(accounts: &mut Accounts, millis: u64, units: u64) {
    let usage = Usage {
        customer: CUSTOMER,
        units,
    };
    let reporter = Reporter {
        address: node(2),
        incarnation: 5,
        known: true,
    };
    accounts.record_peer_usage(at(millis), reporter, usage, Some(&QUOTA), reach(2, 0));
}

#[test]
fn a_bucket_holds_no_more_than_its_capacity_however_long_it_fills() {
    let mut accounts = accounts();
    accounts.record_start(at(0));
    take_report(&mut accounts, 0, 0);
    // After 60 s without usage, the other node reports that of a whole bucket.
    take_report(&mut accounts, 60_000, 1_000);
    let admitted = accounts.admit(at(60_000), CUSTOMER, &QUOTA, urgent(100), reach(2, 0));
    assert!(admitted.is_err());
}

#[rstest]
#[case::heard_before(true, false)]
#[case::never_heard(false, true)]
fn the_first_report_for_a_customer_counts_if_its_node_is_known(
    #[case] known: bool,
    #[case] admits: bool,
) {
    let mut accounts = accounts();
    let reporter = Reporter {
        address: node(2),
        incarnation: 5,
        known,
    };
    let usage = Usage {
        customer: CUSTOMER,
        units: 1_000,
    };
    accounts.record_peer_usage(at(0), reporter, usage, Some(&QUOTA), reach(2, 0));
    let admitted = accounts.admit(at(0), CUSTOMER, &QUOTA, urgent(500), reach(2, 0));
    assert_eq!(admitted.is_ok(), admits);
}

#[test]
fn usage_at_other_nodes_is_taken_from_the_same_bucket() {
    let mut accounts = accounts();
    accounts
        .admit(at(0), CUSTOMER, &QUOTA, urgent(0), reach(2, 0))
        .expect("no units are requested");
    take_report(&mut accounts, 0, 0);
    take_report(&mut accounts, 0, 800);
    // A repeated report takes nothing more.
    take_report(&mut accounts, 0, 800);
    assert!(
        accounts
            .admit(at(3), CUSTOMER, &QUOTA, urgent(300), reach(2, 0))
            .is_err()
    );
    assert!(
        accounts
            .admit(at(3), CUSTOMER, &QUOTA, urgent(200), reach(2, 0))
            .is_ok()
    );
}
