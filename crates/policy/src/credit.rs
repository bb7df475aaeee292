//! Credits: the exclusive right to have one request at one backend server for a short time.

use clock::Instant;
use contract::id;
use serde::{Deserialize, Serialize};

use crate::ticket;

/// Identifies a credit within a pool and its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// The exclusive right to have one request at one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The id of the credit.
    pub id: Id,
    /// The backend server that the request may go to.
    pub server: id::Server,
    /// The version that the backend server runs.
    pub version: id::Version,
}

/// A credit granted to a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The ticket that the credit was granted for.
    pub ticket: ticket::Id,
    /// The instance that requested the credit.
    pub instance: id::Instance,
    /// The credit.
    pub credit: Credit,
    /// When the credit expires, on the owner's clock. No request may be dispatched on it after
    /// that.
    pub expires: Instant,
}
