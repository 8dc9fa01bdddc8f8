//! How tests are arranged: each case has a name and a body.

/// Declares one test for each named case.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$meta])*
        #[rstest::rstest]
        fn $name() {
            $body
        }
    )*};
}
