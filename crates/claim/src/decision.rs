//! Whether a call may run.

use crate::record::Outcome;
use crate::token::Token;

/// Whether a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim is held: the call may be dispatched once.
    Run,
    /// The claim waits for its record to be durable. The decision comes with this token.
    Pending(Token),
    /// The key's call is complete; this is its outcome.
    Replay(Outcome),
    /// The key's call may have run, and its outcome is not known.
    Unknown,
    /// Another call holds the claim and has not ended.
    Running,
    /// The key was used for a request with another method, path or body.
    Mismatch,
    /// No claim was taken, and the caller's word shows that no earlier attempt was made.
    Refused,
}
