//! The model of at-most-once claims, with all guards and without each one.

use spec::claim::{Guards, Shard, Violation};

use crate::world::{breaks, holds};

/// Returns the model with `guards` and one outage.
fn shard(guards: Guards) -> Shard {
    Shard { guards, outages: 1 }
}

#[test]
fn all() {
    holds("claim", &shard(Guards::ALL));
}

macro_rules! needs {
    ($($guard:ident;)*) => {$(
        #[test]
        fn $guard() {
            let guards = Guards { $guard: false, ..Guards::ALL };
            breaks("claim", &shard(guards), Violation::ExecutedTwice);
        }
    )*};
}

needs! {
    conditional_create;
    read_back;
    stop_at_conflict;
    stop_at_takeover;
    takeover_record;
    authority;
    first_attempts_only;
    resolve_indeterminate;
    announce_memory;
    start_once;
    release_final;
}
