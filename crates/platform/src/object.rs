//! A stored object.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

/// The revision of an object. Each write gives it a higher one, never used before at its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A stored object.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The revision of the object.
    pub revision: Revision,
    /// The value, up to 1 MB.
    #[serde_as(as = "Bytes")]
    pub value: Vec<u8>,
}
