//! Tests of the decisions of instances.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod budget;
mod config;
mod feed;
mod fleet;
mod load;
mod pace;
mod ramp;
mod rollout;
mod support;
mod table;
mod verdict;

/// Makes a test of each case: its name, and what is checked.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $check:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $check;
            }
        )*
    };
}
pub(crate) use cases;
