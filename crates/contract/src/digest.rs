//! Digests of bundles and their parts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use thiserror::Error;

/// The size of a digest, in bytes.
pub const SIZE_BYTES: usize = 32;

/// A SHA-256 digest (FIPS 180-4) of a canonical encoding, written as hexadecimal.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] pub [u8; SIZE_BYTES]);

impl Digest {
    /// Returns the first eight hexadecimal digits, enough for a reader to distinguish bundles.
    pub fn short(&self) -> String {
        self.to_string().chars().take(8).collect()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        read_hex(text).map(Self).ok_or(Error)
    }
}

/// The error for text that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct Error;

/// Writes `bytes` as lower-case hexadecimal.
pub(crate) fn write_hex(f: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
}

/// Parses exactly `N` bytes of hexadecimal.
pub(crate) fn read_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
