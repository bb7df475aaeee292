//! The digest of an API key.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::LazyLock;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The key of the digests. All instances must compute the same ones, as they compare digests of the
/// configuration, and they share no secret. API keys are random, so that they cannot be guessed from
/// their digests.
const DOMAIN: &[u8] = b"chivewheel api key v1";

const BYTES: usize = 32;

/// The longest valid key, in bytes. It bounds the time that the digest of a caller's key takes to
/// about that of parsing a short request.
pub const MAX_KEY_BYTES: usize = 1024;

/// The keyed digest of an API key. Digests are compared in constant time.
#[serde_as]
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct Digest(#[serde_as(as = "Bytes")] [u8; BYTES]);

impl Digest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        // Half of the time for a short key is that for `DOMAIN`, which is hashed once.
        static MAC: LazyLock<Hmac<Sha256>> =
            LazyLock::new(|| Hmac::new_from_slice(DOMAIN).expect("HMAC takes keys of any length"));
        let mut mac = MAC.clone();
        mac.update(key);
        Self(mac.finalize().into_bytes().into())
    }

    /// Returns the digest of `key`, or `None` if it is not valid, and so identifies nobody. A valid key
    /// has 1 to [`MAX_KEY_BYTES`] bytes and no spaces or control characters.
    pub fn of_valid(key: &[u8]) -> Option<Self> {
        let is_valid = (1..=MAX_KEY_BYTES).contains(&key.len())
            && !key.iter().any(|b| *b == b' ' || b.is_ascii_control());
        is_valid.then(|| Self::of(key))
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Digest {}

impl Hash for Digest {
    fn hash<H>(&self, state: &mut H)
    where
        H: Hasher,
    {
        state.write(&self.0);
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}
