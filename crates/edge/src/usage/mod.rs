//! Counts the usage of tenants, and collects the counts of all instances.

mod collect;

#[expect(
    unused_imports,
    reason = "the holder of the duty to report usage calls it"
)]
pub(crate) use collect::{collect, Collected};
