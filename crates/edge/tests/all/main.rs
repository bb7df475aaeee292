//! Tests of one instance: callers and backend servers over loopback, a store in memory.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod answers;
mod limits;
mod script;
mod site;
mod stop;
mod view;

/// Makes a test of each case: its name, and what is checked.
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
