//! Tests of the bundle.

#![allow(clippy::unwrap_used)]

mod change;
mod fixture;
mod signed;
mod split;
mod succession;
mod text;

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
