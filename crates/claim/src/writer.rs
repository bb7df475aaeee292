//! Names of writers.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

/// Names one ledger as the writer of segments, never used twice.
///
/// After a lost answer it tells the ledger's own segment from another's.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Writer(#[serde_as(as = "Bytes")] pub [u8; 16]);
