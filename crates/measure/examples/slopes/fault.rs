//! Errors of the measurements.

use thiserror::Error;

/// An error of a measurement.
#[derive(Debug, Error)]
pub(crate) enum Fault {
    /// A pool refused a ticket.
    #[error("a pool refused a ticket")]
    Ticket(#[from] policy::ticket::Refusal),
    /// A pool granted nothing.
    #[error("a pool granted nothing")]
    NoGrant,
    /// A bundle could not be joined from its parts.
    #[error("a bundle could not be joined")]
    Root(#[from] contract::root::Error),
    /// A part could not be read.
    #[error("a part could not be read")]
    Part(#[from] contract::part::Error),
    /// A part could not be encoded.
    #[error("a part could not be encoded")]
    Codec(#[from] contract::codec::Error),
    /// The signatures of a bundle are invalid.
    #[error("the signatures of a bundle are invalid")]
    Signed(#[from] contract::signed::Fault),
    /// The keyring could not be built.
    #[error("the keyring could not be built")]
    Keyring(#[from] contract::keyring::Error),
    /// A segment could not be replayed.
    #[error("a segment could not be replayed")]
    Claim(#[from] ::claim::error::Error),
    /// A frame could not be sealed or opened.
    #[error("a frame could not be sealed or opened")]
    Frame(#[from] wire::Fault),
    /// The memory use of the process could not be read.
    #[error("the memory use of the process could not be read")]
    Memory(#[from] std::io::Error),
}
