//! The trace context of a message.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

/// The span under which a message was sent, as in W3C Trace Context.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// The trace id.
    #[serde_as(as = "Bytes")]
    pub trace: [u8; 16],
    /// The span id.
    #[serde_as(as = "Bytes")]
    pub span: [u8; 8],
    /// The trace flags; bit 0 is set if the trace is sampled.
    pub flags: u8,
}
