//! Tests of the decisions of instances.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod budget;
mod config;
mod contention;
mod demand;
mod drift;
mod duty;
mod group;
mod hedge;
mod lead;
mod limit;
mod loan;
mod patch;
mod pipeline;
mod reachability;
mod rendezvous;
mod replica;
mod rollout;
mod saturation;
mod share;
mod share_fleet;
mod share_parts;
mod shifting_load;
mod shutdown;
mod slowdown;
mod support;
mod table;
mod tenant;
mod turn;
mod usage;
mod verdict;
mod wall_clock;
mod warmup;

/// Defines a test for each case, from its name and the expression that checks it.
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
