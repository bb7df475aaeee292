//! Encodes values as MessagePack, for the store and for other instances.
//!
//! Sizes are limited, and [`decode`] accepts only the bytes that [`encode`] produces for a value.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Why a value could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// The encoding is larger than the limit.
    #[error("{size} bytes are more than the bound of {limit}")]
    TooLarge {
        /// The size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The bytes do not decode to a value of the type.
    #[error("malformed: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The bytes decode to a value whose encoding by [`encode`] differs.
    #[error("the encoding is not the canonical one of its value")]
    NotCanonical,
    /// The value cannot be encoded.
    #[error("not encodable: {0}")]
    Unencodable(#[from] rmp_serde::encode::Error),
}

/// Encodes `value`. Fails if the encoding exceeds `limit` bytes.
pub fn encode<T>(value: &T, limit: usize) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let bytes = rmp_serde::to_vec_named(value)?;
    check_size(bytes.len(), limit)?;
    Ok(bytes)
}

/// Decodes a value from at most `limit` bytes, which must be identical to the output of [`encode`].
pub fn decode<T>(bytes: &[u8], limit: usize) -> Result<T, Error>
where
    T: Serialize + DeserializeOwned,
{
    check_size(bytes.len(), limit)?;
    let value: T = rmp_serde::from_slice(bytes)?;
    // Each value has exactly one encoding: changing or adding a byte always changes the value.
    match rmp_serde::to_vec_named(&value)? == bytes {
        true => Ok(value),
        false => Err(Error::NotCanonical),
    }
}

fn check_size(size: usize, limit: usize) -> Result<(), Error> {
    match size <= limit {
        true => Ok(()),
        false => Err(Error::TooLarge { size, limit }),
    }
}
