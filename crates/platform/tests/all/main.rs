//! Tests of the platform client and the modules built on it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

/// Generates a test for each case, with the check to call and its arguments.
macro_rules! cases {
    ($($name:ident => $check:ident($($argument:expr),*);)*) => {$(
        #[test]
        fn $name() {
            $check($($argument),*);
        }
    )*};
}

mod broken;
mod client;
mod directory;
mod fake;
mod malformed;
mod tools;
mod watcher;
mod writer;
