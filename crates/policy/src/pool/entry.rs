//! What the owner remembers of a live credit.

use clock::Instant;
use contract::id;

use super::fleet::Key;
use crate::quarantine::Fingerprint;
use crate::ticket::Ticket;

/// What the owner remembers of a live credit.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The server that the credit is for.
    pub(crate) key: Key,
    /// The generation of the server at the grant.
    pub(crate) generation: u64,
    /// The live credits of the server at the grant, this one included.
    pub(crate) load: u32,
    /// The instance that holds the credit; none for a probe and where it is not known.
    pub(crate) instance: Option<id::Instance>,
    /// Whether the credit is for a probe.
    pub(crate) probe: bool,
    /// When the credit ends by itself.
    pub(crate) ends_at: Instant,
    /// The digest of the request that the credit is for.
    pub(crate) fingerprint: Option<Fingerprint>,
}

impl Entry {
    /// Returns what to remember of a credit of an unknown request.
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

    /// Returns what to remember if the credit is for the request of `ticket`.
    pub(crate) fn for_request(self, ticket: &Ticket) -> Self {
        Self {
            instance: Some(ticket.instance.clone()),
            fingerprint: ticket.fingerprint,
            ..self
        }
    }

    /// Returns what to remember if the credit is for a probe.
    pub(crate) fn for_probe(self) -> Self {
        Self {
            probe: true,
            ..self
        }
    }
}
