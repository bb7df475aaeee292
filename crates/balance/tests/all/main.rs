//! Tests of the decisions of instances.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod budget;
mod config;
mod demand;
mod feed;
mod fleet;
mod herd;
mod load;
mod loan;
mod pace;
mod ramp;
mod reach;
mod rollout;
mod support;
mod table;
mod turn;
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
