//! Reasons for rejecting a bundle.

use contract::{codec, id, part, root, signed};
use thiserror::Error;

/// Reasons for rejecting a bundle.
#[derive(Debug, Error)]
pub(crate) enum Fault {
    /// The signed root cannot be decoded.
    #[error("the signed root cannot be decoded: {0}")]
    Codec(#[from] codec::Error),
    /// The signatures are invalid.
    #[error(transparent)]
    Signatures(#[from] signed::Fault),
    /// A part cannot be decoded or does not match its signed digest.
    #[error(transparent)]
    Part(#[from] part::Error),
    /// The root and the parts do not form a valid bundle.
    #[error(transparent)]
    Root(#[from] root::Error),
    /// This bundle or a newer one is in force.
    #[error("version {found} is not newer than version {current}, which is in force")]
    Stale {
        /// The version of the bundle.
        found: u64,
        /// The version in force.
        current: u64,
    },
    /// A part cannot be fetched from its source at present.
    #[error("the part of service {0} is unavailable")]
    Unavailable(id::Service),
}
