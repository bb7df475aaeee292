//! Tests of connections.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

/// Names test cases: each `name: expression` is a test of its own.
macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            $case
        }
    )*};
}

mod exchange;
mod pool;
mod property;
mod request;
mod script;
