//! Why a bundle is not put in force.

use contract::{codec, id, part, root, signed};
use thiserror::Error;

/// Why a bundle is not put in force.
#[derive(Debug, Error)]
pub(crate) enum Fault {
    /// The signed root cannot be decoded.
    #[error("the signed root cannot be decoded: {0}")]
    Codec(#[from] codec::Error),
    /// The signatures do not hold.
    #[error(transparent)]
    Signatures(#[from] signed::Fault),
    /// A part is not what was signed.
    #[error(transparent)]
    Part(#[from] part::Error),
    /// The parts make up no valid bundle.
    #[error(transparent)]
    Root(#[from] root::Error),
    /// A later bundle or this one is in force.
    #[error("version {found} is not above version {current}, which is in force")]
    Stale {
        /// The version of the bundle.
        found: u64,
        /// The version in force.
        current: u64,
    },
    /// A part can be had from nobody now.
    #[error("the part of service {0} cannot be had now")]
    Unavailable(id::Service),
}
