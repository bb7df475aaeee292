//! Tests of the platform's client and of what stands on it.

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

mod client;
mod directory;
mod fake;
mod malformed;
mod tools;
mod watcher;
mod writer;
