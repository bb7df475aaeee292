//! At-most-once claims of one idempotency key in the log of one shard.
//!
//! Two owners act one after the other. The key has a first attempt, identified as such by its
//! caller, and resends. An entry instance may ask both owners, and starts a call when one of them
//! has granted it. The log is written by conditional create; the outcome of a write may be
//! indeterminate, and the write may take effect late. During an outage of the store an owner claims
//! in memory, after it has announced this to a majority of the members. A crash loses what an owner
//! has in memory. Authority is an assumption of this model: it moves from the first owner to the
//! second at some instant, when the second also learns of the announcement.

mod event;
mod guards;
mod owner;
mod record;
mod shard;
mod state;

pub use event::Event;
pub use guards::Guards;
pub use owner::{Owner, Write};
pub use record::Record;
pub use shard::{Shard, Violation};
pub use state::{Call, State};

/// The index of an owner or of a call.
pub type Index = usize;

/// The number of owners.
pub const OWNERS: usize = 2;

/// The number of calls. Call 0 is the first attempt; the others are resends.
pub const CALLS: usize = 3;

/// The maximum number of records in the log.
pub const RECORDS: usize = 5;
