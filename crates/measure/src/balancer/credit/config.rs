//! Configuration of the credit balancer.

/// The placement of the owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// One owner in each data centre, for the servers there.
    PerCentre,
    /// One owner for the whole service, in the first data centre.
    Whole,
}

/// How entry instances request credits, and what they do with credits that their calls don't need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The placement of the owners.
    pub layout: Layout,
    /// Whether an entry instance requests a credit ahead of the next call while the pool has spare
    /// capacity.
    pub ahead: bool,
    /// Whether a credit that arrives too late for its call is used for the next waiting call of the
    /// entry instance instead of being returned.
    pub passes_on: bool,
}

impl Config {
    /// Returns the configuration that requests a credit for each call, and returns it if the call
    /// doesn't need it.
    pub fn per_call(layout: Layout) -> Self {
        Self {
            layout,
            ahead: false,
            passes_on: false,
        }
    }
}
