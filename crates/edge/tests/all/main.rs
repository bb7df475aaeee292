//! Tests of one instance with callers and backend servers on loopback and a store in memory.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod codec;
mod conditions;
mod crashing;
mod datagrams;
mod distribution;
mod duty;
mod endless;
mod exchanges;
mod freshness;
mod heads;
mod limits;
mod log;
mod messages;
mod orders;
mod pipelining;
mod record_ages;
mod refusals;
mod responses;
mod script;
mod sharing;
mod site;
mod stop;
mod tenant_changes;
mod tenants;
mod unnamed;
mod uploads;
mod usage;
mod view;

/// Defines one test for each case.
macro_rules! cases {
    ($($name:ident => $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $check;
            }
        )*
    };
}
pub(crate) use cases;
