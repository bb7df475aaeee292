//! How credits are owned and held.

/// Which owners there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// One in each data centre, for the servers there.
    PerCentre,
    /// One for the whole service, in the first data centre.
    Whole,
}

/// When an entry holds a credit that no call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// Never: it asks for each call.
    Never,
    /// While the pool has room to spare: it asks for one ahead of the next call.
    WhileIdle,
}
