//! Identifiers of ledgers as writers.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

/// Identifies the ledger that writes a segment. Never reused.
///
/// After an append with an unknown result, it distinguishes the ledger's own segment from that of
/// another ledger.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Writer(#[serde_as(as = "Bytes")] pub [u8; 16]);
