//! Pools that this instance acts on.
//!
//! Lock task: the leases' table, then the desks. Both are held while credits are granted, so that
//! a pool cannot be handed over between the check of authority and the grant.
//!
//! Invariants:
//!
//! - A allocator grants only while its duty is held without a break since the instant at which the
//!   credits of earlier actors had ended or were known ([`Allocator::admit`]).
//! - A allocator that was handed over grants nothing any more: it is removed together with the list of
//!   its credits.
//! - A ticket whose waiter has gone is withdrawn, and a credit granted to it in the meantime goes
//!   back unused.

mod allocator;
mod grant;
mod probe;
mod table;
mod tasks;
mod ticket;

pub use allocator::{Allocator, Snapshot, Tenure};
pub(crate) use grant::{actors, candidates};
pub use table::Table;
pub(crate) use tasks::{run_pools, run_records, run_takeovers};
pub(crate) use ticket::Waiter;
