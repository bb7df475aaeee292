//! Probes: requests that an instance sends itself to check whether a server is reachable.
//!
//! Invariant: within any period `t` there are at most `rate * t + 1` probes.

mod bucket;
mod task;

pub(crate) use bucket::Bucket;
pub use task::Task;
