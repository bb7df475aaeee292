//! What the tests of all models share.

use spec::Model;

/// The most states of one exploration.
const LIMIT: usize = 2_000_000;

/// Explores `model` and asserts that it is whole and without a fault.
pub(crate) fn holds<M>(name: &str, model: &M)
where
    M: Model,
{
    let found = spec::explore(model, LIMIT);
    println!("{name}: {found}");
    assert!(!found.cut && found.fault.is_none(), "{name}: {found}");
}

/// Explores `model`, which lacks a guard, and asserts that `fault` is found.
pub(crate) fn breaks<M>(name: &str, model: &M, fault: M::Fault)
where
    M: Model,
{
    let found = spec::explore(model, LIMIT);
    println!("{name}: {found}");
    assert_eq!(found.fault, Some(fault), "{name}: {found}");
}
