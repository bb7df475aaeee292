//! Tests of connections.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

/// Generates a test for each `name: expression`.
macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            $case
        }
    )*};
}

mod endless;
mod exchange;
mod heads;
mod pool;
mod property;
mod received;
mod request;
mod script;
mod uploads;
