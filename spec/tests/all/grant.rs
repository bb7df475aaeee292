//! The model of rosters, votes, authority, takeovers and credits.

use spec::grant::{Fault, Guards, Pool, Scope};

/// The most states of one exploration.
const LIMIT: usize = 2_000_000;

/// Explores `scope` with all guards and asserts that it is whole and without a fault.
fn holds(scope: &Scope) {
    let found = spec::explore(
        &Pool {
            scope: scope.clone(),
            guards: Guards::ALL,
        },
        LIMIT,
    );
    println!("{}: {found}", scope.name);
    assert!(
        !found.cut && found.fault.is_none(),
        "{}: {found}",
        scope.name
    );
}

/// Explores `scope` without a guard and asserts that `fault` is found.
fn breaks(scope: &Scope, guards: Guards, fault: Fault) {
    let found = spec::explore(
        &Pool {
            scope: scope.clone(),
            guards,
        },
        LIMIT,
    );
    println!("{}: {found}", scope.name);
    assert_eq!(found.fault, Some(fault), "{}: {found}", scope.name);
}

macro_rules! holds {
    ($($name:ident: $scope:ident;)*) => {$(
        #[test]
        fn $name() {
            holds(&Scope::$scope);
        }
    )*};
}

macro_rules! needs {
    ($($guard:ident: $scope:ident, $fault:ident;)*) => {$(
        #[test]
        fn $guard() {
            breaks(&Scope::$scope, Guards { $guard: false, ..Guards::ALL }, Fault::$fault);
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
    await_lapse: REMOVAL, TwoActors;
    await_credits: DEPUTY, Overload;
    report_all: REPORTS, Overload;
    report_anew: DEPUTY, Overload;
    abandon_others: DEPUTY, Overload;
    abandon_own: LEAVE, Overload;
    await_departed: DEPARTED, Overload;
    members_only: OUTSIDER, Overload;
    restart_takeover: DEPUTY, Overload;
    expiry_from_ask: DEPUTY, Overload;
    count_limit: DEPUTY, Overload;
    ledger_margin: DRIFT, Overload;
    handover_in_time: JOIN, TwoActors;
    handover_majority: REPLACE, TwoActors;
    handover_stops: HANDBACK, TwoActors;
    adopt_first: LEAVE, TwoActors;
    relief_sequence: HANDBACK, TwoActors;
    await_settled: HASTE, TwoActors;
    conditional_write: RACE, TwoActors;
    adopt_stored: RACE, TwoActors;
    adopt_newer: REMOVAL, EpochFell;
}
