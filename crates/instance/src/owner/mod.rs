//! Grants the credits of the pools that this instance acts on.
//!
//! `lease` decides which pools these are; the entries of this and other instances request the
//! credits.
//!
//! Lock order: the lease table, then the pool table. Both are held while credits are granted, so
//! a pool cannot be handed over between the authority check and the grant.
//!
//! Invariants:
//!
//! - An allocator grants only while its duty has been held without interruption since the credits
//!   of earlier actors had ended or were known ([`Allocator::activate`]).
//! - An allocator grants nothing after a handover: it is removed when the list of its credits is
//!   taken.
//! - A ticket whose waiter is dropped is withdrawn; a credit granted to it in the meantime is
//!   released unused.

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
