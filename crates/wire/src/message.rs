//! The messages.

use contract::id;
use membership::{epoch, member, vote};
use serde::{Deserialize, Serialize};

use crate::held::Held;
use crate::{ask, Ask, Grant};

/// What an instance tells another with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: member::Member,
    /// The epoch of the sender.
    pub epoch: epoch::Epoch,
    /// Whether the sender wants to leave the roster.
    pub leaving: bool,
    /// The number of the sender's bundle, or 0.
    pub bundle: u64,
    /// The sender's requests for support, one for each duty that it acts on.
    pub requests: Vec<vote::Request>,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The answering instance.
    pub from: id::Instance,
    /// Its epoch.
    pub epoch: epoch::Epoch,
    /// The number of its bundle, or 0.
    pub bundle: u64,
    /// Its answers to the requests for support, in their order.
    pub answers: Vec<vote::Answer>,
}

/// A request of one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a credit.
    Ask(Ask),
    /// Gives credits back.
    Return(ask::Returns),
    /// Says that the sender lives, and asks for support.
    Heartbeat(Heartbeat),
    /// Asks which credits of pools that the sender now owns the receiver holds.
    Report {
        /// The sender.
        from: id::Instance,
    },
    /// Hands pools over to their new owner.
    Handover {
        /// The sender.
        from: id::Instance,
        /// The epoch under which the receiver owns the pools.
        epoch: epoch::Epoch,
        /// The pools with all their live credits.
        pools: Vec<Held>,
    },
}

/// The reply to a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A credit.
    Granted(Grant),
    /// No credit.
    Refused(ask::Refusal),
    /// The message was taken in.
    Done,
    /// The answer to a heartbeat.
    Beat(Beat),
    /// The credits that the instance holds.
    Held(Vec<Held>),
    /// The receiver did not expect the message.
    Unexpected,
}
