//! Datagrams between instances.

use balance::duty::Notice;
use balance::record::Kind;
use balance::replica::Delta;
use balance::usage;
use policy::quarantine::{Fingerprint, Suspicion};
use serde::{Deserialize, Serialize};

use super::{CentreHeartbeat, Confirmation, Event, Heartbeat, Identity, QueueState};

/// The largest datagram that carries store changes. Larger ones would be sent in IP fragments,
/// and the loss of any fragment loses the datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1400;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Request of a joining instance for the members that the receiver knows.
    Hello(Identity),
    /// The members that the sender knows.
    Members {
        /// The sender.
        from: Identity,
        /// The others.
        members: Vec<Identity>,
    },
    /// Heartbeat within a data centre.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// Heartbeat of a reader to other data centres.
    Centre(Box<CentreHeartbeat>),
    /// Changes at servers.
    Events {
        /// The sender's [`Identity::boot`].
        from: u64,
        /// The events, in order.
        events: Vec<Event>,
        /// All queues of the sender.
        waiting: Vec<QueueState>,
    },
    /// Store changes that a reader has just read.
    Push {
        /// The kind of the records.
        kind: Kind,
        /// The changes.
        delta: Delta,
    },
    /// The sender, named by its [`Identity::boot`], is about to stop.
    Leave(u64),
    /// Requests that servers crashed under.
    Suspicions {
        /// The requests, with their crashes.
        suspicions: Vec<Suspicion>,
        /// Whether the receiver is to pass them on to its data centre.
        relay: bool,
    },
    /// A suspected request that got a complete response.
    Cleared(Fingerprint),
    /// The usage of tenants, as counted by the sender.
    Usage {
        /// The sender's [`Identity::boot`].
        from: u64,
        /// The counts.
        message: usage::Message,
    },
    /// Who has the duty to report usage, to the readers of the data centres.
    Duty(Box<Notice>),
    /// The age of a reader's records. Not a part of the heartbeat, because an instance of a build before
    /// it cannot decode a longer heartbeat; of this message it logs that it is malformed.
    Confirmed(Confirmation),
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Fails if MessagePack cannot represent it.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a message.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
