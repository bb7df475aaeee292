//! What a controller asks for.

use crate::progress::Progress;
use crate::reason::Reason;

/// What a controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give the new version this share of the traffic, from 0 to 1.
    SetShare(f64),
    /// The move is done. Given once more when the watch for a late fault ends.
    Finish,
    /// The move is taken back.
    RollBack(Reason),
    /// Write this as soon as the store takes it. It replaces what was to be written before.
    Record(Progress),
}
