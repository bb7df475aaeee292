//! Parts of a bundle: one service each, addressed by digest.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::{Canonical, Sink};
use crate::digest::Digest;
use crate::{codec, Service};

/// The maximum size of an encoded part, in bytes.
pub const MAX_BYTES: usize = 128 * 1024;

/// Separates digests of parts from other digests.
const DOMAIN: &str = "chivewheel/part/1";

/// One service of a bundle, stored and requested by its digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part {
    /// The service.
    pub service: Service,
}

impl Part {
    /// Returns the digest of the part.
    pub fn digest(&self) -> Digest {
        let mut sink = Sink::new(DOMAIN);
        self.service.encode(&mut sink);
        sink.finish()
    }

    /// Encodes the part for the store and for other instances.
    pub fn encode(&self) -> Result<Vec<u8>, codec::Error> {
        codec::encode(self, MAX_BYTES)
    }

    /// Decodes a part. Fails if its digest is not `expected`.
    pub fn decode(bytes: &[u8], expected: &Digest) -> Result<Self, Error> {
        let part: Self = codec::decode(bytes, MAX_BYTES)?;
        let found = part.digest();
        match found == *expected {
            true => Ok(part),
            false => Err(Error::DigestMismatch {
                expected: *expected,
                found,
            }),
        }
    }
}

/// Why a part could not be decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes do not decode to a part.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// The bytes decode to a part with another digest.
    #[error("the part has digest {found}, expected {expected}")]
    DigestMismatch {
        /// The requested digest.
        expected: Digest,
        /// The digest of the decoded part.
        found: Digest,
    },
}
