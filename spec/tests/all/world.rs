//! Assertions shared by the tests of all models.

use spec::Model;

/// The maximum number of states in one exploration.
const MAX_STATES: usize = 2_000_000;

/// Asserts that the exploration of `model` is complete and finds no violation.
pub(crate) fn holds<M>(name: &str, model: &M)
where
    M: Model,
{
    let found = spec::explore(model, MAX_STATES);
    println!("{name}: {found}");
    assert!(
        !found.truncated && found.violation.is_none(),
        "{name}: {found}"
    );
}

/// Asserts that the exploration of `model`, which has a guard disabled, finds `violation`.
pub(crate) fn breaks<M>(name: &str, model: &M, violation: M::Violation)
where
    M: Model,
{
    let found = spec::explore(model, MAX_STATES);
    println!("{name}: {found}");
    assert_eq!(found.violation, Some(violation), "{name}: {found}");
}
