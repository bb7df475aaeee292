//! The owner's record of a live credit.

use clock::Instant;
use contract::id;

use super::fleet::Key;
use crate::quarantine::Fingerprint;
use crate::ticket::Ticket;

/// The owner's record of a live credit.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The key of the server that the credit is for.
    pub(crate) key: Key,
    /// The generation of the server at the grant.
    pub(crate) generation: u64,
    /// The number of live credits of the server at the grant, including this one.
    pub(crate) load: u32,
    /// The instance that holds the credit; `None` for a probe or an adopted credit.
    pub(crate) instance: Option<id::Instance>,
    /// Whether the credit is for a probe.
    pub(crate) probe: bool,
    /// When the credit ends unless it is released earlier.
    pub(crate) ends_at: Instant,
    /// The digest of the request that the credit is for.
    pub(crate) fingerprint: Option<Fingerprint>,
}

impl Entry {
    /// Returns the entry of a credit whose request is not known.
    pub(crate) fn new(key: Key, generation: u64, load: u32, ends_at: Instant) -> Self {
        Self {
            key,
            generation,
            load,
            instance: None,
            probe: false,
            ends_at,
            fingerprint: None,
        }
    }

    /// Marks the credit as granted to the request of `ticket`.
    pub(crate) fn for_request(self, ticket: &Ticket) -> Self {
        Self {
            instance: Some(ticket.instance.clone()),
            fingerprint: ticket.fingerprint,
            ..self
        }
    }

    /// Marks the credit as that of a probe.
    pub(crate) fn for_probe(self) -> Self {
        Self {
            probe: true,
            ..self
        }
    }
}
