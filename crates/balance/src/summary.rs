//! How the servers of a service are.

/// How the servers of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Servers that are known.
    pub listed: usize,
    /// Those that leave, or whose data centre gets no work.
    pub out_of_service: usize,
    /// Those that are cold.
    pub cold: usize,
    /// Those that have to answer a probe first.
    pub needs_probe: usize,
    /// Those that could not be reached lately.
    pub unreachable: usize,
    /// Those that have no room.
    pub full: usize,
    /// The requests believed to be at servers that are open.
    pub requests: f64,
    /// The requests that can run there at a time.
    pub slots: f64,
}
