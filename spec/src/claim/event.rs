//! Transitions of the model.

use crate::claim::Index;

/// A transition of the model. The first index is the owner, the second one a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The store goes down or comes back.
    Outage(bool),
    /// The owner crashes.
    Crash(Index),
    /// Authority moves from the first owner to the second.
    Transfer,
    /// The owner reads the next record of the log.
    Read(Index),
    /// The owner begins to append its takeover record.
    TakeOver(Index),
    /// The owner begins to append a claim for a call.
    Claim(Index, Index),
    /// The owner's record reaches the store. The last field is whether the outcome is acknowledged
    /// to the owner.
    Deliver(Index, bool),
    /// The owner stops waiting for the outcome of its append, which is then indeterminate.
    TimeOut(Index),
    /// The owner reads back a record whose append is indeterminate.
    ReadBack(Index),
    /// The owner announces to a majority that it claims in memory, or that it has stopped doing so.
    Announce(Index, bool),
    /// The owner claims the key in memory for a call.
    ClaimInMemory(Index, Index),
    /// The owner begins to append its claim in memory to the log.
    AppendMemory(Index),
    /// The entry instance starts a call that the owner has granted.
    Start(Index, Index),
    /// The entry instance releases a call that the owner has granted.
    Release(Index, Index),
}
