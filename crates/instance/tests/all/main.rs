//! Integration tests of the daemon.

/// Declares a test for each named set of arguments to a check function.
macro_rules! cases {
    ($check:path: $($name:ident($($argument:expr),* $(,)?);)*) => {$(
        #[test]
        fn $name() {
            $check($($argument),*);
        }
    )*};
}

mod attempts;
mod cluster;
mod log;
mod metrics;
mod readiness;
mod recorder;
mod scripted;
mod settings;
mod traces;
