//! What a move is to do.

use std::time::Duration;

use clock::Instant;
use contract::{id, Rollout};

/// What a move is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The version that carries the traffic.
    pub from: id::Version,
    /// The version that is to carry it.
    pub to: id::Version,
    /// The first share that the bundle states.
    pub first_share: f64,
    /// The number of routes of the service.
    pub routes: usize,
    /// When the move must have ended, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// The wall clock at `started`, in seconds since 1970-01-01 UTC.
    wall: u64,
    /// When the plan was taken up.
    started: Instant,
}

impl Plan {
    /// Returns the plan of `shift` for a service of `routes` routes. `wall` is the wall clock's time
    /// at `now`, in seconds since 1970-01-01 UTC.
    pub fn new(shift: &Rollout, routes: usize, wall: u64, now: Instant) -> Self {
        Self {
            from: shift.from.clone(),
            to: shift.to.clone(),
            first_share: shift.first_share,
            routes,
            deadline: shift.deadline,
            wall,
            started: now,
        }
    }

    /// Returns when the move must have ended.
    ///
    /// The wall clock is known to a second only. The deadline is taken for so much earlier, since a
    /// move must not end late.
    pub fn deadline(&self) -> Instant {
        self.instant(self.deadline.saturating_sub(1))
    }

    /// Returns when the plan was taken up.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Returns the instant at which the wall clock shows `wall`, which may lie before the start.
    pub(crate) fn instant(&self, wall: u64) -> Instant {
        let later = Duration::from_secs(wall.saturating_sub(self.wall));
        let earlier = Duration::from_secs(self.wall.saturating_sub(wall));
        (self.started + later).before(earlier)
    }

    /// Returns what the wall clock shows at `instant`.
    pub(crate) fn wall(&self, instant: Instant) -> u64 {
        let later = (instant - self.started).as_secs();
        let earlier = (self.started - instant).as_secs();
        (self.wall + later).saturating_sub(earlier)
    }
}
