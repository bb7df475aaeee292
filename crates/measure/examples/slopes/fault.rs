//! Why the measurement failed.

use thiserror::Error;

/// Why the measurement failed.
#[derive(Debug, Error)]
pub(crate) enum Fault {
    /// A pool refused a ticket.
    #[error("a pool refused a ticket")]
    Ticket(#[from] policy::ticket::Refusal),
    /// A pool granted nothing.
    #[error("a pool granted nothing")]
    NoGrant,
    /// A bundle has faults.
    #[error("a bundle could not be joined")]
    Root(#[from] contract::root::Error),
    /// A part could not be read.
    #[error("a part could not be read")]
    Part(#[from] contract::part::Error),
    /// Something could not be encoded.
    #[error("a part could not be encoded")]
    Codec(#[from] contract::codec::Error),
    /// A bundle is not signed as it should be.
    #[error("a bundle is not signed as it should be")]
    Signed(#[from] contract::signed::Fault),
    /// Keys could not be gathered.
    #[error("keys could not be gathered")]
    Keyring(#[from] contract::keyring::Error),
    /// A segment could not be replayed.
    #[error("a segment could not be replayed")]
    Claim(#[from] ::claim::error::Error),
    /// A frame could not be sealed or opened.
    #[error("a frame could not be sealed or opened")]
    Frame(#[from] wire::Fault),
    /// The size of the process could not be read.
    #[error("the size of the process could not be read")]
    Memory(#[from] std::io::Error),
}
