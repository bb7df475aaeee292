//! Decides which duties this instance may act on.
//!
//! Every member sends heartbeats to all others. A heartbeat requests support for the duties that
//! its sender acts on, and the receivers answer. The `membership` crate makes the decisions; this
//! module keeps its state under one lock and sends and receives its messages.
//!
//! Invariants:
//!
//! - An instance grants and requests support only as a member of the roster that it has adopted.
//! - Sequence numbers of heartbeats only increase, so the support in an answer is timed from the
//!   sending of the heartbeat that it answers.
//! - Authority of the previous epoch stays valid until it expires, but only for pools that the
//!   instance has owned throughout. New owners wait until it has expired.

mod role;
mod table;
mod tasks;

pub use role::Role;
pub use table::Table;
pub(crate) use tasks::{run_heartbeats, run_planner, run_roster_watch};
