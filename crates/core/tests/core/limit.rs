//! Tests of customer rate limits and the retry budget.

use woadstage_core::limit::Customers;
use woadstage_core::limit::RetryBudget;
use woadstage_standin::cases;
use woadstage_types::unit::Rate;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

cases! {
    a_customer_over_its_limit_does_not_affect_another => {
        let mut customers = Customers::default();
        let now = Time(1_000_000_000);
        let admitted = (0..1_000).filter(|_| customers.admit(now, 1, Rate(100), 1)).count();
        assert_eq!(admitted, 200);
        assert!(customers.admit(now, 2, Rate(100), 1));
    };

    a_bucket_refills_with_time => {
        let mut customers = Customers::default();
        let start = Time(1_000_000_000);
        while customers.admit(start, 1, Rate(100), 1) {}
        let later = start + Span::from_secs(1);
        let admitted = (0..1_000).filter(|_| customers.admit(later, 1, Rate(100), 1)).count();
        assert!((99..=101).contains(&admitted), "{admitted}");
    };

    the_number_of_tracked_customers_is_bounded => {
        let mut customers = Customers::default();
        for turn in 0..120_000u64 {
            let now = Time(1_000_000_000 + turn * 1_000);
            customers.admit(now, turn % 30_000, Rate(100), 8);
        }
        assert!(customers.len() <= 4_096, "{}", customers.len());
    };

    retries_are_limited_to_a_tenth_of_first_attempts => {
        let mut retries = RetryBudget::default();
        while retries.try_spend() {}
        let mut spent = 0;
        for _ in 0..1_000 {
            retries.note_request();
            spent += u32::from(retries.try_spend());
        }
        assert!((95..=101).contains(&spent), "{spent}");
    };
}
