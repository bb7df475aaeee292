//! Encoding for the store and between instances: MessagePack, bounded and unambiguous.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Why a value could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// The encoding is larger than the bound.
    #[error("{size} bytes are more than the bound of {limit}")]
    TooLarge {
        /// The size in bytes.
        size: usize,
        /// The bound in bytes.
        limit: usize,
    },
    /// The bytes are no encoding of such a value.
    #[error("malformed: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The bytes decode to a value that is encoded otherwise.
    #[error("the encoding is not the canonical one of its value")]
    NotCanonical,
    /// The value cannot be encoded.
    #[error("not encodable: {0}")]
    Unencodable(#[from] rmp_serde::encode::Error),
}

/// Encodes `value` in at most `limit` bytes.
pub fn encode<T>(value: &T, limit: usize) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let bytes = rmp_serde::to_vec_named(value)?;
    check_size(bytes.len(), limit)?;
    Ok(bytes)
}

/// Decodes a value from at most `limit` bytes, which must be as [`encode`] gives them.
pub fn decode<T>(bytes: &[u8], limit: usize) -> Result<T, Error>
where
    T: Serialize + DeserializeOwned,
{
    check_size(bytes.len(), limit)?;
    let value: T = rmp_serde::from_slice(bytes)?;
    // One value, one encoding: no byte can be changed or added without a change of the value.
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
