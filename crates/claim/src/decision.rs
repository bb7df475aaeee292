//! Decisions on requests for a claim.

use crate::record::Outcome;
use crate::token::Token;

/// The decision on a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim is held: the call may be dispatched once.
    Run,
    /// The claim waits until its record is durable. The decision is returned later with this token.
    Pending(Token),
    /// The call with this key is complete and had this outcome.
    Replay(Outcome),
    /// The call with this key may have run. Its outcome is unknown.
    Unknown,
    /// Another call holds the claim and is still running.
    Running,
    /// The key was used for a request with another method, path or body.
    Mismatch,
    /// No claim was taken, and according to the caller this is the first attempt.
    Refused,
}
