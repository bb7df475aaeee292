//! Stored objects and their revisions.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

/// The revision of an object. Each write assigns a higher revision that was never used before at
/// the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A stored object.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The revision of the object.
    pub revision: Revision,
    /// The value, at most 1 MB ([`crate::http::MAX_VALUE_BYTES`]).
    #[serde_as(as = "Bytes")]
    pub value: Vec<u8>,
}
