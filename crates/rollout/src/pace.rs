//! How fast a share may grow.

use std::time::Duration;

use clock::Instant;

use crate::pair::Pair;

/// The greatest first share, whatever the bundle states.
pub const MAX_FIRST_SHARE: f64 = 0.05;

/// The least first share.
const MIN_FIRST_SHARE: f64 = 0.001;

/// The greatest ratio of a share to the one before.
const GROWTH: f64 = 2.0;

/// The share of the old version beside which a fault of the new one is confirmed.
pub(crate) const CONTROL_SHARE: f64 = 0.5;

/// The shortest stay at a share.
const SHORTEST_STAY: Duration = Duration::from_secs(2);

/// The longest stay at a share that has enough answers.
const LONGEST_STAY: Duration = Duration::from_secs(60);

/// The part of the time for the move that a stay takes if there are enough answers.
const STAYS: u32 = 20;

/// The answers of the new version that are enough on a route.
///
/// If none of 60 is bad, at most a twentieth of all are, with a confidence of 95 %: J. Hanley and A.
/// Lippman-Hand, "If nothing goes wrong, is everything all right?", JAMA 249 (1983).
const ENOUGH_CALLS: u64 = 60;

/// The calls of both versions from which on a route counts as used at a share.
const USED_CALLS: u64 = 10;

/// The answers of the new version without which no share grows.
const LEAST_CALLS: u64 = 5;

/// The part of the time for the move that is kept in reserve at its end.
const RESERVE: u32 = 10;

/// How fast a share may grow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// When the new version should carry all traffic at the latest.
    target: Instant,
    stay: Duration,
}

impl Pace {
    /// Returns the pace of a move that begins at `start` and must end by `deadline`.
    pub(crate) fn new(start: Instant, deadline: Instant) -> Self {
        let time = deadline - start;
        let stay = time / STAYS;
        Self {
            target: start + (time - time / RESERVE),
            stay: stay.clamp(SHORTEST_STAY, LONGEST_STAY),
        }
    }

    /// Returns whether a share with enough answers has lasted long enough. It is so since `since`.
    pub(crate) fn is_stay_over(&self, share: f64, since: Instant, now: Instant) -> bool {
        now - since >= self.stay.min(self.slot(share, since))
    }

    /// Returns whether a share with few answers must be left, if the move is to end in time.
    pub(crate) fn is_slot_over(&self, share: f64, since: Instant, now: Instant) -> bool {
        now - since >= self.slot(share, since)
    }

    /// Returns how long a share may stay if the ones behind it are to have their time too.
    fn slot(&self, share: f64, since: Instant) -> Duration {
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

/// Returns the weight of `share` when the time is divided, such that the new version gets as many
/// calls at each.
fn weight(share: f64) -> f64 {
    1.0 / share
}

/// Returns whether there are enough answers at a share, on each route.
pub(crate) fn has_enough(levels: impl Iterator<Item = Pair> + Clone) -> bool {
    calls(levels.clone()) >= ENOUGH_CALLS && { levels }.all(is_route_covered)
}

/// Returns whether there are the answers without which no share grows.
pub(crate) fn has_least(levels: impl Iterator<Item = Pair>) -> bool {
    calls(levels) >= LEAST_CALLS
}

/// Returns the number of the new version's answers.
fn calls(levels: impl Iterator<Item = Pair>) -> u64 {
    levels.map(|level| level.new.calls).sum()
}

/// Returns whether a route with these answers has enough of the new version's, or is not in use.
fn is_route_covered(level: Pair) -> bool {
    level.new.calls >= ENOUGH_CALLS || level.new.calls + level.old.calls < USED_CALLS
}

/// Returns the first share where the bundle states `stated`.
pub(crate) fn first_share(stated: f64) -> f64 {
    if stated.is_nan() {
        return MIN_FIRST_SHARE;
    }
    stated.clamp(MIN_FIRST_SHARE, MAX_FIRST_SHARE)
}

/// Returns the share after `share`.
pub(crate) fn next_share(share: f64) -> f64 {
    (share * GROWTH).min(1.0)
}
