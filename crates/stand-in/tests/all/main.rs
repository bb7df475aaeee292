//! Tests of the stand-ins: that they fail in the ways that they are asked to, and in no other.

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

mod binary;
mod control;
mod fault;
mod load;
mod objects;
mod tools;
