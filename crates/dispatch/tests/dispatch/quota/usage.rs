//! What nodes tell each other of their customers' use.

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

/// Another node says what the customer has used there.
fn hear(accounts: &mut Accounts, millis: u64, units: u64) {
    let said = Usage {
        customer: CUSTOMER,
        units,
    };
    let speaker = Reporter {
        address: node(2),
        incarnation: 5,
        known: true,
    };
    accounts.record_peer_usage(at(millis), speaker, said, Some(&QUOTA), reach(2, 0));
}

#[test]
fn a_bucket_that_was_full_for_long_holds_no_more_than_a_full_one() {
    let mut accounts = accounts();
    accounts.note_start(at(0));
    hear(&mut accounts, 0, 0);
    // Sixty seconds of nothing, then a full bucket is used elsewhere.
    hear(&mut accounts, 60_000, 1_000);
    let admitted = accounts.admit(at(60_000), CUSTOMER, &QUOTA, urgent(100), reach(2, 0));
    assert!(admitted.is_err());
}

#[rstest]
#[case::it_was_heard_before(true, false)]
#[case::it_was_never_heard(false, true)]
fn what_is_first_said_of_a_customer_counts_where_its_node_is_known(
    #[case] known: bool,
    #[case] passes: bool,
) {
    let mut accounts = accounts();
    let speaker = Reporter {
        address: node(2),
        incarnation: 5,
        known,
    };
    let said = Usage {
        customer: CUSTOMER,
        units: 1_000,
    };
    accounts.record_peer_usage(at(0), speaker, said, Some(&QUOTA), reach(2, 0));
    let admitted = accounts.admit(at(0), CUSTOMER, &QUOTA, urgent(500), reach(2, 0));
    assert_eq!(admitted.is_ok(), passes);
}

#[test]
fn what_others_use_is_taken_from_the_same_bucket() {
    let mut accounts = accounts();
    accounts
        .admit(at(0), CUSTOMER, &QUOTA, urgent(0), reach(2, 0))
        .expect("nothing is asked");
    hear(&mut accounts, 0, 0);
    hear(&mut accounts, 0, 800);
    // The same word twice, and one that was overtaken, take nothing more.
    hear(&mut accounts, 0, 800);
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
