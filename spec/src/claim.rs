//! At-most-once claims of one key in the log of one shard.
//!
//! Two owners follow each other. The key has a first attempt, which its caller marks as such, and
//! resends. An entry may ask both owners, and starts a call when one of them has cleared it. The log
//! is written by conditional create; a write may be in doubt and may take effect late. In an outage
//! of the store an owner claims in memory, after it has told a majority of the members that it does
//! (the mark). A crash loses what an owner has in memory. Authority is taken as given here: it moves
//! from the first owner to the second at some instant, and with it the mark becomes known.

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

/// The number of an owner or of a call.
pub type Index = usize;

/// The number of owners.
pub const OWNERS: usize = 2;

/// The number of calls; the first one is the first attempt.
pub const CALLS: usize = 3;

/// The most records of the log.
pub const RECORDS: usize = 5;
