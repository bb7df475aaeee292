//! What can happen.

use crate::grant::{Index, Roster};

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A tick passes; the clock of the given instance misses it.
    Tick(Option<Index>),
    /// A heartbeat of an actor reaches a member, whose answer sets out.
    Heartbeat(Index, Index),
    /// An answer to an actor comes from a member.
    ReceiveAnswer(Index, Index),
    /// An instance writes a roster. The last field tells whether it learns the outcome.
    Write(Index, Roster, bool),
    /// An instance reads the roster from the store.
    Read(Index),
    /// An instance gets the roster of another one.
    Gossip(Index, Index),
    /// An instance acts under the roster under which it votes.
    Switch(Index),
    /// An actor hands the pool over to another one.
    HandOver(Index, Index),
    /// An actor gets the report of a member.
    Report(Index, Index),
    /// An actor grants a credit to an entry that has asked for it.
    Grant(Index, Index),
    /// A credit reaches an entry.
    ReceiveCredit(Index),
    /// An entry dispatches a request.
    Dispatch(Index),
    /// A request ends early, and the actor that granted the credit learns it.
    Complete(Index),
    /// An instance crashes.
    Crash(Index),
}
