//! How fast the share of the new version may grow.
//!
//! A rollout has a sequence of shares, each at most double the one before. The time to the deadline
//! is divided among them.

use std::time::Duration;

use clock::Instant;

use crate::pair::Pair;

/// The upper limit of the first share, regardless of the bundle.
pub const MAX_FIRST_SHARE: f64 = 0.05;

/// The lower limit of the first share.
const MIN_FIRST_SHARE: f64 = 0.001;

/// The greatest ratio of a share to the previous one.
const GROWTH: f64 = 2.0;

/// The share of the new version during a control comparison.
pub(crate) const CONTROL_SHARE: f64 = 0.5;

/// The shortest hold time of a share that has enough responses.
const MIN_HOLD: Duration = Duration::from_secs(2);

/// The longest hold time of a share that has enough responses.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// The divisor of the rollout's time that gives the hold time of a share with enough responses.
const HOLD_DIVISOR: u32 = 20;

/// The number of responses of the new version that is enough on a route.
///
/// If none of 60 is bad, at most 1 in 20 of all are bad, with a confidence of 95 %: J. Hanley and
/// A. Lippman-Hand, "If nothing goes wrong, is everything all right?", JAMA 249 (1983).
const ENOUGH_CALLS: u64 = 60;

/// The number of calls of both versions from which on a route counts as used at a share.
const MIN_ROUTE_CALLS: u64 = 10;

/// The least number of responses of the new version before the share may grow.
const MIN_CALLS: u64 = 5;

/// The divisor of the rollout's time that gives the reserve before the deadline.
const RESERVE_DIVISOR: u32 = 10;

/// Decides how long each share is held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// The latest time at which the new version should carry all traffic.
    target: Instant,
    /// The hold time of a share that has enough responses.
    hold: Duration,
}

impl Pace {
    /// Returns the pace of a rollout that begins at `start` and must end by `deadline`.
    pub(crate) fn new(start: Instant, deadline: Instant) -> Self {
        let time = deadline - start;
        let hold = time / HOLD_DIVISOR;
        Self {
            target: start + (time - time / RESERVE_DIVISOR),
            hold: hold.clamp(MIN_HOLD, MAX_HOLD),
        }
    }

    /// Returns whether `share`, in effect since `since` and with enough responses, may be left.
    pub(crate) fn is_hold_over(&self, share: f64, since: Instant, now: Instant) -> bool {
        now - since >= self.hold.min(self.time_slot(share, since))
    }

    /// Returns whether `share`, with few responses, has to be left for the rollout to end in time.
    pub(crate) fn is_slot_over(&self, share: f64, since: Instant, now: Instant) -> bool {
        now - since >= self.time_slot(share, since)
    }

    /// Returns the part of the remaining time for `share`, which leaves time for the later shares.
    fn time_slot(&self, share: f64, since: Instant) -> Duration {
        let own = weight(share);
        let mut sum = own;
        let mut share = share;
        while share < 1.0 {
            share = next_share(share);
            sum += weight(share);
        }
        (self.target - since).mul_f64(own / sum)
    }
}

/// Returns the weight of `share` when the time is divided. The new version gets the same number of
/// calls at each share.
fn weight(share: f64) -> f64 {
    1.0 / share
}

/// Returns whether each route has enough responses at the current share.
pub(crate) fn has_enough(levels: impl Iterator<Item = Pair> + Clone) -> bool {
    calls(levels.clone()) >= ENOUGH_CALLS && { levels }.all(is_route_covered)
}

/// Returns whether there are the responses that are required before the share may grow.
pub(crate) fn has_minimum(levels: impl Iterator<Item = Pair>) -> bool {
    calls(levels) >= MIN_CALLS
}

/// Returns the number of responses of the new version.
fn calls(levels: impl Iterator<Item = Pair>) -> u64 {
    levels.map(|level| level.new.calls).sum()
}

/// Returns whether a route has enough responses of the new version, or is not in use.
fn is_route_covered(level: Pair) -> bool {
    level.new.calls >= ENOUGH_CALLS || level.new.calls + level.old.calls < MIN_ROUTE_CALLS
}

/// Returns the first share, given the one `configured` in the bundle.
pub(crate) fn first_share(configured: f64) -> f64 {
    if configured.is_nan() {
        return MIN_FIRST_SHARE;
    }
    configured.clamp(MIN_FIRST_SHARE, MAX_FIRST_SHARE)
}

/// Returns the share that follows `share`.
pub(crate) fn next_share(share: f64) -> f64 {
    (share * GROWTH).min(1.0)
}
