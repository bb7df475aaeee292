//! Transitions of the model.

use crate::grant::{Index, Roster};

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A tick passes; the clock of the given instance, if any, misses it.
    Tick(Option<Index>),
    /// A heartbeat of an actor reaches a member, which sends an answer.
    Heartbeat(Index, Index),
    /// An actor receives the answer of a member.
    ReceiveAnswer(Index, Index),
    /// An instance writes a roster. The last field is whether the outcome is acknowledged to it.
    Write(Index, Roster, bool),
    /// An instance reads the roster from the store.
    Read(Index),
    /// The first instance sends its roster to the second.
    Gossip(Index, Index),
    /// An instance begins to act under the roster under which it votes.
    Switch(Index),
    /// The first actor hands the pool over to the second.
    HandOver(Index, Index),
    /// An actor receives the report of a member.
    Report(Index, Index),
    /// An actor grants a credit to an entry instance that requested one.
    Grant(Index, Index),
    /// An entry instance receives a credit.
    ReceiveCredit(Index),
    /// An entry instance dispatches a request on its credit.
    Dispatch(Index),
    /// A request completes before its time limit, and the actor that granted the credit is
    /// informed.
    Complete(Index),
    /// An instance crashes.
    Crash(Index),
}
