//! Answers callers.
//!
//! A call goes through these steps: it is recognised (`call`); a credit is obtained for it
//! (`wait`); it is dispatched on the credit (`attempt`); and its caller is answered, or the call
//! is tried again.
//!
//! Invariants:
//!
//! - A request is dispatched only on a credit whose expiry lies ahead, and at most once on each.
//! - The instance that answers the caller is the one that dispatches. A call whose wait has ended
//!   has no demand left that could still be dispatched: a credit that arrives later goes back
//!   unused. So `not-run` is known for certain here.
//! - Only a whole answer that belongs to the attempt is passed on as `complete`.
//! - A call that is not idempotent is dispatched again only if no byte of it can have left.

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
