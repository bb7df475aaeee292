//! How credits are owned and held.

/// Which owners there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// One in each data centre, for the servers there.
    PerCentre,
    /// One for the whole service, in the first data centre.
    Whole,
}

/// How entries ask for credits, and what they do with those that their calls don't need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Which owners there are.
    pub layout: Layout,
    /// Whether an entry asks for a credit ahead of the next call while there is room to spare.
    pub ahead: bool,
    /// Whether a credit that comes too late for its call goes to the entry's next waiting call, and
    /// not back.
    pub passes_on: bool,
}

impl Config {
    /// Returns a credit asked for per call, and given back if the call doesn't need it.
    pub fn per_call(layout: Layout) -> Self {
        Self {
            layout,
            ahead: false,
            passes_on: false,
        }
    }
}
