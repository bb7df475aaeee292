//! Identifiers of pending claims.

/// Identifies a claim of one ledger that waits until its record is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);
