//! Which duties this instance may act on.
//!
//! Every member sends every other a heartbeat that asks for support on the duties that it acts on,
//! and answers those of the others. The decisions are `membership`'s; this module keeps its state
//! under one lock and carries its messages.
//!
//! Invariants:
//!
//! - An instance supports, and asks for support, only as a member of the roster that it has adopted.
//! - Sequence numbers of heartbeats only grow, so that an answer is counted from its own sending.
//! - Authority of the epoch before serves on until it lapses, but only for pools that the instance
//!   has owned throughout. New owners wait for that time to pass.

mod role;
mod table;
mod tasks;

pub use role::Role;
pub use table::Table;
pub(crate) use tasks::{run_heartbeats, run_planner, run_roster_watch};
