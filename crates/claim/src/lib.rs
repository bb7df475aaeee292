//! At-most-once claims on idempotency keys, without I/O.
//!
//! Keys are placed in [shards](shard::Shard). The [`Ledger`](ledger::Ledger) of a shard decides
//! whether a call may run, and records claims and outcomes in a log of
//! [segments](segment::Segment) in the platform's object store. The user of this crate reads and
//! writes the store. Invariants:
//!
//! - Between two [`Run`](decision::Decision::Run) decisions on one key, the claimant of the first
//!   has released its claim, which states that its call did not run and will not.
//! - A claim is durable before it is granted, except while the store is unavailable.
//! - A key that may have run under a claim that the ledger cannot see is never granted.
//! - Only one ledger at a time writes to the log: each segment is created only if its number is
//!   free, and a ledger whose number was used by another grants nothing more.
//!
//! Requirements on the user:
//!
//! - A ledger is used for at most one uninterrupted period of authority over its shard.
//! - Authority is checked again after an append and before a `Run` leaves the instance.
//! - No claim is granted in memory before a majority of the members has been informed that this
//!   will happen, so that the next owner learns its [`History`](history::History) from the members
//!   that support it.

pub mod append;
pub mod claimant;
pub mod decision;
pub mod entry;
pub mod error;
pub mod history;
pub mod key;
pub mod ledger;
mod log;
pub mod record;
pub mod request;
pub mod segment;
pub mod shard;
mod table;
mod timeline;
pub mod token;
pub mod writer;
