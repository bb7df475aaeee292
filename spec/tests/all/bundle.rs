//! The model of bundle distribution, with all guards and without each one.

use spec::bundle::{Distribution, Guards, Violation};

use crate::world::{breaks, holds};

#[test]
fn all() {
    holds(
        "bundle",
        &Distribution {
            guards: Guards::ALL,
        },
    );
}

macro_rules! needs {
    ($($guard:ident: $violation:ident;)*) => {$(
        #[test]
        fn $guard() {
            let guards = Guards { $guard: false, ..Guards::ALL };
            breaks("bundle", &Distribution { guards }, Violation::$violation);
        }
    )*};
}

needs! {
    conditional_write: Conflict;
    adopt_newer: VersionDecreased;
    forward_stored: Conflict;
}
