//! The model of rosters, votes, authority, takeovers and credits, with all guards and without each
//! one.

use spec::grant::{Guards, Pool, Scope, Violation};

use crate::world::{breaks, holds};

/// Returns the model of `scope` with `guards`.
fn pool(scope: &Scope, guards: Guards) -> Pool {
    Pool {
        scope: scope.clone(),
        guards,
    }
}

macro_rules! holds {
    ($($name:ident: $scope:ident;)*) => {$(
        #[test]
        fn $name() {
            holds(Scope::$scope.name, &pool(&Scope::$scope, Guards::ALL));
        }
    )*};
}

macro_rules! needs {
    ($($guard:ident: $scope:ident, $violation:ident;)*) => {$(
        #[test]
        fn $guard() {
            let guards = Guards { $guard: false, ..Guards::ALL };
            breaks(Scope::$scope.name, &pool(&Scope::$scope, guards), Violation::$violation);
        }
    )*};
}

holds! {
    deputy: DEPUTY;
    outsider: OUTSIDER;
    handback: HANDBACK;
    removal: REMOVAL;
    reports: REPORTS;
    leave: LEAVE;
    race: RACE;
    haste: HASTE;
    join: JOIN;
    drift: DRIFT;
    replace: REPLACE;
    departed: DEPARTED;
}

needs! {
    one_actor: DEPUTY, TwoActors;
    refuse_stale: REMOVAL, TwoActors;
    lease_from_sent: DEPUTY, TwoActors;
    vote_margin: DRIFT, TwoActors;
    await_majority: REMOVAL, TwoActors;
    await_lease: REMOVAL, TwoActors;
    await_credits: DEPUTY, Overload;
    report_all: REPORTS, Overload;
    fresh_reports: DEPUTY, Overload;
    abandon_others: DEPUTY, Overload;
    abandon_own: LEAVE, Overload;
    await_departed: DEPARTED, Overload;
    members_only: OUTSIDER, Overload;
    restart_takeover: DEPUTY, Overload;
    expiry_from_request: DEPUTY, Overload;
    count_time_limit: DEPUTY, Overload;
    credit_margin: DRIFT, Overload;
    handover_in_time: JOIN, TwoActors;
    handover_majority: REPLACE, TwoActors;
    handover_stops: HANDBACK, TwoActors;
    adopt_first: LEAVE, TwoActors;
    release_sequence: HANDBACK, TwoActors;
    await_settled: HASTE, TwoActors;
    conditional_write: RACE, TwoActors;
    adopt_stored: RACE, TwoActors;
    adopt_newer: REMOVAL, EpochDecreased;
}
