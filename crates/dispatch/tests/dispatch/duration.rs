//! The estimate of how long whole answers take.

use rstest::rstest;
use woadstage_dispatch::duration::Durations;
use woadstage_types::unit::Span;

macro_rules! routes {
    ($($name:ident: $seen:expr => $least:expr, $most:expr;)*) => {
        #[rstest]
        $(#[case::$name($seen, $least, $most)])*
        fn the_upper_bound_covers_nearly_all_answers(
            #[case] seen: Vec<u64>,
            #[case] least: u64,
            #[case] most: u64,
        ) {
            let mut durations = Durations::default();
            for millis in seen {
                durations.learn("route", Span::from_millis(millis));
            }
            let found = durations.upper_bound_opt("route").expect("a duration was observed");
            assert!(found >= Span::from_millis(least), "{found:?}");
            assert!(found <= Span::from_millis(most), "{found:?}");
            assert_eq!(durations.upper_bound_opt("other"), None);
        }
    };
}

routes! {
    seen_once: vec![100] => 300, 300;
    constant: vec![100; 50] => 100, 101;
    increasing: [vec![20; 50], vec![2_000; 50]].concat() => 2_000, 2_100;
    varying: [50, 150].repeat(50) => 150, 400;
}

#[test]
fn the_number_of_routes_is_bounded() {
    let mut durations = Durations::default();
    for route in 0..10_000 {
        durations.learn(&route.to_string(), Span::from_millis(5));
    }
    assert_eq!(durations.upper_bound_opt("9999"), None);
    assert!(durations.upper_bound_opt("3").is_some());
}
