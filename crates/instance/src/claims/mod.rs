//! Claims on idempotency keys: at most one run for each key.
//!
//! Keys are divided into shards, and shards are assigned to instances like pools. The instance that
//! acts on a shard keeps its [`Ledger`](claim::ledger::Ledger) and appends to its log in the store.
//!
//! Invariants:
//!
//! - While the store accepts writes, a claim is granted only once it is in the log. The log fences
//!   earlier owners, so this needs no authority.
//! - While the store accepts no writes, an instance grants a claim in memory only if it has
//!   authority on the shard, everything that earlier owners did has ended, and a majority of the
//!   members knows that it may hold claims only in memory ([`Volatile`]). So the next owner learns
//!   that the log may lack claims.
//! - Lock order: the lease table, then [`Volatile`], then the sessions.

mod guard;
mod session;
mod storage;
mod table;
mod volatile;

pub(crate) use guard::Guard;
pub use table::Table;
pub(crate) use table::{run, shard_key};
pub use volatile::Volatile;

/// The number of shards.
pub(crate) const SHARDS: u32 = 8;
