//! Claims on idempotency keys: at most one run for each key.
//!
//! Keys fall into shards, and shards to instances as pools do. The instance that acts on a shard
//! keeps its [`Ledger`](claim::ledger::Ledger) and appends to its log in the store.
//!
//! Invariants:
//!
//! - While the store takes writes, a claim is granted only once it is in the log. The log fences an
//!   earlier owner, so that this needs no authority.
//! - While it takes none, a claim is granted in memory only by an instance that has authority on the
//!   shard, after what earlier owners did has ended, and after a majority of the members knows that
//!   it may hold claims in memory alone ([`Volatile`]). So the next owner learns that its log may
//!   lack claims.
//! - Lock order: the leases' table, then [`Volatile`], then the sessions.

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
