//! What the tests of all models share.

use spec::Model;

/// The most states of one exploration.
const MAX_STATES: usize = 2_000_000;

/// Explores `model` and asserts that it is whole and without a fault.
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

/// Explores `model`, which lacks a guard, and asserts that `fault` is found.
pub(crate) fn breaks<M>(name: &str, model: &M, violation: M::Violation)
where
    M: Model,
{
    let found = spec::explore(model, MAX_STATES);
    println!("{name}: {found}");
    assert_eq!(found.violation, Some(violation), "{name}: {found}");
}
