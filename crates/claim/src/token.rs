//! Names of claims that wait.

/// Names a claim that waits for its record to be durable, within one ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);
