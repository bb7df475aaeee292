//! The model of the bundle's versions.

use spec::bundle::{Fault, Guards, Rollout};

use crate::world::{breaks, holds};

#[test]
fn all() {
    holds(
        "bundle",
        &Rollout {
            guards: Guards::ALL,
        },
    );
}

macro_rules! needs {
    ($($guard:ident: $fault:ident;)*) => {$(
        #[test]
        fn $guard() {
            let guards = Guards { $guard: false, ..Guards::ALL };
            breaks("bundle", &Rollout { guards }, Fault::$fault);
        }
    )*};
}

needs! {
    conditional_write: Split;
    adopt_newer: VersionFell;
    pass_stored: Split;
}
