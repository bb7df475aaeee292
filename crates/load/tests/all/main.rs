//! Tests of the load generator: it counts outcomes correctly and detects violations.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

/// Defines a test for each case: its name, the check function and the arguments.
macro_rules! cases {
    ($($name:ident => $check:ident($($argument:expr),*);)*) => {$(
        #[test]
        fn $name() {
            $check($($argument),*);
        }
    )*};
}

mod entry;
mod outcome;
mod plan;
mod run;
