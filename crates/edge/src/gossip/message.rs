//! Datagrams between instances.

use balance::record::Kind;
use balance::replica::Delta;
use serde::{Deserialize, Serialize};

use super::{Beat, CentreBeat, Event, Identity, Wait};

/// The largest datagram that is sent, in bytes. Larger ones would be sent in fragments, each of
/// which may be lost.
pub(crate) const MAX_DATAGRAM: usize = 1400;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A newcomer asks for members.
    Hello(Identity),
    /// The members that the sender knows.
    Members {
        /// The sender.
        from: Identity,
        /// The others.
        members: Vec<Identity>,
    },
    /// What an instance repeats to its data centre.
    Beat(Box<Beat>),
    /// What a reader repeats to other data centres.
    Centre(Box<CentreBeat>),
    /// What has happened at servers.
    Events {
        /// The sender's [`Identity::boot`].
        from: u64,
        /// The events in their order.
        events: Vec<Event>,
        /// All the requests that the sender has waiting for a server.
        waiting: Vec<Wait>,
    },
    /// Changes that a reader has just seen.
    Push {
        /// What has changed.
        kind: Kind,
        /// The changes.
        delta: Delta,
    },
    /// The sender is about to stop.
    Leave(u64),
}

impl Message {
    /// Returns the bytes of the message.
    ///
    /// # Errors
    ///
    /// Why it cannot be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Why it cannot be decoded.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
