//! The place of a message in its caller's trace.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

/// The span under which a message was sent, as in W3C Trace Context.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// The number of the trace.
    #[serde_as(as = "Bytes")]
    pub trace: [u8; 16],
    /// The number of the span.
    #[serde_as(as = "Bytes")]
    pub span: [u8; 8],
    /// The trace flags; bit 0 says that the trace is sampled.
    pub flags: u8,
}
