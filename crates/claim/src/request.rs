//! A request for a claim.

use crate::claimant::Claimant;
use crate::key::{self, Key};

/// A request for a claim.
///
/// An entry that asks again after a lost answer must not repeat `attempt`: to another owner it
/// would be the caller's word that nothing was tried before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// The digest of method, path and body.
    pub digest: [u8; 16],
    /// The caller's `Chivewheel-Attempt`, counted from 1; absent means a possible resend.
    pub attempt: Option<u32>,
    /// The call that asks.
    pub claimant: Claimant,
}

impl Request {
    /// Returns whether the caller says that it has not sent the key before.
    pub fn is_first_attempt(&self) -> bool {
        self.attempt == Some(1)
    }
}

/// Returns the digest of a request's method, path and body.
pub fn digest(method: &str, path: &str, body: &[u8]) -> [u8; 16] {
    key::digest(&[method.as_bytes(), path.as_bytes(), body])
}
