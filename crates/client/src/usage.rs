//! The use of connections.

/// Identifies an exchange among those of this process, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The number of the connection, in the order in which they were opened.
    pub connection: u64,
    /// The number of requests sent on the connection before.
    pub requests: u32,
}
