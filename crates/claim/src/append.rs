//! Results of appends to the log.

/// The result of creating the object of a segment on condition that its number is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The segment is in the store.
    Durable,
    /// A segment with this number exists already.
    Conflict,
    /// The store sent no reply: the segment may be in the store, may still reach it, or never will.
    Indeterminate,
}
