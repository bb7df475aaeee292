//! Parts of a bundle.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::{Canonical, Sink};
use crate::digest::Digest;
use crate::{codec, Service};

/// The largest encoding of a part, in bytes.
pub const MAX_BYTES: usize = 128 * 1024;

const DOMAIN: &str = "chivewheel/part/1";

/// One service of a bundle, stored and sent by its digest.
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
        self.service.absorb(&mut sink);
        sink.finish()
    }

    /// Encodes the part for the store and for other instances.
    pub fn encode(&self) -> Result<Vec<u8>, codec::Error> {
        codec::encode(self, MAX_BYTES)
    }

    /// Decodes the part whose digest is `expected`.
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
    /// The bytes are no part.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// The bytes are another part.
    #[error("the part has digest {found}, expected {expected}")]
    DigestMismatch {
        /// The digest that was asked for.
        expected: Digest,
        /// The digest of the bytes.
        found: Digest,
    },
}
