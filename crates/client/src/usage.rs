//! The use of connections.

/// Which connection an exchange uses, and how often it was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The number of the connection, in the order in which they were opened.
    pub connection: u64,
    /// The number of requests sent on the connection before.
    pub requests: u32,
}
