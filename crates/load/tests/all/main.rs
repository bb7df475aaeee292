//! Tests of the load tool: that it counts what is so, and finds what is wrong.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

/// Names each case of a check and the arguments that it is run with.
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
