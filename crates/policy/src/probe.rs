//! Probes: requests of the system's own that show whether a server works.
//!
//! Invariant: within any time `t` the probes are at most the rate times `t`, and one.

mod bucket;
mod task;

pub(crate) use bucket::Bucket;
pub use task::Task;
