//! The configuration of a rollout.

use std::time::Duration;

use clock::Instant;
use contract::{id, Shift};

/// The configuration of a rollout, from the bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The old version, which carries the traffic at the start.
    pub from: id::Version,
    /// The new version.
    pub to: id::Version,
    /// The first share of the new version as configured in the bundle, from 0 to 1.
    pub first_share: f64,
    /// The number of routes of the service.
    pub routes: usize,
    /// The latest end of the rollout, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// The wall clock at `started`, in seconds since 1970-01-01 UTC.
    wall: u64,
    /// When this instance took over the rollout.
    started: Instant,
}

impl Plan {
    /// Returns the plan of `shift` for a service with `routes` routes. `wall` is the wall clock at
    /// `now`, in seconds since 1970-01-01 UTC.
    pub fn new(shift: &Shift, routes: usize, wall: u64, now: Instant) -> Self {
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

    /// Returns the latest end of the rollout.
    ///
    /// This is one second before the configured deadline: the wall clock is known only to the
    /// second, and a rollout must not end late.
    pub fn deadline(&self) -> Instant {
        self.instant(self.deadline.saturating_sub(1))
    }

    /// Returns when this instance took over the rollout.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Returns the instant at which the wall clock reads `wall` seconds. It may be before
    /// `started`.
    pub(crate) fn instant(&self, wall: u64) -> Instant {
        let later = Duration::from_secs(wall.saturating_sub(self.wall));
        let earlier = Duration::from_secs(self.wall.saturating_sub(wall));
        (self.started + later).before(earlier)
    }

    /// Returns the wall clock at `instant`, in seconds since 1970-01-01 UTC.
    pub(crate) fn wall(&self, instant: Instant) -> u64 {
        let later = (instant - self.started).as_secs();
        let earlier = (self.started - instant).as_secs();
        (self.wall + later).saturating_sub(earlier)
    }
}
