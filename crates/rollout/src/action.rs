//! Actions that a [`Controller`](crate::controller::Controller) requests from its caller.

use crate::progress::Progress;
use crate::reason::Reason;

/// An action that a controller requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Route this share of the traffic to the new version, from 0 to 1.
    SetShare(f64),
    /// The rollout is done. Requested again when monitoring for a late fault ends.
    Finish,
    /// The rollout is rolled back.
    RollBack(Reason),
    /// Write this to the store as soon as possible. It replaces any progress not yet written.
    Record(Progress),
}
