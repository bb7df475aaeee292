//! What became of an append.

/// What became of the conditional create of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The segment is in the store.
    Durable,
    /// Another segment has the number.
    Conflict,
    /// No answer came: the segment may or may not be in the store, or may still arrive there.
    Indeterminate,
}
