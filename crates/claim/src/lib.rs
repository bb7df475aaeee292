//! At-most-once claims on idempotency keys, without I/O.
//!
//! A [`Ledger`](ledger::Ledger) decides for one shard of the keys whether a call may run. Invariants:
//!
//! - Between two [`Run`](decision::Decision::Run) decisions on one key lies a release by the holder
//!   of the first, which says that nothing ran and nothing will.
//! - A claim is durable before it is granted, except while the store is down.
//! - A key that may have run through a claim that the ledger cannot see is never granted.
//! - The log is written by one ledger at a time: each segment is created only if its number is free,
//!   and a ledger whose number was taken by another grants nothing more.
//!
//! What the caller has to keep:
//!
//! - A ledger lasts no longer than one unbroken tenure of authority.
//! - Authority is checked again after an append and before a `Run` leaves the instance.
//! - Nothing is claimed in memory before a majority of the members has heard that it will be, so that
//!   the next owner learns its [`History`](history::History) from whoever supports it.

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
