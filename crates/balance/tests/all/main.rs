//! Tests of the decisions of instances.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod budget;
mod config;
mod demand;
mod fleet;
mod herd;
mod load;
mod loan;
mod reach;
mod replica;
mod rollout;
mod slowdown;
mod support;
mod table;
mod turn;
mod verdict;
mod warmup;

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
