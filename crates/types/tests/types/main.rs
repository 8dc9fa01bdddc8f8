//! Tests of result codes, units, ids and hashes.

use woadstage_standin::cases;
use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Rate;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

cases! {
    units_round_trip_through_text => {
        for text in ["250ms", "30s", "6us", "0s"] {
            assert_eq!(text.parse::<Span>().map(|span| span.to_string()), Ok(text.into()));
        }
        for text in ["8MiB", "64KiB", "7B", "0B"] {
            assert_eq!(text.parse::<Size>().map(|size| size.to_string()), Ok(text.into()));
        }
        assert_eq!("50/s".parse(), Ok(Rate(50)));
    };

    malformed_units_are_rejected => {
        for text in ["", "250", "ms", "-1s", "1.s", ".5s", "1.5", "1.5.5s", "1.1234567s", "99999999999999999999s", "9999999999999999m"] {
            assert!(text.parse::<Span>().is_err(), "{text}");
            assert!(text.parse::<Size>().is_err(), "{text}");
            assert!(text.parse::<Rate>().is_err(), "{text}");
        }
    };

    units_accept_decimal_fractions => {
        assert_eq!("1.5s".parse(), Ok(Span::from_millis(1_500)));
        assert_eq!("0.000001s".parse(), Ok(Span(1)));
        assert_eq!("2.50ms".parse(), Ok(Span(2_500)));
        assert_eq!("0.5us".parse(), Ok(Span(0)));
        assert_eq!("1.5KiB".parse(), Ok(Size(1_536)));
        assert_eq!("110.0MiB".parse(), Ok(Size::from_mib(110)));
        // Rates are integers.
        assert!("1.5/s".parse::<Rate>().is_err());
        assert_eq!("2.0/s".parse(), Ok(Rate(2)));
    };

    a_version_7_id_contains_its_creation_time => {
        let now = Time(1_796_000_000_123_000);
        let text = uuid::Uuid::from_u128(id::new_v7(now, 77)).to_string();
        assert_eq!(id::v7_timestamp_opt(&text), Some(now));
        assert_eq!(id::v7_timestamp_opt("order-17"), None);
        assert_eq!(id::v7_timestamp_opt("9b2f8a60-6b1c-4b8e-9d53-000000000000"), None);
    };

    code_numbers_are_unique => {
        let mut numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
        let count = numbers.len();
        numbers.sort();
        numbers.dedup();
        assert_eq!(numbers.len(), count);
    };

    the_documented_codes_match_the_code_table => {
        let page = include_str!("../../../../docs/CODES.md");
        for code in Code::ALL {
            let status = match code.status() {
                0 => "-".to_string(),
                status => status.to_string(),
            };
            let row = format!("| {code} | {status} | {} | {} |", code.outcome(), code.text());
            assert!(page.contains(&row), "docs/CODES.md has no row: {row}");
        }
    };

    removing_a_member_moves_only_its_subjects => {
        let members: Vec<String> = (0..8).map(|index| format!("entry-{index}")).collect();
        for subject in 0..1_000 {
            let subject = format!("subject-{subject}");
            let before = hash::owner(&subject, members.iter()).expect("an owner");
            let remaining = members.iter().filter(|name| *name != "entry-3");
            let after = hash::owner(&subject, remaining).expect("an owner");
            assert!(before == after || before == "entry-3");
        }
    };
}

// Guards against panics, or times near zero, for numbers that others send.
#[test]
fn spans_from_large_numbers_are_as_long_as_possible() {
    assert_eq!(Span::from_millis(u64::MAX), Span(u64::MAX));
    assert_eq!(Span::from_secs(1 << 62), Span(u64::MAX));
}
