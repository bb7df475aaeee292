//! Tests of the command-line tool.

#![allow(clippy::unwrap_used)]

mod broken;
mod explain;
mod head;
mod moves;
mod page;
mod port;
mod program;
mod roll;
mod status;
mod store;
mod workshop;

/// Names test cases: each `name: expression` is a test of its own.
macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            $case
        }
    )*};
}
pub(crate) use cases;
