//! Idempotency keys.

use std::fmt;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use sha2::{Digest, Sha256};

use crate::shard::Shard;

/// The length of a key and of a request digest.
const DIGEST_BYTES: usize = 16;

/// The identity of a call: the truncated SHA-256 of the service and the caller's idempotency key.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(#[serde_as(as = "Bytes")] pub [u8; DIGEST_BYTES]);

impl Key {
    /// Returns the key for `text`, the value of the header `Idempotency-Key`, at `service`.
    pub fn new(service: &id::Service, text: &str) -> Self {
        Self(digest(&[service.as_str().as_bytes(), text.as_bytes()]))
    }

    /// Returns the shard of the key among `count` shards. A `count` of 0 counts as 1.
    pub fn shard(&self, count: u32) -> Shard {
        let mut head = [0; 8];
        head.copy_from_slice(&self.0[..8]);
        let shard = u64::from_be_bytes(head) % u64::from(count.max(1));
        Shard(u32::try_from(shard).unwrap_or(0))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Returns the truncated SHA-256 of `parts`, each prefixed with its length so that no two lists
/// hash the same bytes.
pub(crate) fn digest(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut head = [0; DIGEST_BYTES];
    head.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
    head
}
