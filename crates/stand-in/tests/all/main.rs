//! Tests that the stand-ins inject exactly the faults that they are asked for.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

/// Defines a test for each named case of a check with its arguments.
macro_rules! cases {
    ($($name:ident => $check:ident($($argument:expr),*);)*) => {$(
        #[test]
        fn $name() {
            $check($($argument),*);
        }
    )*};
}

mod binary;
mod control;
mod fault;
mod load;
mod objects;
mod tools;
