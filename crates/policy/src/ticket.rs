//! Tickets: requests for a credit.

use std::time::Duration;

use clock::Instant;
use contract::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::quarantine::Fingerprint;

/// Identifies a ticket within a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// A request for a credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The id of the ticket.
    pub id: Id,
    /// The instance that requests the credit.
    pub instance: id::Instance,
    /// Whether the call can wait; calls that cannot wait are served first.
    pub can_wait: bool,
    /// When the credit is no longer of use. Earlier deadlines are served first.
    pub deadline: Instant,
    /// The route's time limit, within which a dispatched request ends.
    pub time_limit: Duration,
    /// Servers to avoid while any other could take the call.
    pub avoid: Vec<id::Server>,
    /// The digest of the request.
    pub fingerprint: Option<Fingerprint>,
}

/// Why a ticket gets no credit. The call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full.
    #[error("the queue of the pool is full")]
    QueueFull,
    /// No version that carries the bulk of the traffic has a usable server.
    #[error("the pool has no usable backend server")]
    NoServers,
    /// The data centre is out of service.
    #[error("the data centre is out of service")]
    OutOfService,
    /// Earlier attempts of the same request crashed several backend servers.
    #[error("the request is in quarantine")]
    Quarantined,
    /// The ticket's deadline has passed.
    #[error("the deadline of the call has passed")]
    Expired,
}

/// A ticket that was queued and will never be granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The id of the ticket.
    pub id: Id,
    /// The instance that requested the credit.
    pub instance: id::Instance,
    /// Why the ticket was dropped.
    pub refusal: Refusal,
}
