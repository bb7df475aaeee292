//! Answers callers.
//!
//! A call goes through these steps: it is matched to a service and a route (`call`); a credit is
//! acquired for it from the owner of a pool (`acquire`); it is dispatched on the credit
//! (`attempt`); and its caller is answered, or the call is retried. A call that must not repeat
//! first obtains a claim on its key (`claim`).
//!
//! Invariants:
//!
//! - A request is dispatched only on a credit that has not expired, and at most once on each.
//! - The instance that answers the caller is the one that dispatches. Once a call has stopped
//!   waiting, a credit that arrives later is released unused and never dispatched on. So this
//!   instance knows for certain when the outcome is `not-run`.
//! - Only a complete response that belongs to the attempt is passed on as `complete`.
//! - A call that is not idempotent is dispatched again only if no byte of it can have been sent.

mod acquire;
mod attempt;
mod call;
mod claim;
mod credit;
mod handler;
mod latency;
mod refusal;
mod suspicion;

pub(crate) use credit::run_returns;
pub use credit::Outbox;
pub use handler::Handler;
pub(crate) use latency::Latencies;
