//! The shared key that authenticates frames (HMAC-SHA256).

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Fault;

const MIN_BYTES: usize = 16;

pub(crate) const TAG_BYTES: usize = 32;

/// The key that authenticates frames. Its `Debug` output does not show the secret.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key from `secret`.
    ///
    /// # Errors
    ///
    /// [`Fault::WeakKey`] when `secret` has fewer than 16 bytes.
    pub fn new(secret: &[u8]) -> Result<Self, Fault> {
        if secret.len() < MIN_BYTES {
            return Err(Fault::WeakKey {
                min_bytes: MIN_BYTES,
            });
        }
        Ok(Self(secret.to_vec()))
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        // `new_from_slice` cannot fail, since HMAC accepts keys of any length.
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        for part in parts {
            mac.update(part);
        }
        mac
    }

    /// Returns the tag of the concatenated `parts`.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Returns whether `tag` is the tag of the concatenated `parts`, comparing in constant time.
    pub(crate) fn verifies(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac(parts).verify_slice(tag).is_ok()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
