//! Whether a call is tried again at another server.
//!
//! Invariants: a call that may have run and is not idempotent is never tried again; retries and
//! hedges stay a share of the traffic; `NotRun` is said only of a call that no server can have run.

mod budget;
mod context;
mod decision;

pub use budget::Budget;
pub use context::Context;
pub use decision::{Decision, Stop};
