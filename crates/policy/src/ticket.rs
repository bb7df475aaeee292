//! Tickets: demands for a credit.

use std::time::Duration;

use clock::Instant;
use contract::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::quarantine::Fingerprint;

/// The number of a ticket, unique within a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// A demand for a credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The number of the ticket.
    pub id: Id,
    /// The instance that asks.
    pub instance: id::Instance,
    /// Whether the call may wait behind calls that cannot.
    pub can_wait: bool,
    /// When the credit is of no more use. Earlier deadlines are served first.
    pub deadline: Instant,
    /// The route's time limit: a dispatched request ends within it.
    pub time_limit: Duration,
    /// Servers to keep off while any other could take the call.
    pub avoid: Vec<id::Server>,
    /// The digest of the request.
    pub fingerprint: Option<Fingerprint>,
}

/// Why a ticket gets no credit. Its call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full.
    #[error("the queue of the pool is full")]
    QueueFull,
    /// No server of a version that carries traffic can be used.
    #[error("the pool has no usable backend server")]
    NoServers,
    /// The data centre is out of service.
    #[error("the data centre is out of service")]
    OutOfService,
    /// Attempts of the same request crashed several backend servers.
    #[error("the request is in quarantine")]
    Quarantined,
    /// The ticket's deadline has passed.
    #[error("the deadline of the call has passed")]
    Expired,
}

/// A ticket that was queued and will never be granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The number of the ticket.
    pub id: Id,
    /// The instance that asked.
    pub instance: id::Instance,
    /// Why the ticket was dropped.
    pub refusal: Refusal,
}
