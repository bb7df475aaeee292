//! Decisions about retrying a call at another server.
//!
//! Invariants: a call that may have run and is not idempotent is never retried; retries and hedges
//! are limited to a share of the traffic; [`Stop::NotRun`] is returned only for a call that no
//! server can have run.

mod budget;
mod context;
mod decision;

pub use budget::Budget;
pub use context::Context;
pub use decision::{Decision, Stop};
