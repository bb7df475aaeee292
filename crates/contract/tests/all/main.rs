//! Tests of the format, checks, digests and signatures of bundles.

#![allow(clippy::unwrap_used)]

mod change;
mod fixture;
mod signed;
mod split;
mod succession;
mod text;

/// Defines one test per `name: expression`.
macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            $case
        }
    )*};
}
pub(crate) use cases;
