//! Requests for a claim.

use crate::claimant::Claimant;
use crate::key::{self, Key};

/// A request for a claim.
///
/// An entry instance that repeats a request because no reply came must not repeat `attempt`: a
/// different owner would take it as the caller's statement that the call was never attempted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// The digest of method, path and body.
    pub digest: [u8; 16],
    /// The caller's `Chivewheel-Attempt`, counted from 1. `None` if absent: it may be a resend.
    pub attempt: Option<u32>,
    /// The call that requests the claim.
    pub claimant: Claimant,
}

impl Request {
    /// Returns whether the caller states that it has not sent the key before.
    pub fn is_first_attempt(&self) -> bool {
        self.attempt == Some(1)
    }
}

/// Returns the digest of a request's method, path and body.
pub fn digest(method: &str, path: &str, body: &[u8]) -> [u8; 16] {
    key::digest(&[method.as_bytes(), path.as_bytes(), body])
}
