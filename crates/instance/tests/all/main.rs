//! Tests of the daemon's parts.

/// Declares one test for each named case of a check.
macro_rules! cases {
    ($check:path: $($name:ident($($argument:expr),* $(,)?);)*) => {$(
        #[test]
        fn $name() {
            $check($($argument),*);
        }
    )*};
}

mod cluster;
mod log;
mod metrics;
mod readiness;
mod recorder;
mod settings;
mod traces;
