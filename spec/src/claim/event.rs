//! What can happen.

use crate::claim::Index;

/// What can happen. The first index is that of an owner, unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The store goes down or comes back.
    Outage(bool),
    /// The owner crashes.
    Crash(Index),
    /// Authority moves to the second owner.
    Transfer,
    /// The owner reads the next record.
    Read(Index),
    /// The owner begins to append its takeover record.
    TakeOver(Index),
    /// The owner begins to append a claim for a call.
    Claim(Index, Index),
    /// The owner's record reaches the store. The last field tells whether the owner learns the
    /// outcome.
    Deliver(Index, bool),
    /// The owner waits no longer for the outcome of its record.
    TimeOut(Index),
    /// The owner reads back a record in doubt.
    ReadBack(Index),
    /// The owner tells a majority that it claims in memory, or that it does no more.
    Announce(Index, bool),
    /// The owner claims the key in memory for a call.
    ClaimInMemory(Index, Index),
    /// The owner begins to append what it claimed in memory.
    AppendMemory(Index),
    /// The entry starts the call that the owner has cleared.
    Start(Index, Index),
    /// The entry releases the call that the owner has cleared.
    Release(Index, Index),
}
